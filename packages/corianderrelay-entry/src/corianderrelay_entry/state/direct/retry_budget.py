"""Limits the retries of all entries together in a sliding window.

Each entry may use an equal part of the fixed allowance plus a ratio of its own
requests. The sum then stays within the bound without messages between entries, also
while they cannot reach each other: an entry keeps its part for minutes after others
have fallen silent.
"""

from __future__ import annotations

from collections import deque

_SAFETY_FACTOR = 0.5  # a restarted entry has lost its count of retries in the window


class RetryBudget:
    """One entry's retry budget for one service.

    :param ratio: retries allowed per request.
    :param allowance: additional retries per window for all entries together.
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
        """Record a caller's request."""
        self._requests.append(now)

    def limit(self, entries: int, now: float) -> float:
        """Return the number of retries that this entry may make per window."""
        self._trim(now)
        own = self._ratio * len(self._requests)
        return _SAFETY_FACTOR * (own + self._allowance / max(entries, 1))

    def spent(self, now: float) -> int:
        """Return the number of retries in the current window."""
        self._trim(now)
        return len(self._retries)

    def spend(self, entries: int, now: float) -> bool:
        """Spend one retry; return false if the budget is exhausted.

        :param entries: number of entries that share the allowance.
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
