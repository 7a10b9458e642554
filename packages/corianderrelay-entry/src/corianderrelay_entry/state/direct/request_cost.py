"""Values requests by what it costs their callers to delay or refuse them.

The load is a burst of a low-value kind on top of steady urgent kinds that need most of
the slots. Priority comes first; within a priority, requests that can be in time precede
those that cannot, and small ones are worth slightly more per unit of work.
"""

from __future__ import annotations

from dataclasses import dataclass

_PRIORITY_FACTOR = 2.0  # a request is worth twice as much as one of the next priority
_LATE_GAIN = 0.3  # value of a late answer relative to one in time
# An answer token needs a step of its own; prompt tokens are processed many at a time.
_ANSWER_TOKEN_WORK = 10
_SIZE_INDEPENDENT_VALUE = 0.3  # the rest of a request's value grows with its size
# Within these sizes, the value per unit of work varies by a factor of 1.7, so that size
# never outweighs a step of priority.
_MIN_SIZE, _MAX_SIZE = 0.5, 4.0
_SIZE_CLASS_BOUNDS = (1.0, 1.5, 2.0, 3.0)
_MAX_DISPLACED_SHARE = 0.25  # of a size class; a class that gets less would starve
_COUNTED_ARRIVALS = 64  # of a size class; older ones count half


@dataclass(frozen=True, slots=True)
class RequestCost:
    """What the decisions on a waiting request depend on.

    :param priority: 0 is the highest.
    :param work: see :func:`work_units`.
    :param latest_start_s: monotonic time until which it can start and be in time.
    :param deadline_s: monotonic time at which its caller stops waiting.
    :param returned: whether its caller was refused before.
    :param late: whether its answer is late in any case, so that it starts behind all
        requests that can be in time; ``latest_start_s`` is when it leaves the queue.
    """

    priority: int
    work: int
    latest_start_s: float
    deadline_s: float
    returned: bool = False
    late: bool = False


def work_units(prompt_tokens: int, answer_tokens: int) -> int:
    """Return the work of a request in prompt tokens; at least 1."""
    return max(prompt_tokens + _ANSWER_TOKEN_WORK * answer_tokens, 1)


def scheduling_value(cost: RequestCost, mean_work: float, start_s: float) -> float:
    """Return the value per unit of work of a request that starts at ``start_s``.

    :param mean_work: mean work of the requests of its priority.
    :param start_s: expected start in monotonic seconds.
    """
    if start_s >= cost.deadline_s:
        return 0.0
    gain = 1.0 if start_s <= cost.latest_start_s else _LATE_GAIN
    size = min(max(cost.work / mean_work, _MIN_SIZE), _MAX_SIZE)
    per_work = _SIZE_INDEPENDENT_VALUE / size + 1.0 - _SIZE_INDEPENDENT_VALUE
    value: float = gain * per_work * _PRIORITY_FACTOR**-cost.priority
    return value


class SizeDisplacements:
    """Bounds how many requests of each size class are displaced for their size."""

    __slots__ = ("_arrived_by_class", "_displaced_by_class")

    def __init__(self) -> None:
        self._arrived_by_class: dict[tuple[int, int], float] = {}
        self._displaced_by_class: dict[tuple[int, int], float] = {}

    def record_arrival(self, cost: RequestCost, mean_work: float) -> None:
        """Record a request that may wait."""
        key = _size_class(cost, mean_work)
        arrived = self._arrived_by_class.get(key, 0.0) + 1.0
        if arrived > _COUNTED_ARRIVALS:
            arrived /= 2.0
            self._displaced_by_class[key] = self._displaced_by_class.get(key, 0.0) / 2.0
        self._arrived_by_class[key] = arrived

    def allowed(self, cost: RequestCost, mean_work: float) -> bool:
        """Return whether another request of this size class may be displaced."""
        key = _size_class(cost, mean_work)
        displaced = self._displaced_by_class.get(key, 0.0) + 1.0
        arrived = self._arrived_by_class.get(key, 0.0)
        return displaced <= _MAX_DISPLACED_SHARE * arrived

    def record_displaced(self, cost: RequestCost, mean_work: float) -> None:
        """Record that a request was displaced for its size."""
        key = _size_class(cost, mean_work)
        self._displaced_by_class[key] = self._displaced_by_class.get(key, 0.0) + 1.0


def _size_class(cost: RequestCost, mean_work: float) -> tuple[int, int]:
    size = cost.work / mean_work
    return cost.priority, sum(size >= bound for bound in _SIZE_CLASS_BOUNDS)


__all__ = ["RequestCost", "SizeDisplacements", "scheduling_value", "work_units"]
