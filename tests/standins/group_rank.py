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

    :param checks_fencing: whether it refuses an order with an older fencing token.
    :param hold_at: step that it does not begin while armed, or ``None``.
    """

    rank: int
    checks_fencing: bool = True
    map: int = NO_MAP
    step: int = 0
    staged: set[int] = field(default_factory=set)
    armed_map: int = NO_MAP
    hold_at: int | None = None
    highest_token: int = -1

    def admit(self, token: int) -> Result[None, RankRefusal]:
        """Check an order's fencing token, if this engine checks it at all."""
        if self.checks_fencing and token < self.highest_token:
            return Err(RankRefusal("fenced"))
        self.highest_token = max(self.highest_token, token)
        return Ok(None)

    def stage(self, map_number: int) -> None:
        """Note that the weights of a map are loaded."""
        self.staged.add(map_number)

    def arm(self, map_number: int, hold_at: int) -> Result[None, RankRefusal]:
        """Hold before a later step, ready for a staged map.

        The rank may have arrived at the next step already, so that is too soon.
        """
        if map_number not in self.staged:
            return Err(RankRefusal("not staged"))
        if hold_at <= self.step + 1:
            return Err(RankRefusal("step has begun"))
        self.armed_map = map_number
        self.hold_at = hold_at
        return Ok(None)

    def activate(self, map_number: int) -> Result[None, RankRefusal]:
        """Use a staged map from the next step on, or go on with the present one."""
        if map_number != self.map and map_number not in self.staged:
            return Err(RankRefusal("not staged"))
        self.map = map_number
        self.armed_map = NO_MAP
        self.hold_at = None
        return Ok(None)

    @property
    def held(self) -> bool:
        """Whether it does not begin the next step."""
        at_hold = self.hold_at is not None and self.step + 1 >= self.hold_at
        return self.map == NO_MAP or at_hold


@dataclass(slots=True)
class StepBarrier:
    """Rank 0's part: a step begins once every rank has arrived at it.

    A rank that was replaced arrives anew and takes the place of its last arrival.
    """

    ranks: int
    step: int = 0
    arrived: dict[int, int] = field(default_factory=dict)
    maps_by_step: dict[int, list[int]] = field(default_factory=dict)

    def arrive(self, rank: int, map_number: int) -> bool:
        """Note that a rank waits for the next step; return whether it begins."""
        self.arrived[rank] = map_number
        if len(self.arrived) < self.ranks:
            return False
        self.step += 1
        self.maps_by_step[self.step] = sorted(set(self.arrived.values()))
        self.arrived.clear()
        return True

    def leave(self, rank: int) -> None:
        """Forget an arrival whose rank is gone or holds again."""
        self.arrived.pop(rank, None)

    def mixed_steps(self) -> dict[int, list[int]]:
        """Return the steps in which ranks used different maps."""
        return {step: maps for step, maps in self.maps_by_step.items() if maps[1:]}


__all__ = ["GroupRank", "NO_MAP", "RankRefusal", "StepBarrier"]
