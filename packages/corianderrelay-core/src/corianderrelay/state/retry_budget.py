"""Limits retries to a share of the requests, so that they can't amplify overload."""

from __future__ import annotations

_RETRIES_PER_REQUEST = 0.075
_BURST_RETRIES = 10.0
_STALLED_INTERVAL_S = 1.0  # small against the time limits of requests


class RetryBudget:
    """Token bucket of retries: each request adds ``share``, each retry takes one.

    :param share: retries that each request adds.
    :param burst_retries: initial and maximum number of retries in the budget.
    :ivar denied: number of retries that the budget has denied.
    """

    __slots__ = (
        "_retries_per_request",
        "_burst_retries",
        "_retries",
        "_stalled_at",
        "denied",
    )

    def __init__(
        self,
        share: float = _RETRIES_PER_REQUEST,
        burst_retries: float = _BURST_RETRIES,
    ) -> None:
        self._retries_per_request = share
        self._burst_retries = burst_retries
        self._retries = burst_retries
        self._stalled_at = float("-inf")
        self.denied = 0

    @property
    def retries(self) -> float:
        """Number of retries that are available now."""
        return self._retries

    def on_request_started(self) -> None:
        """Add the retries that one request allows."""
        self._retries = min(
            self._retries + self._retries_per_request, self._burst_retries
        )

    def take(self) -> bool:
        """Take one retry; return false and count a denial if less than one is left."""
        if self._retries < 1.0:
            self.denied += 1
            return False
        self._retries -= 1.0
        return True

    def take_for_stalled(self, now: float) -> bool:
        """Take one retry for a request whose runner has stalled.

        Such a request would wait for its deadline if no new ones arrive, so one a
        second is allowed even if less than one retry is left.
        """
        if self._retries < 1.0 and now - self._stalled_at >= _STALLED_INTERVAL_S:
            self._stalled_at = now
            return True
        return self.take()


__all__ = ["RetryBudget"]
