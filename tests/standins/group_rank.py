"""State of one rank of a lock-step group, without I/O: maps, holds and steps."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok, Result

NO_MAP = -1


@dataclass(slots=True)
class RankRefusal:
    """Reason why a rank refused an order."""

    reason: str


@dataclass(slots=True)
class GroupRank:
    """State of one rank's engine, which steps only with an active map.

    An order names a step. It lifts only the hold before that step and never changes the
    map of a step that may have begun.

    :param checks_fencing: whether an order with an older fencing token is refused.
    :param map: number of the map that is active at the start.
    :param incarnation: distinguishes this run of the engine from others.
    """

    rank: int
    checks_fencing: bool = True
    map: int = NO_MAP
    step: int = 0
    staged: set[int] = field(default_factory=set)
    holds: set[int] = field(default_factory=set)
    map_by_step: dict[int, int] = field(default_factory=dict)
    highest_token: int = -1
    incarnation: int = 0

    def __post_init__(self) -> None:
        """Activate the initial map, if any, from step 0 on."""
        if self.map != NO_MAP:
            self.map_by_step[0] = self.map

    def check_fencing_token(self, token: int) -> Result[None, RankRefusal]:
        """Refuse an older fencing token, if this engine checks fencing."""
        if self.checks_fencing and token < self.highest_token:
            return Err(RankRefusal("fenced"))
        self.highest_token = max(self.highest_token, token)
        return Ok(None)

    def stage(self, map_number: int) -> None:
        """Record that the weights of a map are loaded."""
        self.staged.add(map_number)

    def arm(self, hold_at: int) -> Result[None, RankRefusal]:
        """Hold the rank before a step that cannot have begun."""
        if hold_at < self.next_step:
            return Err(RankRefusal("step has begun"))
        self.holds.add(hold_at)
        return Ok(None)

    def release(self, hold_at: int) -> Result[None, RankRefusal]:
        """Lift the hold before a step without changing the map."""
        self.holds.discard(hold_at)
        return Ok(None)

    def activate(self, map_number: int, step: int) -> Result[None, RankRefusal]:
        """Activate a staged map from ``step`` on and lift the hold before that step."""
        if map_number not in self.staged | set(self.map_by_step.values()):
            return Err(RankRefusal("not staged"))
        if step < self.next_step and self.map_at_step(self.next_step) != NO_MAP:
            return Err(RankRefusal("step has begun"))
        self.map_by_step[step] = map_number
        self.holds.discard(step)
        return Ok(None)

    def begin_step(self, step: int) -> None:
        """Record that the group begins a step."""
        self.step = step
        self.map = self.map_at_step(step)

    def map_at_step(self, step: int) -> int:
        """Return the number of the map that is active in a step, or ``NO_MAP``."""
        starts = [start for start in self.map_by_step if start <= step]
        return self.map_by_step[max(starts)] if starts else NO_MAP

    @property
    def next_step(self) -> int:
        """First step that cannot have begun.

        A rank that is not held may already wait at the barrier for the step before it.
        """
        return self.step + 1 if self.held else self.step + 2

    @property
    def held(self) -> bool:
        """Whether a hold or a missing map keeps the rank from the next step."""
        return self.map_at_step(self.step + 1) == NO_MAP or self.step + 1 in self.holds


@dataclass(slots=True)
class StepBarrier:
    """Barrier on rank 0: a step begins once every rank has arrived at it.

    The arrival of a replacement rank overwrites that of its predecessor.
    """

    ranks: int
    step: int = 0
    map_by_arrived_rank: dict[int, int] = field(default_factory=dict)
    maps_by_step: dict[int, list[int]] = field(default_factory=dict)

    def arrive(self, rank: int, map_number: int) -> bool:
        """Register an arrival at the next step; return whether the step begins."""
        self.map_by_arrived_rank[rank] = map_number
        if len(self.map_by_arrived_rank) < self.ranks:
            return False
        self.step += 1
        self.maps_by_step[self.step] = sorted(set(self.map_by_arrived_rank.values()))
        self.map_by_arrived_rank.clear()
        return True

    def remove_arrival(self, rank: int) -> None:
        """Remove the arrival of a rank that disconnected or is held again."""
        self.map_by_arrived_rank.pop(rank, None)

    def mixed_steps(self) -> dict[int, list[int]]:
        """Return the maps of each step in which ranks used different maps."""
        return {step: maps for step, maps in self.maps_by_step.items() if maps[1:]}


__all__ = ["GroupRank", "NO_MAP", "RankRefusal", "StepBarrier"]
