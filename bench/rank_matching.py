"""Relabels the ranks of a planned map so that the fewest slots move.

Ranks with the same experts are matched first. The result stays optimal because the
number of differing experts is a distance between sets, for which the triangle
inequality holds. The remaining ranks are assigned by the Hungarian method.
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
    unmatched_by_experts = defaultdict(list)
    for index, experts in enumerate(new):
        unmatched_by_experts[experts].append(index)
    planned_by_rank: dict[int, int] = {}
    for rank, experts in enumerate(old):
        if unmatched_by_experts[experts]:
            planned_by_rank[rank] = unmatched_by_experts[experts].pop()
    rows = [rank for rank in range(len(old)) if rank not in planned_by_rank]
    columns = sorted(
        index for indexes in unmatched_by_experts.values() for index in indexes
    )
    if rows:
        cost = np.array(
            [
                [len(set(new[column]) - set(old[row])) for column in columns]
                for row in rows
            ],
            dtype=np.float64,
        )
        planned_by_rank |= {
            rows[row]: columns[column]
            for row, column in enumerate(assign_min_cost(cost))
        }
    return ExpertMap(tuple(new[planned_by_rank[rank]] for rank in range(len(old))))


def assign_min_cost(cost: NDArray[np.float64]) -> list[int]:
    """Return the column of each row in the assignment with the least total cost.

    :param cost: square matrix, by row and column.
    """
    size = len(cost)
    row_potential = np.zeros(size + 1)
    column_potential = np.zeros(size + 1)
    row_of_column = np.full(size + 1, size)
    for row in range(size):
        row_of_column[size] = row
        column = size
        min_reduced = np.full(size, np.inf)
        previous = np.full(size, size)
        used = np.zeros(size + 1, dtype=bool)
        while row_of_column[column] != size:
            used[column] = True
            current = row_of_column[column]
            unused = ~used[:size]
            reduced = cost[current] - row_potential[current] - column_potential[:size]
            better = unused & (reduced < min_reduced)
            min_reduced[better] = reduced[better]
            previous[better] = column
            next_column = int(np.argmin(np.where(unused, min_reduced, np.inf)))
            step = min_reduced[next_column]
            row_potential[row_of_column[used]] += step
            column_potential[used] -= step
            min_reduced[unused] -= step
            column = next_column
        while column != size:
            previous_column = int(previous[column])
            row_of_column[column] = row_of_column[previous_column]
            column = previous_column
    columns = [0] * size
    for column in range(size):
        columns[int(row_of_column[column])] = column
    return columns


__all__ = ["assign_min_cost", "relabel_ranks"]
