"""Chooses which of the waiting requests of a priority to refuse when not all fit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .request_cost import SizeDisplacements, scheduling_value

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .request_cost import RequestCost

_WORK_WEIGHT = 0.05  # weight of the newest request in the mean work of its priority
_MIN_VALUE_RATIO = 0.8  # a request is displaced only by one that is worth clearly more


class RefusalChoice:
    """Chooses the request of least value, within bounds for returns and sizes."""

    __slots__ = ("_sizes", "_mean_work_by_priority")

    def __init__(self) -> None:
        self._sizes = SizeDisplacements()
        self._mean_work_by_priority: dict[int, float] = {}

    def record_arrival(self, cost: RequestCost) -> None:
        """Record a request that may wait."""
        mean_work = self._mean_work_by_priority.get(cost.priority, float(cost.work))
        mean_work += _WORK_WEIGHT * (cost.work - mean_work)
        self._mean_work_by_priority[cost.priority] = mean_work
        self._sizes.record_arrival(cost, mean_work)

    def choose(self, costs: Sequence[RequestCost], now: float) -> int:
        """Return the index of the request to refuse.

        Callers that return after a refusal are refused last.

        :param costs: waiting requests of one priority in the order of the queue; the
            last one is expected to be late.
        """
        late = costs[-1]
        if late.returned:
            return len(costs) - 1
        mean_work = self._mean_work_by_priority[late.priority]
        index = min(
            (index for index, cost in enumerate(costs) if not cost.returned),
            key=lambda index: (scheduling_value(costs[index], mean_work, now), -index),
        )
        chosen = costs[index]
        value = scheduling_value(chosen, mean_work, now)
        late_value = scheduling_value(late, mean_work, now)
        if value >= _MIN_VALUE_RATIO * late_value:
            return len(costs) - 1
        if not self._sizes.allowed(chosen, mean_work):
            return len(costs) - 1
        self._sizes.record_displaced(chosen, mean_work)
        return index


__all__ = ["RefusalChoice"]
