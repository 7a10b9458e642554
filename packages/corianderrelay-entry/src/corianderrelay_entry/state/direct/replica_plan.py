"""Plans replicas of popular experts to balance the ranks of a group.

Each expert keeps its initial rank; replicas use the remaining expert slots. A rank's
load is the sum of its experts' tokens, each divided evenly among the ranks that hold
it, multiplied by the rank's slowness. The most loaded rank of each set determines the
duration of a pass.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .rank_orders import ExpertSets

_MAX_CANDIDATES = 3  # most loaded experts evaluated on the most loaded rank
_MIN_GAIN = 0.02  # share of the mean load; less does not justify a copy
_TARGET_SKEW = 1.3  # peak over mean load; further copies gain little


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Limits on a new map.

    :param expert_slots: expert slots of a rank per set.
    :param max_new_per_set: experts per set that a rank may copy for one map.
    :param copies: experts of all sets that a rank may copy for one map.
    """

    expert_slots: int
    max_new_per_set: int
    copies: int


class _SetPlan:
    """Working state of the plan for one set.

    :param initial_experts: experts of each rank before replicas are added.
    :param current_experts: experts that each rank holds now; keeping one needs no copy.
    """

    __slots__ = (
        "tokens",
        "current_experts",
        "slowness",
        "ranks_by_expert",
        "loads",
        "free_slots",
        "new_copies",
    )

    def __init__(
        self,
        tokens: Sequence[float],
        initial_experts: Sequence[Sequence[int]],
        current_experts: Sequence[frozenset[int]],
        slowness: Sequence[float],
        expert_slots: int,
    ) -> None:
        self.tokens = tokens
        self.current_experts = current_experts
        self.slowness = slowness
        self.ranks_by_expert: list[list[int]] = [[] for _ in tokens]
        for rank, experts in enumerate(initial_experts):
            for expert in experts:
                self.ranks_by_expert[expert].append(rank)
        self.loads = [0.0] * len(initial_experts)
        for expert, ranks in enumerate(self.ranks_by_expert):
            for rank in ranks:
                self.loads[rank] += slowness[rank] * tokens[expert] / len(ranks)
        self.free_slots = [expert_slots - len(experts) for experts in initial_experts]
        self.new_copies = [0] * len(initial_experts)

    @property
    def mean_load(self) -> float:
        """Load of a rank of normal speed under a perfectly even distribution."""
        return sum(self.tokens) / len(self.loads)

    @property
    def skew(self) -> float:
        """Maximum load divided by the mean load; 1 without load."""
        return max(self.loads) / self.mean_load if self.mean_load else 1.0

    def experts_by_rank(self) -> list[tuple[int, ...]]:
        """Return the experts of each rank."""
        experts: list[list[int]] = [[] for _ in self.loads]
        for expert, ranks in enumerate(self.ranks_by_expert):
            for rank in ranks:
                experts[rank].append(expert)
        return [tuple(each) for each in experts]

    def loads_with(self, expert: int, peak_rank: int, rank: int) -> tuple[float, float]:
        """Return the loads of ``peak_rank`` and ``rank`` if ``rank`` gets a replica.

        :param peak_rank: a rank that already holds the expert.
        """
        holder_count = len(self.ranks_by_expert[expert])
        before = self.tokens[expert] / holder_count
        after = self.tokens[expert] / (holder_count + 1)
        relieved_load = self.loads[peak_rank] - self.slowness[peak_rank] * (
            before - after
        )
        return relieved_load, self.loads[rank] + self.slowness[rank] * after

    def add_replica(self, expert: int, rank: int) -> None:
        """Add a replica."""
        holders = self.ranks_by_expert[expert]
        before = self.tokens[expert] / len(holders)
        after = self.tokens[expert] / (len(holders) + 1)
        for holder in holders:
            self.loads[holder] -= self.slowness[holder] * (before - after)
        holders.append(rank)
        self.loads[rank] += self.slowness[rank] * after
        self.free_slots[rank] -= 1

    def heaviest_experts(self, rank: int) -> list[int]:
        """Return up to ``_MAX_CANDIDATES`` experts that add most to a rank's load."""
        heaviest = [
            expert for expert, ranks in enumerate(self.ranks_by_expert) if rank in ranks
        ]
        heaviest.sort(
            key=lambda expert: -self.tokens[expert] / len(self.ranks_by_expert[expert])
        )
        return heaviest[:_MAX_CANDIDATES]


