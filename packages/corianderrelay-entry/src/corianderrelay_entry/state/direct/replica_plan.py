"""Plans replicas of popular experts, so that no rank of a group holds up the others.

Each expert keeps its first rank; the places that are left take replicas. A rank's load
is the sum of its experts' tokens, each shared evenly by the ranks that hold it, and a
pass takes as long as the most loaded rank of each set.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .rank_orders import ExpertSets

_CANDIDATES = 3  # heaviest experts of the most loaded rank that are tried
_LEAST_GAIN = 0.005  # share of the peak below which a replica is not worth its copy
_EVEN_ENOUGH = 1.2  # peak over mean; copies beyond it gain little


@dataclass(frozen=True, slots=True)
class ReplicaRules:
    """Limits on a new map.

    :param places: experts that a rank holds in each set.
    :param new_in_set: experts of a set that a rank may copy for one map.
    :param copies: experts of all sets that a rank may copy for one map.
    """

    places: int
    new_in_set: int
    copies: int


class _SetPlan:
    """The ranks of one set's experts while replicas are added."""

    __slots__ = ("tokens", "ranks_by_expert", "loads", "room", "new")

    def __init__(
        self, tokens: Sequence[float], first: Sequence[Sequence[int]], places: int
    ) -> None:
        self.tokens = tokens
        self.ranks_by_expert: list[list[int]] = [[] for _ in tokens]
        for rank, experts in enumerate(first):
            for expert in experts:
                self.ranks_by_expert[expert].append(rank)
        self.loads = [sum(tokens[expert] for expert in experts) for experts in first]
        self.room = [places - len(experts) for experts in first]
        self.new = [0] * len(first)

    def peak_with(self, expert: int, rank: int) -> float:
        """Return the load of the most loaded rank if a replica is added."""
        held = self.ranks_by_expert[expert]
        before = self.tokens[expert] / len(held)
        after = self.tokens[expert] / (len(held) + 1)
        return max(
            load
            - (before - after if other in held else 0.0)
            + (after if other == rank else 0.0)
            for other, load in enumerate(self.loads)
        )

    def add(self, expert: int, rank: int) -> None:
        """Add a replica."""
        held = self.ranks_by_expert[expert]
        before = self.tokens[expert] / len(held)
        after = self.tokens[expert] / (len(held) + 1)
        for other in held:
            self.loads[other] -= before - after
        held.append(rank)
        self.loads[rank] += after
        self.room[rank] -= 1

    def heaviest(self, rank: int) -> list[int]:
        """Return the experts that load a rank most."""
        held = [
            expert for expert, ranks in enumerate(self.ranks_by_expert) if rank in ranks
        ]
        held.sort(
            key=lambda expert: -self.tokens[expert] / len(self.ranks_by_expert[expert])
        )
        return held[:_CANDIDATES]


def plan_replicas(
    tokens_by_set: Sequence[Sequence[float]],
    first_map: Sequence[ExpertSets],
    map_in_use: Sequence[ExpertSets],
    rules: ReplicaRules,
) -> tuple[ExpertSets, ...]:
    """Return a map with replicas for this popularity.

    :param tokens_by_set: tokens that chose each expert, set by set.
    :param first_map: the ranks that experts never leave.
    :param map_in_use: what ranks hold now; keeping it costs no copy.
    """
    copies_left = [rules.copies] * len(first_map)
    sets = [
        _plan_set(
            tokens,
            [experts[number] for experts in first_map],
            [frozenset(experts[number]) for experts in map_in_use],
            rules,
            copies_left,
        )
        for number, tokens in enumerate(tokens_by_set)
    ]
    return tuple(
        tuple(experts_by_rank[rank] for experts_by_rank in sets)
        for rank in range(len(first_map))
    )


def pass_skew(
    tokens_by_set: Sequence[Sequence[float]], experts_by_rank: Sequence[ExpertSets]
) -> float:
    """Return the mean over the sets of the most loaded rank over the mean rank."""
    skews = []
    for number, tokens in enumerate(tokens_by_set):
        plan = _SetPlan(tokens, [experts[number] for experts in experts_by_rank], 0)
        total = sum(tokens)
        if total <= 0.0:
            continue
        loads = [0.0] * len(experts_by_rank)
        for expert, ranks in enumerate(plan.ranks_by_expert):
            for rank in ranks:
                loads[rank] += tokens[expert] / len(ranks)
        skews.append(max(loads) * len(loads) / total)
    return sum(skews) / len(skews) if skews else 1.0


def _plan_set(
    tokens: Sequence[float],
    first: Sequence[Sequence[int]],
    held: Sequence[frozenset[int]],
    rules: ReplicaRules,
    copies_left: list[int],
) -> list[tuple[int, ...]]:
    plan = _SetPlan(tokens, first, rules.places)
    while (step := _best_step(plan, held, rules, copies_left)) is not None:
        expert, rank = step
        if expert not in held[rank]:
            plan.new[rank] += 1
            copies_left[rank] -= 1
        plan.add(expert, rank)
    experts_by_rank: list[list[int]] = [[] for _ in first]
    for expert, ranks in enumerate(plan.ranks_by_expert):
        for rank in ranks:
            experts_by_rank[rank].append(expert)
    return [tuple(experts) for experts in experts_by_rank]


def _best_step(
    plan: _SetPlan,
    held: Sequence[frozenset[int]],
    rules: ReplicaRules,
    copies_left: Sequence[int],
) -> tuple[int, int] | None:
    """Return the replica that lowers the peak most, or ``None``."""
    peak = max(plan.loads)
    if peak * len(plan.loads) <= _EVEN_ENOUGH * sum(plan.loads):
        return None
    best: tuple[float, int, int] | None = None
    for expert in plan.heaviest(plan.loads.index(peak)):
        for rank, room in enumerate(plan.room):
            if room <= 0 or rank in plan.ranks_by_expert[expert]:
                continue
            is_new = expert not in held[rank]
            if is_new and (plan.new[rank] >= rules.new_in_set or not copies_left[rank]):
                continue
            trial = (plan.peak_with(expert, rank) + plan.loads[rank] * 1e-3, expert)
            if best is None or (*trial, rank) < best:
                best = (*trial, rank)
    if best is None:
        return None
    _, expert, rank = best
    if plan.peak_with(expert, rank) > peak * (1.0 - _LEAST_GAIN):
        return None
    return expert, rank


__all__ = ["ReplicaRules", "pass_skew", "plan_replicas"]
