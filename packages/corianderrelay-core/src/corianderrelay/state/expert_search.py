"""Local search over expert maps that relieves the most loaded rank step by step.

A step either changes one slot (adds a replica of one expert, removes one of another) or
exchanges two experts between two ranks. Every rank whose load a step raises must stay
below the previous load of the rank that it relieves.
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
_LIGHTEST_EXPERTS = 4
_HEAVIEST_EXPERTS = 4
_MIN_RELIEF_FRACTION = 1e-6  # of the mean rank load
_MAX_PINNED_REPLICAS = 4
_CALLS_PER_SORT = 4


@dataclass(slots=True)
class _Step:
    """A change of one slot, or of two slots if two ranks exchange experts.

    ``peak`` is the highest load, after the step, of the ranks whose load it changes.
    An exchange takes ``added`` from ``exchange_rank`` and puts ``removed`` there.
    """

    peak: float
    rank: int
    removed: int | None
    added: int
    exchange_rank: int | None = None

    @property
    def slots(self) -> int:
        """Return the number of slots that load another expert."""
        return 1 if self.exchange_rank is None else 2


class PlacementSearch:
    """A local search that changes a map step by step.

    :param expert_map: map at which the search starts.
    :param tokens_by_expert: predicted load of each expert.
    :param slots_per_rank: number of slots of each rank.
    :param concentration_weight: penalty for concentrating load in single replicas, in
        relief per unit of concentrated load.
    """

    __slots__ = (
        "map",
        "_slots_per_rank",
        "_concentration_weight",
        "_pinned_replicas",
        "_least_loaded",
        "_calls_since_sort",
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
        self._least_loaded: list[int] = []
        self._calls_since_sort = 0

    def apply_best_step(self) -> bool:
        """Apply the best step for the most loaded rank; return whether there is one."""
        loads = self.map.load_by_rank
        most_loaded = max(range(len(loads)), key=loads.__getitem__)
        ceiling = loads[most_loaded]
        peak_limit = ceiling - _MIN_RELIEF_FRACTION * self.map.mean_load
        steps = [
            step
            for step in self._candidate_steps(most_loaded)
            if step.peak < peak_limit
        ]
        if not steps:
            return self._add_pinned_replica(most_loaded)
        self._apply(max(steps, key=lambda step: self._relief_per_slot(step, ceiling)))
        return True

    def _relief_per_slot(self, step: _Step, ceiling: float) -> float:
        """Return the relief by a step, less its concentration penalty, per slot."""
        concentration_cost = self._concentration_weight * self._concentration_growth(
            step
        )
        return (ceiling - step.peak - concentration_cost) / step.slots

    def _concentration_growth(self, step: _Step) -> float:
        """Return how much load the step concentrates in single replicas.

        This is the increase of the sum of squared replica loads divided by the mean
        rank load.
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

    def _add_pinned_replica(self, most_loaded: int) -> bool:
        """Add a replica of the rank's heaviest expert even if the highest load rises.

        This escapes a local optimum: later steps relieve the rank that takes the
        replica. The replica is pinned, so that no later step removes it again.
        """
        if len(self._pinned_replicas) >= _MAX_PINNED_REPLICAS:
            return False
        steps = self._replica_steps(
            most_loaded, self._least_loaded_ranks(), 1, math.inf
        )
        step = min(steps, key=lambda step: step.peak, default=None)
        if step is None:
            return False
        self._apply(step)
        self._pinned_replicas.add((step.rank, step.added))
        return True

    def _least_loaded_ranks(self) -> list[int]:
        """Return the least loaded ranks, in ascending order of load at the last sort.

        Ranks are sorted only at every ``_CALLS_PER_SORT``-th call.
        """
        if self._calls_since_sort == 0:
            loads = self.map.load_by_rank
            ranks = sorted(range(len(loads)), key=loads.__getitem__)
            self._least_loaded = ranks[:_MAX_TARGET_RANKS]
        self._calls_since_sort = (self._calls_since_sort + 1) % _CALLS_PER_SORT
        return self._least_loaded

    def _candidate_steps(self, most_loaded: int) -> list[_Step]:
        """Return the steps with the least loaded ranks, or else with further ranks."""
        least_loaded = self._least_loaded_ranks()
        first_targets, further_targets = (
            least_loaded[:_FIRST_TARGET_RANKS],
            least_loaded[_FIRST_TARGET_RANKS:],
        )
        load = self.map.load_by_rank[most_loaded]
        steps = [
            *self._replica_steps(most_loaded, first_targets, _HEAVIEST_EXPERTS, load),
            *self._replacement_steps(most_loaded),
            *self._exchange_steps(most_loaded, first_targets),
        ]
        return steps or [
            *self._replica_steps(most_loaded, further_targets, _HEAVIEST_EXPERTS, load),
            *self._exchange_steps(most_loaded, further_targets),
        ]

    def _replica_steps(
        self, most_loaded: int, targets: list[int], max_experts: int, peak_limit: float
    ) -> Iterator[_Step]:
        """Yield the steps that add a replica of one of the rank's experts elsewhere.

        :param targets: ranks that may take the replica.
        :param max_experts: number of the rank's experts to try, most relief first.
        :param peak_limit: exclusive upper limit of the peak of a step.
        """
        held_by_rank = self.map.held_by_rank
        replica_loads = self.map.replica_load_by_expert
        load_after_by_expert = {
            expert: self.map.replica_load_with_added_replica(expert)
            for expert in held_by_rank[most_loaded]
        }
        candidates = heapq.nlargest(
            max_experts,
            load_after_by_expert,
            key=lambda expert: (
                replica_loads[expert] - load_after_by_expert[expert],
                -expert,
            ),
        )
        for rank in targets:
            removal_options = self._removal_options(rank)
            for added in candidates:
                if added in held_by_rank[rank]:
                    continue
                replica_load = load_after_by_expert[added]
                relieved = (
                    self.map.load_by_rank[most_loaded]
                    - replica_loads[added]
                    + replica_load
                )
                for removed, load_without, peak_of_other_hosts in removal_options:
                    peak = max(
                        relieved, load_without + replica_load, peak_of_other_hosts
                    )
                    if peak < peak_limit:
                        yield _Step(peak, rank, removed, added)

    def _removal_options(self, rank: int) -> list[tuple[int | None, float, float]]:
        """Return the ways to have a free slot on the rank.

        Each option has the expert to remove (``None`` if a slot is free), the rank's
        load without it, and the resulting highest load of the expert's other hosts.
        """
        load = self.map.load_by_rank[rank]
        if len(self.map.held_by_rank[rank]) < self._slots_per_rank:
            return [(None, load, 0.0)]
        return [
            (
                expert,
                load - self.map.replica_load_by_expert[expert],
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

    def _replacement_steps(self, most_loaded: int) -> Iterator[_Step]:
        """Yield the steps that replace a replica of the rank by a lighter expert."""
        removable = self._removable_experts(most_loaded)
        if not removable:
            return
        load = self.map.load_by_rank[most_loaded]
        load_after_by_expert = {
            expert: self.map.replica_load_with_added_replica(expert)
            for expert, hosts in enumerate(self.map.hosts_by_expert)
            if most_loaded not in hosts
        }
        lightest = heapq.nsmallest(
            _LIGHTEST_EXPERTS,
            load_after_by_expert,
            key=load_after_by_expert.__getitem__,
        )
        for removed in removable:
            peak_of_other_hosts = self.map.peak_of_other_hosts_without(
                removed, most_loaded
            )
            load_without = load - self.map.replica_load_by_expert[removed]
            for added in lightest:
                peak = max(
                    load_without + load_after_by_expert[added], peak_of_other_hosts
                )
                if peak < load:
                    yield _Step(peak, most_loaded, removed, added)

    def _exchange_steps(self, most_loaded: int, targets: list[int]) -> Iterator[_Step]:
        """Yield, for each of the rank's experts, the exchanges that balance best."""
        replica_loads = self.map.replica_load_by_expert
        held_by_rank = self.map.held_by_rank
        highest_load = self.map.load_by_rank[most_loaded]
        for rank in targets:
            load = self.map.load_by_rank[rank]
            half_gap = (highest_load - load) / 2
            offered = sorted(
                (replica_loads[expert], expert)
                for expert in held_by_rank[rank] - held_by_rank[most_loaded]
            )
            for removed in sorted(held_by_rank[most_loaded] - held_by_rank[rank]):
                insert_index = bisect_left(
                    offered, (replica_loads[removed] - half_gap, -1)
                )
                for replica_load, added in offered[
                    max(0, insert_index - 1) : insert_index + 1
                ]:
                    shift = replica_loads[removed] - replica_load
                    peak = max(highest_load - shift, load + shift)
                    if peak < highest_load:
                        yield _Step(
                            peak, most_loaded, removed, added, exchange_rank=rank
                        )

    def _apply(self, step: _Step) -> None:
        if step.exchange_rank is not None and step.removed is not None:
            self.map.exchange(step.rank, step.removed, step.exchange_rank, step.added)
            return
        if step.removed is not None:
            self.map.remove(step.rank, step.removed)
        self.map.add(step.rank, step.added)


__all__ = ["PlacementSearch"]
