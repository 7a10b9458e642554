"""How long ago the configuration in force was known to be the newest.

Keys that were taken away must stop working everywhere within a bound, also on an
entry that cannot reach the log: one without fresh proof takes no requests with keys.
"""

from __future__ import annotations

_SAFETY_MARGIN_S = (
    0.3  # covers a clock that runs slow and the time to send a request on
)


class ConfigFreshness:
    """Proof that no newer configuration existed at some moment.

    :param bound_s: seconds after which a revoked key must not work any longer;
        ``None`` where revocation has no bound.
    """

    __slots__ = ("_max_age_s", "_proof_requested_at")

    def __init__(self, max_age_s: float | None) -> None:
        self._max_age_s = max_age_s
        self._proof_requested_at: float | None = None

    def record_proof(self, requested_at: float) -> None:
        """Take a whole answer to a read of the log that was sent at ``asked_at``.

        :param asked_at: seconds on a clock that counts suspended time too.
        """
        if self._proof_requested_at is None or requested_at > self._proof_requested_at:
            self._proof_requested_at = requested_at

    def age_s(self, now: float) -> float:
        """Return the age of the proof; infinite before the first."""
        return (
            float("inf")
            if self._proof_requested_at is None
            else now - self._proof_requested_at
        )

    def is_fresh(self, now: float) -> bool:
        """Whether keys may be trusted at this moment.

        :param now: seconds on the same clock as ``asked_at``.
        """
        if self._proof_requested_at is None:
            return False
        return (
            self._max_age_s is None
            or self.age_s(now) < self._max_age_s - _SAFETY_MARGIN_S
        )


__all__ = ["ConfigFreshness"]
