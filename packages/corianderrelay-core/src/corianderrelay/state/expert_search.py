"""Local search over expert maps: relieves the most loaded rank, a few slots a step.

Each step changes one slot (a replica more of one expert, one less of another) or
exchanges two experts between two ranks, and leaves all ranks that it makes busier below
the load of the one that it relieves.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .expert_working_map import WorkingMap

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .expert_map import ExpertMap

_FIRST_TARGET_RANKS = 6
_MAX_TARGET_RANKS = 32
_COLDEST_EXPERTS = 4
_HEAVIEST_EXPERTS = 4
_MIN_RELIEF_FRACTION = 1e-6
_MAX_PINNED_REPLICAS = 4
_STEPS_PER_SORT = 4


@dataclass(slots=True)
class _Step:
    """A change of one slot, or of two when experts are exchanged.

    ``peak`` is the highest load among the ranks that the step makes busier or
    relieves. An exchange also puts ``removed`` on the rank ``giver``.
    """

    peak: float
    rank: int
    removed: int | None
    added: int
    exchange_rank: int | None = None

    @property
    def slots(self) -> int:
        """Return how many slots take another expert."""
        return 1 if self.exchange_rank is None else 2


class PlacementSearch:
    """A search that changes a map step by step.

    :param expert_map: where the search starts.
    :param tokens_by_expert: predicted load of each expert.
    :param slots_per_rank: slots of each rank.
    :param concentration_weight: relief that a step gives up to spread heavy experts
        over more replicas, both in units of load.
    """

    __slots__ = (
        "map",
        "_slots_per_rank",
        "_concentration_weight",
        "_pinned_replicas",
        "_coolest",
        "_steps_since_sort",
    )

    def __init__(
        self,
        expert_map: ExpertMap,
        tokens_by_expert: Sequence[float],
        slots_per_rank: int,
        concentration_weight: float = 1.0,
    ) -> None:
        self.map = WorkingMap(expert_map, tokens_by_expert)
        self._slots_per_rank = slots_per_rank
        self._concentration_weight = concentration_weight
        self._pinned_replicas: set[tuple[int, int]] = set()
        self._coolest: list[int] = []
        self._steps_since_sort = 0

    def apply_best_step(self) -> bool:
        """Take the best step for the most loaded rank; return whether there was one."""
        loads = self.map.load_by_rank
        hottest = max(range(len(loads)), key=loads.__getitem__)
        ceiling = loads[hottest]
        highest = ceiling - _MIN_RELIEF_FRACTION * self.map.mean_load
        steps = [step for step in self._candidate_steps(hottest) if step.peak < highest]
        if not steps:
            return self._add_pinned_replica(hottest)
        self._apply(max(steps, key=lambda step: self._relief_per_slot(step, ceiling)))
        return True

    def _relief_per_slot(self, step: _Step, ceiling: float) -> float:
        """Return the relief that a step gives for each slot, less its concentration."""
        concentration_cost = self._concentration_weight * self._concentration_growth(
            step
        )
        return (ceiling - step.peak - concentration_cost) / step.slots

    def _concentration_growth(self, step: _Step) -> float:
        """Return how much load the step concentrates in single replicas.

        It is the growth of the sum of squared replica loads, over the mean rank load.
        """
        if step.exchange_rank is not None:
            return 0.0
        tokens = self.map.tokens_by_expert
        replicas = len(self.map.hosts_by_expert[step.added])
        growth = -(tokens[step.added] ** 2) / (replicas * (replicas + 1))
        if step.removed is not None:
            replicas = len(self.map.hosts_by_expert[step.removed])
            growth += tokens[step.removed] ** 2 / (replicas * (replicas - 1))
        return growth / self.map.mean_load

    def _add_pinned_replica(self, hottest: int) -> bool:
        """Add a replica of the rank's heaviest expert though another rank gets busier.

        It takes the search out of a local optimum: later steps relieve that other rank.
        The replica stays where it was put, so that no later step undoes this one.
        """
        if len(self._pinned_replicas) >= _MAX_PINNED_REPLICAS:
            return False
        steps = self._replica_steps(hottest, self._coolest_ranks(), 1, math.inf)
        step = min(steps, key=lambda step: step.peak, default=None)
        if step is None:
            return False
        self._apply(step)
        self._pinned_replicas.add((step.rank, step.added))
        return True

    def _coolest_ranks(self) -> list[int]:
        """Return cool ranks, coolest first as of the last time they were sorted."""
        if self._steps_since_sort == 0:
            loads = self.map.load_by_rank
            ranks = sorted(range(len(loads)), key=loads.__getitem__)
            self._coolest = ranks[:_MAX_TARGET_RANKS]
        self._steps_since_sort = (self._steps_since_sort + 1) % _STEPS_PER_SORT
        return self._coolest

    def _candidate_steps(self, hottest: int) -> list[_Step]:
        """Return the steps with the coolest ranks, or with further ones if none."""
        coolest = self._coolest_ranks()
        first_targets, further_targets = (
            coolest[:_FIRST_TARGET_RANKS],
            coolest[_FIRST_TARGET_RANKS:],
        )
        load = self.map.load_by_rank[hottest]
        steps = [
            *self._replica_steps(hottest, first_targets, _HEAVIEST_EXPERTS, load),
            *self._replacement_steps(hottest),
            *self._exchange_steps(hottest, first_targets),
        ]
        return steps or [
            *self._replica_steps(hottest, further_targets, _HEAVIEST_EXPERTS, load),
            *self._exchange_steps(hottest, further_targets),
        ]

    def _replica_steps(
        self, hottest: int, targets: list[int], heaviest: int, highest: float
    ) -> Iterator[_Step]:
        """Yield the steps that add a replica of one of the rank's experts elsewhere.

        :param heaviest: number of experts of the rank to try.
        :param highest: only steps whose peak is below it are of use.
        """
        held_by_rank = self.map.held_by_rank
        shares = self.map.share_by_expert
        share_after_by_expert = {
            expert: self.map.share_with_added_replica(expert)
            for expert in held_by_rank[hottest]
        }
        candidates = heapq.nlargest(
            heaviest,
            share_after_by_expert,
            key=lambda expert: (
                shares[expert] - share_after_by_expert[expert],
                -expert,
            ),
        )
        for rank in targets:
            removal_options = self._removal_options(rank)
            for added in candidates:
                if added in held_by_rank[rank]:
                    continue
                share = share_after_by_expert[added]
                relieved = self.map.load_by_rank[hottest] - shares[added] + share
                for removed, load_without, peak_of_other_hosts in removal_options:
                    peak = max(relieved, load_without + share, peak_of_other_hosts)
                    if peak < highest:
                        yield _Step(peak, rank, removed, added)

    def _removal_options(self, rank: int) -> list[tuple[int | None, float, float]]:
        """Return what the rank can give up: expert, load without it, risen peak."""
        load = self.map.load_by_rank[rank]
        if len(self.map.held_by_rank[rank]) < self._slots_per_rank:
            return [(None, load, 0.0)]
        return [
            (
                expert,
                load - self.map.share_by_expert[expert],
                self.map.peak_of_other_hosts_without(expert, rank),
            )
            for expert in self._removable_experts(rank)
        ]

    def _removable_experts(self, rank: int) -> list[int]:
        return [
            expert
            for expert in sorted(self.map.held_by_rank[rank])
            if len(self.map.hosts_by_expert[expert]) > 1
            and (rank, expert) not in self._pinned_replicas
        ]

    def _replacement_steps(self, hottest: int) -> Iterator[_Step]:
        """Yield the steps that replace one of the rank's replicas by a colder one."""
        removable = self._removable_experts(hottest)
        if not removable:
            return
        load = self.map.load_by_rank[hottest]
        share_after_by_expert = {
            expert: self.map.share_with_added_replica(expert)
            for expert, hosts in enumerate(self.map.hosts_by_expert)
            if hottest not in hosts
        }
        coldest = heapq.nsmallest(
            _COLDEST_EXPERTS,
            share_after_by_expert,
            key=share_after_by_expert.__getitem__,
        )
        for removed in removable:
            peak_of_other_hosts = self.map.peak_of_other_hosts_without(removed, hottest)
            load_without = load - self.map.share_by_expert[removed]
            for added in coldest:
                peak = max(
                    load_without + share_after_by_expert[added], peak_of_other_hosts
                )
                if peak < load:
                    yield _Step(peak, hottest, removed, added)

    def _exchange_steps(self, hottest: int, targets: list[int]) -> Iterator[_Step]:
        """Yield, for each of the rank's experts, the exchanges that level best."""
        shares = self.map.share_by_expert
        held_by_rank = self.map.held_by_rank
        hot_load = self.map.load_by_rank[hottest]
        for rank in targets:
            load = self.map.load_by_rank[rank]
            half_gap = (hot_load - load) / 2
            offered = sorted(
                (shares[expert], expert)
                for expert in held_by_rank[rank] - held_by_rank[hottest]
            )
            for removed in sorted(held_by_rank[hottest] - held_by_rank[rank]):
                at = bisect_left(offered, (shares[removed] - half_gap, -1))
                for share, added in offered[max(0, at - 1) : at + 1]:
                    shift = shares[removed] - share
                    peak = max(hot_load - shift, load + shift)
                    if peak < hot_load:
                        yield _Step(peak, hottest, removed, added, exchange_rank=rank)

    def _apply(self, step: _Step) -> None:
        if step.exchange_rank is not None and step.removed is not None:
            self.map.exchange(step.rank, step.removed, step.exchange_rank, step.added)
            return
        if step.removed is not None:
            self.map.remove(step.rank, step.removed)
        self.map.add(step.rank, step.added)


__all__ = ["PlacementSearch"]
