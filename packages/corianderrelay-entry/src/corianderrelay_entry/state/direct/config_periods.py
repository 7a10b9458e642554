"""Times between reads of the configuration, by the bounds that it must keep."""

from __future__ import annotations

_DEFAULT_REVOKE_S = 5.0  # if the use of revoked keys is not bounded

# Shares of the bound on the use of revoked keys, and of the bound on the time until a
# configuration is in force. A read after a poll fits into the rest of either.
_WAIT_SHARES = (0.3, 0.6)
# Others wait for the news of an entry that reads for them, so it reads more often.
_SHARED_PERIOD_SHARES = (0.25, 0.3)
_MAX_AGE_SHARES = (0.56, 0.7)


class ConfigPeriods:
    """How often an entry reads the configuration; all times are in seconds.

    :param revoke_s: bound on the use of revoked keys; ``None`` for no bound.
    :param apply_s: bound on the time until a configuration is in force.
    :param evacuate_s: bound on requests to an evacuated zone.
    :ivar wait_s: how long a poll waits for a record.
    :ivar shared_period_s: time between two reads for other entries.
    :ivar max_age_s: age of the last confirmation after which an entry reads for itself.
    """

    __slots__ = ("wait_s", "shared_period_s", "max_age_s", "apply_s")

    def __init__(
        self, revoke_s: float | None, apply_s: float, evacuate_s: float
    ) -> None:
        # An evacuation is read like a revoked key.
        bounds_s = (min(revoke_s or _DEFAULT_REVOKE_S, evacuate_s), apply_s)
        self.apply_s = apply_s
        self.wait_s = _smallest_share(_WAIT_SHARES, bounds_s)
        self.shared_period_s = _smallest_share(_SHARED_PERIOD_SHARES, bounds_s)
        self.max_age_s = _smallest_share(_MAX_AGE_SHARES, bounds_s)


def _smallest_share(shares: tuple[float, ...], bounds_s: tuple[float, ...]) -> float:
    return min(share * bound_s for share, bound_s in zip(shares, bounds_s))


__all__ = ["ConfigPeriods"]
