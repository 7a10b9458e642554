"""Limits retries to a share of the traffic, so that they cannot amplify an overload."""

from __future__ import annotations

_SHARE = 0.075
_BURST_RETRIES = 10.0


class RetryBudget:
    """Each request adds a share of a retry; each retry takes a whole one.

    :param share: retries allowed for each request.
    :param burst_retries: most retries that quiet times can save up.
    """

    __slots__ = ("_share", "_burst_retries", "_retries", "denied")

    def __init__(
        self, share: float = _SHARE, burst_retries: float = _BURST_RETRIES
    ) -> None:
        self._share = share
        self._burst_retries = burst_retries
        self._retries = burst_retries
        self.denied = 0

    @property
    def retries(self) -> float:
        """Retries that may be made now."""
        return self._retries

    def request_started(self) -> None:
        """Add a request's share."""
        self._retries = min(self._retries + self._share, self._burst_retries)

    def take(self) -> bool:
        """Take one retry; return false when the budget is spent."""
        if self._retries < 1.0:
            self.denied += 1
            return False
        self._retries -= 1.0
        return True


__all__ = ["RetryBudget"]
