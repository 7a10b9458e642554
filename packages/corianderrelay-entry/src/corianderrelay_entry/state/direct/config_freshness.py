"""Tracks the staleness of the active configuration.

Revoked API keys must be rejected everywhere within a bound, also by an entry that is
disconnected from the log. An entry whose configuration is stale therefore rejects all
requests that need a key.
"""

from __future__ import annotations

_SAFETY_MARGIN_S = 0.3  # allows for clock drift and the time to forward a request


class ConfigFreshness:
    """Time of the last confirmation by the log that the configuration is the newest.

    :param max_age_s: seconds within which a revoked key must be rejected; ``None`` for
        no bound.
    """

    __slots__ = ("_max_age_s", "_confirmation_requested_at")

    def __init__(self, max_age_s: float | None) -> None:
        self._max_age_s = max_age_s
        self._confirmation_requested_at: float | None = None

    def record_confirmation(self, requested_at: float) -> None:
        """Record a complete response to a log read that was sent at ``requested_at``.

        :param requested_at: seconds on a clock that includes suspended time.
        """
        if (
            self._confirmation_requested_at is None
            or requested_at > self._confirmation_requested_at
        ):
            self._confirmation_requested_at = requested_at

    def age_s(self, now: float) -> float:
        """Return the age of the last confirmation; infinite before the first."""
        return (
            float("inf")
            if self._confirmation_requested_at is None
            else now - self._confirmation_requested_at
        )

    def is_fresh(self, now: float) -> bool:
        """Return whether API keys may be accepted now.

        :param now: seconds on the same clock as ``requested_at``.
        """
        if self._confirmation_requested_at is None:
            return False
        return (
            self._max_age_s is None
            or self.age_s(now) < self._max_age_s - _SAFETY_MARGIN_S
        )


__all__ = ["ConfigFreshness"]
