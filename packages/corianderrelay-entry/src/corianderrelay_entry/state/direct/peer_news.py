"""What entries tell each other of groups, zones and waiting requests.

Each is a field of ``PeerUpdate``. An older process does not send them, so an absent one
says nothing.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """The zones that operators have evacuated, as of a position in the log.

    :param era: era of the log, see ``LogPosition``.
    :param offset: offset after the last record of operators that was read.
    """

    era: int
    offset: int
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GroupPauses:
    """Pauses between events that one entry measured in one group within a second.

    :param high_s: a high quantile of the pauses, in seconds.
    :param median_s: their median, in seconds.
    :param count: number of pauses.
    """

    group: str
    high_s: float
    median_s: float
    count: int


@dataclass(frozen=True, slots=True)
class GroupOutage:
    """What one entry knows of the latest outage of a group.

    :param closed_for_s: seconds since the group closed.
    :param evidence_age_s: seconds since the latest evidence that it is closed, or, if
        it has opened, that it is open.
    :param opens_in_s: expected seconds until it opens; 0 if it has opened.
    :param is_open: whether the outage has ended.
    """

    group: str
    closed_for_s: float
    evidence_age_s: float
    opens_in_s: float
    is_open: bool


@dataclass(frozen=True, slots=True)
class WaitingRequests:
    """An entry's requests of one service and priority that wait for a slot.

    :param priority: 0 is the highest.
    :param count: number of requests.
    :param work: tokens that they need.
    """

    service: str
    priority: int
    count: int
    work: int


__all__ = ["EvacuatedZones", "GroupOutage", "GroupPauses", "WaitingRequests"]
