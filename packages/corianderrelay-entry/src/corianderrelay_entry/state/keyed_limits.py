"""Time limits of keyed requests, which run at most once."""

from __future__ import annotations

from dataclasses import dataclass, field

from .claim_settlement import SettlementLimits

_WINDOW_PER_RETENTION = 0.5  # wall clocks may be off by the rest of the retention
_UNDATED_KEYS_INTERVAL_PER_RETENTION = 0.25  # the log retains several such records


@dataclass(slots=True, frozen=True)
class KeyedLimits:
    """Timeouts, intervals and the key window, in seconds.

    :param ticket_wait_s: timeout for a ticket from the agent.
    :param claim_wait_s: timeout for reading a claim back from the log.
    :param outcome_retry_s: time between two appends of the same record.
    :param window_s: maximum distance of a key's timestamp from now; half the retention.
    :param undated_keys_interval_s: time between two records of the keys without
        timestamp; less than half the retention.
    """

    ticket_wait_s: float = 2.0
    claim_wait_s: float = 5.0
    outcome_retry_s: float = 2.0
    window_s: float = 3.5 * 86_400
    undated_keys_interval_s: float = 1.5 * 86_400
    settlement: SettlementLimits = field(default_factory=SettlementLimits)


def keyed_limits(retention_s: float) -> KeyedLimits:
    """Return the limits for a log service with this retention.

    :param retention_s: minimum time that the service keeps a record, in seconds.
    """
    return KeyedLimits(
        window_s=retention_s * _WINDOW_PER_RETENTION,
        undated_keys_interval_s=retention_s * _UNDATED_KEYS_INTERVAL_PER_RETENTION,
    )


__all__ = ["KeyedLimits", "keyed_limits"]
