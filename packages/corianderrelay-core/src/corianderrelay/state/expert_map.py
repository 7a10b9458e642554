"""The expert map of a group: which experts each rank holds, and the resulting loads.

The tokens of an expert are spread evenly over its replicas. A rank holds at most one
replica of an expert. The order of a rank's slots has no meaning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from .errors import RelayError

if TYPE_CHECKING:
    from collections.abc import Sequence


class InvalidMapError(RelayError):
    """The expert map does not match the group's ranks, experts and slots."""

    kind = "invalid_expert_map"
    http_status = 422


class ExpertMap(Struct, frozen=True):
    """The experts held by each rank of a group, in the order of ranks."""

    experts_by_rank: tuple[tuple[int, ...], ...]


class SlotMove(Struct, frozen=True):
    """A slot of a rank that loads another expert.

    ``removed_expert`` is ``None`` if the slot was empty.
    """

    rank: int
    removed_expert: int | None
    added_expert: int


def replica_counts(expert_map: ExpertMap, experts: int) -> list[int]:
    """Return the number of replicas of each expert."""
    counts = [0] * experts
    for held in expert_map.experts_by_rank:
        for expert in held:
            counts[expert] += 1
    return counts


def rank_loads(expert_map: ExpertMap, tokens_by_expert: Sequence[float]) -> list[float]:
    """Return the load of each rank, in the unit of ``tokens_by_expert``.

    Experts without a replica add no load.
    """
    counts = replica_counts(expert_map, len(tokens_by_expert))
    replica_loads = [
        tokens / count if count else 0.0
        for tokens, count in zip(tokens_by_expert, counts)
    ]
    return [
        sum(replica_loads[expert] for expert in held)
        for held in expert_map.experts_by_rank
    ]


def skew(expert_map: ExpertMap, tokens_by_expert: Sequence[float]) -> float:
    """Return the highest rank load divided by the mean; 1.0 if there is no load."""
    total = sum(tokens_by_expert)
    if total <= 0.0:
        return 1.0
    loads = rank_loads(expert_map, tokens_by_expert)
    return max(loads) * len(loads) / total


def moves_between(old: ExpertMap, new: ExpertMap) -> tuple[SlotMove, ...]:
    """Return the slots that load another expert when ``old`` changes to ``new``."""
    return tuple(
        move
        for rank, (held, wanted) in enumerate(
            zip(old.experts_by_rank, new.experts_by_rank)
        )
        for move in _rank_moves(rank, held, wanted)
    )


def _rank_moves(
    rank: int, held: tuple[int, ...], wanted: tuple[int, ...]
) -> list[SlotMove]:
    if held == wanted:
        return []
    added = sorted(set(wanted) - set(held))
    removed: list[int | None] = [*sorted(set(held) - set(wanted))]
    removed += [None] * (len(added) - len(removed))
    return [
        SlotMove(rank=rank, removed_expert=old_expert, added_expert=new_expert)
        for old_expert, new_expert in zip(removed, added)
    ]


def validate_map(
    expert_map: ExpertMap, ranks: int, experts: int, slots_per_rank: int
) -> Result[None, InvalidMapError]:
    """Validate a map against the group's numbers of ranks, experts and slots.

    Every expert needs a replica, and no rank may exceed its slots or hold an expert
    more than once.
    """
    held_by_rank = expert_map.experts_by_rank
    problem = ""
    if len(held_by_rank) != ranks:
        problem = f"the map has {len(held_by_rank)} ranks, but the group has {ranks}"
    elif any(len(held) > slots_per_rank for held in held_by_rank):
        problem = f"a rank holds more experts than its {slots_per_rank} slots"
    elif any(len(set(held)) != len(held) for held in held_by_rank):
        problem = "a rank holds an expert more than once"
    elif set().union(*held_by_rank) != set(range(experts)):
        problem = f"the map does not hold exactly the experts 0 to {experts - 1}"
    if not problem:
        return Ok(None)
    return Err(InvalidMapError(problem, "plan a map for the group's current settings"))


__all__ = [
    "ExpertMap",
    "InvalidMapError",
    "SlotMove",
    "validate_map",
    "moves_between",
    "rank_loads",
    "replica_counts",
    "skew",
]
