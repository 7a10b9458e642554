"""Limits requests that are sent a second time, over all entries in any window.

Each entry takes an equal part of the fixed allowance and the ratio of its own
requests, so that the sum stays inside the bound with no message between entries.
"""

from __future__ import annotations

from collections import deque

_SAFETY_FACTOR = 0.5  # an entry that restarts has forgotten what it spent in the window


class RetryBudget:
    """One entry's repeats for one service.

    :param ratio: repeats allowed for each request.
    :param allowance: repeats allowed besides, by all entries together.
    :param window_s: length of the sliding window, in seconds.
    """

    __slots__ = ("_ratio", "_allowance", "_window_s", "_requests", "_retries")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def limit(self, entries: int, now: float) -> float:
        """Return the repeats that this entry may make in the present window."""
        self._trim(now)
        own = self._ratio * len(self._requests)
        return _SAFETY_FACTOR * (own + self._allowance / max(entries, 1))

    def spend(self, entries: int, now: float) -> bool:
        """Spend one repeat; return false if none is left.

        :param entries: entries that may be spending at the same time.
        """
        if len(self._retries) + 1 > self.limit(entries, now):
            return False
        self._retries.append(now)
        return True

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()


__all__ = ["RetryBudget"]
