"""Relabels the ranks of a planned map so that the fewest slots move.

Ranks with the same experts are matched first, which loses nothing: overlap is a
distance between sets and keeps the triangle inequality. The rest is assigned by the
Hungarian method.
"""

from __future__ import annotations

from collections import defaultdict

import numpy as np
from numpy.typing import NDArray

from corianderrelay.state.expert_map import ExpertMap


def relabel_ranks(current: ExpertMap, planned: ExpertMap) -> ExpertMap:
    """Return ``planned`` with its ranks in the order that moves the fewest slots."""
    old = current.experts_by_rank
    new = planned.experts_by_rank
    unmatched_by_held = defaultdict(list)
    for index, held in enumerate(new):
        unmatched_by_held[held].append(index)
    taken: dict[int, int] = {}
    for rank, held in enumerate(old):
        if unmatched_by_held[held]:
            taken[rank] = unmatched_by_held[held].pop()
    rows = [rank for rank in range(len(old)) if rank not in taken]
    columns = sorted(index for rest in unmatched_by_held.values() for index in rest)
    if rows:
        cost = np.array(
            [
                [len(set(new[column]) - set(old[row])) for column in columns]
                for row in rows
            ],
            dtype=np.float64,
        )
        taken |= {
            rows[row]: columns[column] for row, column in enumerate(assign_least(cost))
        }
    return ExpertMap(tuple(new[taken[rank]] for rank in range(len(old))))


def assign_least(cost: NDArray[np.float64]) -> list[int]:
    """Return the column of each row in a square assignment of the least total cost."""
    size = len(cost)
    row_price = np.zeros(size + 1)
    column_price = np.zeros(size + 1)
    row_of_column = np.full(size + 1, size)
    for row in range(size):
        row_of_column[size] = row
        column = size
        least = np.full(size, np.inf)
        previous = np.full(size, size)
        used = np.zeros(size + 1, dtype=bool)
        while row_of_column[column] != size:
            used[column] = True
            current = row_of_column[column]
            free = ~used[:size]
            reduced = cost[current] - row_price[current] - column_price[:size]
            better = free & (reduced < least)
            least[better] = reduced[better]
            previous[better] = column
            column_next = int(np.argmin(np.where(free, least, np.inf)))
            step = least[column_next]
            row_price[row_of_column[used]] += step
            column_price[used] -= step
            least[free] -= step
            column = column_next
        while column != size:
            before = int(previous[column])
            row_of_column[column] = row_of_column[before]
            column = before
    columns = [0] * size
    for column in range(size):
        columns[int(row_of_column[column])] = column
    return columns


__all__ = ["assign_least", "relabel_ranks"]