def plan_replicas(
    tokens_by_set: Sequence[Sequence[float]],
    initial_map: Sequence[ExpertSets],
    active_map: Sequence[ExpertSets],
    slowness: Sequence[float],
    limits: ReplicaLimits,
) -> tuple[ExpertSets, ...]:
    """Return a map with replicas for the given popularity.

    :param tokens_by_set: tokens routed to each expert, per set.
    :param initial_map: the initial rank of each expert, which it never leaves.
    :param active_map: the experts that ranks hold now; keeping one needs no copy.
    :param slowness: factor by which each rank takes longer than usual.
    """
    copies_left = [limits.copies] * len(initial_map)
    sets = [
        _SetPlan(
            tokens,
            [experts[set_index] for experts in initial_map],
            [frozenset(experts[set_index]) for experts in active_map],
            slowness,
            limits.expert_slots,
        )
        for set_index, tokens in enumerate(tokens_by_set)
    ]
    unfinished_sets = list(sets)
    while unfinished_sets:
        # Copies per rank are limited, so the most skewed set gets them first.
        most_skewed = max(unfinished_sets, key=lambda each: each.skew)
        replica = _best_replica(most_skewed, limits, copies_left)
        if replica is None:
            unfinished_sets.remove(most_skewed)
            continue
        expert, rank = replica
        if expert not in most_skewed.current_experts[rank]:
            most_skewed.new_copies[rank] += 1
            copies_left[rank] -= 1
        most_skewed.add_replica(expert, rank)
    maps = [each.experts_by_rank() for each in sets]
    return tuple(
        tuple(experts_by_rank[rank] for experts_by_rank in maps)
        for rank in range(len(initial_map))
    )


def pass_skew(
    tokens_by_set: Sequence[Sequence[float]],
    experts_by_rank: Sequence[ExpertSets],
    slowness: Sequence[float],
) -> float:
    """Return the mean over all sets of the maximum load divided by the mean load.

    The mean load assumes ranks of normal speed.
    """
    skews = [
        _SetPlan(
            tokens, [experts[set_index] for experts in experts_by_rank], (), slowness, 0
        ).skew
        for set_index, tokens in enumerate(tokens_by_set)
    ]
    return sum(skews) / len(skews) if skews else 1.0


def _best_replica(
    plan: _SetPlan, limits: ReplicaLimits, copies_left: Sequence[int]
) -> tuple[int, int] | None:
    """Return the expert and rank of the best replica for the most loaded rank.

    Return ``None`` if the set is balanced or no replica is worth its copy.
    """
    if plan.skew <= _TARGET_SKEW:
        return None
    max_load = max(plan.loads)
    peak_rank = plan.loads.index(max_load)
    best: tuple[bool, float, int, int] | None = None
    for expert in plan.heaviest_experts(peak_rank):
        for rank, free_slots in enumerate(plan.free_slots):
            if free_slots <= 0 or rank in plan.ranks_by_expert[expert]:
                continue
            is_new = expert not in plan.current_experts[rank]
            if is_new and (
                plan.new_copies[rank] >= limits.max_new_per_set or not copies_left[rank]
            ):
                continue
            relieved_load, receiver_load = plan.loads_with(expert, peak_rank, rank)
            if (
                receiver_load >= max_load
                or max_load - relieved_load < _MIN_GAIN * plan.mean_load
            ):
                continue
            # Prefer replicas that the rank already holds, which need no copy.
            candidate = (is_new, max(relieved_load, receiver_load), expert, rank)
            best = candidate if best is None else min(best, candidate)
    return None if best is None else (best[2], best[3])


__all__ = ["ReplicaLimits", "pass_skew", "plan_replicas"]
