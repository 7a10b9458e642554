"""Orders to the ranks of a lock-step group, and what ranks report of themselves.

Every order names the group's epoch. An order may arrive seconds late, so each is made
to fit only while it is meant: a map's version is never used again, a rank keeps only
its newest map beside the one in use, and steps only grow.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

ExpertSets = tuple[tuple[int, ...], ...]  # the experts of one rank, set by set


class OrderKind(Enum):
    """What a rank is told to do."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "release"


class OrderOutcome(Enum):
    """What is known after an order was sent."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RankOrder:
    """One order to one rank.

    :param version: of the map that is prepared, armed or disarmed.
    :param step: pass at which the map is switched, or that is held or released.
    :param experts_by_rank: the whole map, for ``PREPARE``.
    """

    runner_id: str
    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    experts_by_rank: tuple[ExpertSets, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class RankReport:
    """What a rank says of itself, as of some hundred milliseconds ago.

    :param group: name of its group; empty if it is in none.
    :param epoch: grows each time the group forms anew.
    :param whole: whether all ranks of the group are there.
    :param size: number of ranks in the group.
    :param step: the last pass that was begun.
    :param prepared: version whose experts it has copied, if not in use yet.
    :param armed: version that it will switch to.
    :param armed_step: pass at which it will switch.
    :param held_step: pass that the group does not begin yet.
    :param slowness: how many times longer than usual it takes.
    """

    runner_id: str
    group: str
    epoch: int
    rank: int
    whole: bool
    size: int
    step: int
    map_version: int
    prepared: int | None = None
    armed: int | None = None
    armed_step: int | None = None
    held_step: int | None = None
    slowness: float = 1.0


__all__ = ["ExpertSets", "OrderKind", "OrderOutcome", "RankOrder", "RankReport"]
