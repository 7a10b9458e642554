"""Pure core of one rank of a lock-step group: staged maps, hold, activation."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok, Result

NO_MAP = -1


@dataclass(slots=True)
class RankRefusal:
    """Why a rank did not obey an order."""

    reason: str


@dataclass(slots=True)
class GroupRank:
    """What one rank's engine holds; it steps only with a map.

    An order names its step. None lifts the hold before another step, and none changes
    the map of a step that may have begun.

    :param checks_fencing: whether it refuses an order with an older fencing token.
    :param map: map with which it starts.
    :param incarnation: tells this run of the engine from others.
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
        """Use the first map from step 0 on, if there is one."""
        if self.map != NO_MAP:
            self.map_by_step[0] = self.map

    def check_fencing_token(self, token: int) -> Result[None, RankRefusal]:
        """Check an order's fencing token, if this engine checks it at all."""
        if self.checks_fencing and token < self.highest_token:
            return Err(RankRefusal("fenced"))
        self.highest_token = max(self.highest_token, token)
        return Ok(None)

    def stage(self, map_number: int) -> None:
        """Note that the weights of a map are loaded."""
        self.staged.add(map_number)

    def arm(self, hold_at: int) -> Result[None, RankRefusal]:
        """Hold before a later step."""
        if hold_at < self.next_step:
            return Err(RankRefusal("step has begun"))
        self.holds.add(hold_at)
        return Ok(None)

    def release(self, hold_at: int) -> Result[None, RankRefusal]:
        """Lift the hold before a step and keep the map."""
        self.holds.discard(hold_at)
        return Ok(None)

    def activate(self, map_number: int, step: int) -> Result[None, RankRefusal]:
        """Use a staged map from ``step`` on and lift the hold there."""
        if map_number not in self.staged | set(self.map_by_step.values()):
            return Err(RankRefusal("not staged"))
        if step < self.next_step and self.map_at_step(self.next_step) != NO_MAP:
            return Err(RankRefusal("step has begun"))
        self.map_by_step[step] = map_number
        self.holds.discard(step)
        return Ok(None)

    def begin_step(self, step: int) -> None:
        """Note that the group begins a step."""
        self.step = step
        self.map = self.map_at_step(step)

    def map_at_step(self, step: int) -> int:
        """Return the map ordered for a step."""
        orders = [start for start in self.map_by_step if start <= step]
        return self.map_by_step[max(orders)] if orders else NO_MAP

    @property
    def next_step(self) -> int:
        """First step that cannot have begun; a rank may wait for the next already."""
        return self.step + 1 if self.held else self.step + 2

    @property
    def held(self) -> bool:
        """Whether it does not begin the next step."""
        return self.map_at_step(self.step + 1) == NO_MAP or self.step + 1 in self.holds


@dataclass(slots=True)
class StepBarrier:
    """Rank 0's part: a step begins once every rank has arrived at it.

    A rank that was replaced arrives anew and takes the place of its last arrival.
    """

    ranks: int
    step: int = 0
    map_by_arrived_rank: dict[int, int] = field(default_factory=dict)
    maps_by_step: dict[int, list[int]] = field(default_factory=dict)

    def arrive(self, rank: int, map_number: int) -> bool:
        """Note that a rank waits for the next step; return whether it begins."""
        self.map_by_arrived_rank[rank] = map_number
        if len(self.map_by_arrived_rank) < self.ranks:
            return False
        self.step += 1
        self.maps_by_step[self.step] = sorted(set(self.map_by_arrived_rank.values()))
        self.map_by_arrived_rank.clear()
        return True

    def remove_arrival(self, rank: int) -> None:
        """Forget an arrival whose rank is gone or holds again."""
        self.map_by_arrived_rank.pop(rank, None)

    def mixed_steps(self) -> dict[int, list[int]]:
        """Return the steps in which ranks used different maps."""
        return {step: maps for step, maps in self.maps_by_step.items() if maps[1:]}


__all__ = ["GroupRank", "NO_MAP", "RankRefusal", "StepBarrier"]
