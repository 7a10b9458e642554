"""Computes the heartbeat period that keeps a process within its byte budget."""

from __future__ import annotations

from dataclasses import dataclass

_PERIOD_S = 1.0
_BUDGET_BYTES_PER_S = 4096.0
_HEARTBEAT_BYTES = 110
_MISSED_UNTIL_SUSPECT = 3


@dataclass(frozen=True, slots=True)
class HeartbeatPacing:
    """Parameters of the heartbeat period and of the suspicion timeout.

    :param period_s: shortest period, in seconds.
    :param budget_bytes_per_s: maximum rate of heartbeats sent, in bytes per second.
    :param heartbeat_bytes: size of one heartbeat including packet headers.
    :param missed_until_suspect: periods without a heartbeat until a peer is suspect.
    """

    period_s: float = _PERIOD_S
    budget_bytes_per_s: float = _BUDGET_BYTES_PER_S
    heartbeat_bytes: int = _HEARTBEAT_BYTES
    missed_until_suspect: int = _MISSED_UNTIL_SUSPECT

    def period_for(self, peers: int) -> float:
        """Return the heartbeat period in seconds for this number of peers."""
        return max(
            self.period_s, peers * self.heartbeat_bytes / self.budget_bytes_per_s
        )

    def suspect_after_s(self, peers: int) -> float:
        """Return the seconds without a fresh heartbeat until a peer is suspect."""
        return self.missed_until_suspect * self.period_for(peers)


__all__ = ["HeartbeatPacing"]
