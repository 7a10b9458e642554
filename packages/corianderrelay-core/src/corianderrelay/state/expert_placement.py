"""Plans a group's first expert map: greedy placement, heaviest replicas first.

The expert planner then changes this map incrementally, a few slots at a time.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from .expert_map import ExpertMap

if TYPE_CHECKING:
    from collections.abc import Sequence


def plan_placement(
    tokens_by_expert: Sequence[float], ranks: int, slots_per_rank: int
) -> ExpertMap:
    """Return a map that fills the group's slots and balances the ranks' loads.

    :param tokens_by_expert: predicted load of each expert, in any unit.
    :raises ValueError: if the group has fewer slots than experts.
    """
    counts = _replica_counts_by_load(tokens_by_expert, ranks, ranks * slots_per_rank)
    replica_loads = [tokens / count for tokens, count in zip(tokens_by_expert, counts)]
    heaviest_first = sorted(
        (
            (-replica_loads[expert], expert)
            for expert, count in enumerate(counts)
            for _ in range(count)
        )
    )
    held_by_rank: list[set[int]] = [set() for _ in range(ranks)]
    ranks_by_load = [(0.0, 0, rank) for rank in range(ranks)]
    for negative_load, expert in heaviest_first:
        _place_replica(
            expert, -negative_load, held_by_rank, ranks_by_load, slots_per_rank
        )
    return ExpertMap(tuple(tuple(sorted(held)) for held in held_by_rank))


def _replica_counts_by_load(
    tokens_by_expert: Sequence[float], ranks: int, slots: int
) -> list[int]:
    """Return the number of replicas of each expert.

    Each further replica goes to the expert with the highest load per replica.
    """
    experts = len(tokens_by_expert)
    if experts > slots:
        raise ValueError(
            f"{experts} experts do not fit into {slots} slots; "
            "give the group more ranks or more slots per rank"
        )
    counts = [1] * experts
    heap = [(-tokens, expert) for expert, tokens in enumerate(tokens_by_expert)]
    heapq.heapify(heap)
    for _ in range(min(slots, experts * ranks) - experts):
        while counts[heap[0][1]] >= ranks:
            heapq.heappop(heap)
        _, expert = heap[0]
        counts[expert] += 1
        load = tokens_by_expert[expert] / counts[expert]
        heapq.heapreplace(heap, (-load, expert))
    return counts


def _place_replica(
    expert: int,
    load: float,
    held_by_rank: list[set[int]],
    ranks_by_load: list[tuple[float, int, int]],
    slots_per_rank: int,
) -> None:
    """Place a replica on the least loaded rank that has a free slot for it.

    The replica is omitted if every rank with a free slot holds the expert already.
    """
    skipped = []
    while ranks_by_load:
        entry = heapq.heappop(ranks_by_load)
        rank_load, used_slots, rank = entry
        if expert not in held_by_rank[rank]:
            held_by_rank[rank].add(expert)
            if used_slots + 1 < slots_per_rank:
                heapq.heappush(ranks_by_load, (rank_load + load, used_slots + 1, rank))
            break
        skipped.append(entry)
    for entry in skipped:
        heapq.heappush(ranks_by_load, entry)


__all__ = ["plan_placement"]
