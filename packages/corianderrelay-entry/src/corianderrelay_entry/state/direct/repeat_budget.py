"""Limits requests that are sent a second time, over all entries in any window.

Each entry takes an equal part of the fixed allowance and the ratio of its own
requests, so that the sum stays inside the bound with no message between entries.
"""

from __future__ import annotations

from collections import deque

_SAFETY = 0.5  # an entry that restarts has forgotten what it spent in the window


class RepeatBudget:
    """One entry's repeats for one service.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed besides, by all entries together.
    :param window_s: length of the sliding window, in seconds.
    """

    __slots__ = ("_ratio", "_allowance", "_window_s", "_requests", "_repeats")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def request_arrived(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def limit(self, entries: int, now: float) -> float:
        """Return the repeats that this entry may make in the present window."""
        self._trim(now)
        own = self._ratio * len(self._requests)
        return _SAFETY * (own + self._allowance / max(entries, 1))

    def take(self, entries: int, now: float) -> bool:
        """Spend one repeat; return false if none is left.

        :param entries: entries that may be spending at the same time.
        """
        if len(self._repeats) + 1 > self.limit(entries, now):
            return False
        self._repeats.append(now)
        return True

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()


__all__ = ["RepeatBudget"]
