"""Limits retries to a share of the traffic, so that they cannot amplify an overload."""

from __future__ import annotations

_RETRIES_PER_REQUEST = 0.075
_MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Each request adds a share of a retry; each retry takes a whole one.

    :param share: retries allowed for each request.
    :param burst_retries: most retries that quiet times can save up.
    """

    __slots__ = ("_retries_per_request", "_burst_retries", "_retries", "denied")

    def __init__(
        self,
        share: float = _RETRIES_PER_REQUEST,
        burst_retries: float = _MAX_SAVED_RETRIES,
    ) -> None:
        self._retries_per_request = share
        self._burst_retries = burst_retries
        self._retries = burst_retries
        self.denied = 0

    @property
    def retries(self) -> float:
        """Retries that may be made now."""
        return self._retries

    def request_started(self) -> None:
        """Add a request's share."""
        self._retries = min(
            self._retries + self._retries_per_request, self._burst_retries
        )

    def take(self) -> bool:
        """Take one retry; return false when the budget is spent."""
        if self._retries < 1.0:
            self.denied += 1
            return False
        self._retries -= 1.0
        return True


__all__ = ["RetryBudget"]
