"""Orders to the ranks of a lock-step group, and the ranks' status reports.

Every order carries the group's epoch. An order can arrive seconds late and must then be
refused. Therefore a map version is never reused, a rank keeps only the active map and
the newest prepared one, and pass numbers (``step``) only increase.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

ExpertSets = tuple[tuple[int, ...], ...]  # the experts of one rank, per set


class OrderKind(Enum):
    """Kind of an order to a rank."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "release"


class OrderOutcome(Enum):
    """Outcome of an order; unknown if no response was received."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RankOrder:
    """One order to one rank.

    :param version: version of the map to prepare, arm or disarm.
    :param step: number of the pass at which to switch, or that is held or released.
    :param experts_by_rank: the complete map, for ``PREPARE`` only.
    """

    runner_id: str
    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    experts_by_rank: tuple[ExpertSets, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class RankReport:
    """Status of a rank, as of some hundred milliseconds ago.

    :param group: name of the rank's group; empty if it has none.
    :param epoch: increases each time the group re-forms.
    :param complete: whether all ranks of the group are connected.
    :param size: number of ranks in the group.
    :param step: number of the last pass that started.
    :param map_version: version of the active map.
    :param prepared: version whose experts are copied but not active; ``None`` if none.
    :param armed: version that the rank will switch to; ``None`` if none.
    :param armed_step: number of the pass at which it will switch.
    :param held_step: number of the pass that the group must not start yet.
    :param slowness: factor by which the rank takes longer than usual.
    """

    runner_id: str
    group: str
    epoch: int
    rank: int
    complete: bool
    size: int
    step: int
    map_version: int
    prepared: int | None = None
    armed: int | None = None
    armed_step: int | None = None
    held_step: int | None = None
    slowness: float = 1.0


__all__ = ["ExpertSets", "OrderKind", "OrderOutcome", "RankOrder", "RankReport"]
