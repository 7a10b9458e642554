"""Model of a lock-step group that executes orders, for tests of coordinators.

Each order is validated against the rank's state on arrival, which may be late. Reports
show an older state, as in a deployment. A pass with two maps raises ``AssertionError``.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from corianderrelay_entry.state.direct.rank_orders import (
    ExpertSets,
    OrderKind,
    OrderOutcome,
    RankOrder,
    RankReport,
)


@dataclass
class ModelRank:
    """State of one rank."""

    map_version: int = 0
    newest_version: int = 0
    copying: tuple[int, float] | None = None
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held_step: int | None = None


class ModelGroup:
    """All ranks of a group; ``names`` are ordered by rank."""

    def __init__(self, size: int, copy_s: float) -> None:
        self.names = [f"rank-{number}" for number in range(size)]
        self.ranks = {name: ModelRank() for name in self.names}
        self.copy_s = copy_s
        self.epoch = 1
        self.step = 0
        self.switches = 0
        self.maps: dict[int, tuple[ExpertSets, ...]] = {}
        self.history: list[tuple[float, dict[str, RankReport]]] = []

    def re_form(self) -> None:
        """Start a new epoch with empty rank states, as after the restart of a rank."""
        self.epoch += 1
        for name in self.names:
            self.ranks[name] = ModelRank()

    @property
    def held(self) -> bool:
        """Whether a hold prevents the next pass."""
        return any(
            rank.held_step is not None and self.step + 1 >= rank.held_step
            for rank in self.ranks.values()
        )

    def begin_pass(self) -> None:
        """Start the next pass unless it is held; all ranks must have the same map."""
        if self.held:
            return
        self.step += 1
        for rank in self.ranks.values():
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.map_version, rank.armed, rank.prepared = rank.armed[0], None, None
                self.switches += 1
        versions = {rank.map_version for rank in self.ranks.values()}
        assert len(versions) == 1, f"pass {self.step} starts with maps {versions}"

    def advance(self, now: float) -> None:
        """Complete the copies that are due and record the ranks' reports."""
        for rank in self.ranks.values():
            if rank.copying is not None and now >= rank.copying[1]:
                rank.prepared, rank.copying = rank.copying[0], None
        reports = {name: self._report(name) for name in self.names}
        self.history.append((now, reports))
        del self.history[:-200]

    def report(self, name: str, lag_s: float, now: float) -> RankReport:
        """Return a rank's report as of ``lag_s`` seconds ago."""
        old = [reports for at, reports in self.history if at <= now - lag_s]
        reports = old[-1] if old else self.history[0][1]
        return reports[name]

    def execute(self, order: RankOrder, now: float) -> OrderOutcome:
        """Execute an order or refuse it; an order that is already applied succeeds."""
        rank = self.ranks[order.runner_id]
        if order.epoch != self.epoch:
            return OrderOutcome.REFUSED
        accepted = self._is_applied(order, rank) or self._apply(order, rank, now)
        return OrderOutcome.DONE if accepted else OrderOutcome.REFUSED

    def _is_applied(self, order: RankOrder, rank: ModelRank) -> bool:
        match order.kind:
            case OrderKind.PREPARE:
                copying = rank.copying is not None and rank.copying[0] == order.version
                return copying or rank.prepared == order.version
            case OrderKind.ARM:
                return rank.armed == (order.version, order.step)
            case OrderKind.DISARM:
                return rank.armed is None and rank.map_version != order.version
            case OrderKind.HOLD:
                return rank.held_step == order.step
        return False

    def _apply(self, order: RankOrder, rank: ModelRank, now: float) -> bool:
        match order.kind:
            case OrderKind.PREPARE:
                if order.version <= rank.newest_version or rank.armed is not None:
                    return False
                known = self.maps.setdefault(order.version, order.experts_by_rank)
                assert (
                    known == order.experts_by_rank
                ), "one map version has two different maps"
                rank.newest_version = order.version
                rank.prepared = None
                rank.copying = (order.version, now + self.copy_s)
            case OrderKind.ARM:
                if rank.prepared != order.version or order.step <= self.step:
                    return False
                if rank.armed is not None:
                    return False
                rank.armed = (order.version, order.step)
            case OrderKind.DISARM:
                if rank.armed is None or rank.armed[0] != order.version:
                    return False
                rank.armed = None
            case OrderKind.HOLD:
                if order.step <= self.step or rank.held_step is not None:
                    return False
                rank.held_step = order.step
            case OrderKind.RELEASE:
                if rank.held_step != order.step:
                    return False
                rank.held_step = None
        return True

    def _report(self, name: str) -> RankReport:
        rank = self.ranks[name]
        return RankReport(
            runner_id=name,
            group="g",
            epoch=self.epoch,
            rank=self.names.index(name),
            complete=True,
            size=len(self.names),
            step=self.step,
            map_version=rank.map_version,
            prepared=rank.prepared,
            armed=None if rank.armed is None else rank.armed[0],
            armed_step=None if rank.armed is None else rank.armed[1],
            held_step=rank.held_step,
        )


class FaultyNetwork:
    """Delays calls, loses some of them and executes some orders seconds later."""

    def __init__(self, random: Random, delayed_share: float, lost_share: float) -> None:
        self._random = random
        self._delayed_share = delayed_share
        self._lost_share = lost_share
        self._counter = itertools.count()
        self._due: list[tuple[float, int, Callable[[float], None]]] = []

    def schedule(
        self, delay_s: float, call: Callable[[float], None], now: float
    ) -> None:
        """Schedule a call after a delay."""
        heapq.heappush(self._due, (now + delay_s, next(self._counter), call))

    def run(self, now: float) -> None:
        """Run the calls that are due."""
        while self._due and self._due[0][0] <= now:
            _, _, call = heapq.heappop(self._due)
            call(now)

    def delay_s(self) -> float:
        """Draw a one-way delay in seconds."""
        return self._random.choice([0.002, 0.003, 0.01, 0.05])

    def is_delayed(self) -> bool:
        """Draw whether an order gets no response and is executed seconds later."""
        return self._random.random() < self._delayed_share

    def is_lost(self) -> bool:
        """Draw whether a response, or a request with its response, is lost."""
        return self._random.random() < self._lost_share

    def extra_delay_s(self) -> float:
        """Draw the delay of an order that ``is_delayed`` selected, in seconds."""
        return self._random.uniform(0.3, 8.0)


__all__ = ["FaultyNetwork", "ModelGroup", "ModelRank"]
