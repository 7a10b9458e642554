"""Queue that delays and refuses the requests whose delay or refusal costs least.

Requests wait in the order of priority, then callers that return after a refusal, then
the latest start in time. A request whose slot is expected too late is refused at once.
A waiting one is refused as soon as later arrivals of more value take its slot.
Requests that can only be late use slots that no others need.
"""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING, Generic, TypeVar

from .refusal_choice import RefusalChoice
from .service_queue import Enqueued
from .slot_credits import SlotCredits
from .slot_flow import SlotFlow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .request_cost import RequestCost
    from .service_queue import ServiceLoad
    from .slot_flow import SlotForecast

# A refused caller can only be late, and retries once: it is told a time at which a
# surge of seconds is likely to be over, and not the next slot, which others will take.
_MIN_RETRY_AFTER_S = 1.5
_MAX_RETRY_AFTER_S = 2.0  # load changes within seconds; a longer forecast is unreliable
_RETRY_SPREAD_S = 0.5  # so that callers that were refused together do not come together
_SPREAD_STEP = 0.618  # golden ratio: successive refusals fall into different parts
_MAX_LATE_WAIT_S = 0.5  # bounds the time that a late request is held in vain
# Expected waits vary with the load that peers report, so a waiting request is refused
# ahead of time only if its wait exceeds the time that it has left by this factor.
_REVIEW_FACTOR = 1.5
_RETURNED_FACTOR = 1.5  # refusing a returned caller for a wrong forecast costs most

T = TypeVar("T")


class _Waiting(Generic[T]):
    """A queued request.

    :ivar leaves_at: monotonic time at which it is refused if it was not admitted.
    :ivar late: whether it can no longer be in time.
    """

    __slots__ = ("item", "cost", "order", "leaves_at", "late")

    def __init__(self, item: T, cost: RequestCost, order: int) -> None:
        self.item = item
        self.cost = cost
        self.order = order
        self.leaves_at = min(cost.latest_start_s, cost.deadline_s)
        self.late = cost.late

    @property
    def key(self) -> tuple[bool, int, bool, float, int]:
        """The place in the queue; the lowest is first."""
        cost = self.cost
        new = not cost.returned
        return self.late, cost.priority, new, cost.latest_start_s, self.order


class LeastCostQueue(Generic[T]):
    """Implements ``ServiceQueue`` in the order of what a delay costs callers.

    :param phase: see ``SlotCredits``.
    """

    __slots__ = (
        "_queue",
        "_counter",
        "_flow",
        "_credits",
        "_choice",
        "_spread",
    )

    def __init__(self, phase: float) -> None:
        self._queue: list[_Waiting[T]] = []
        self._counter = itertools.count()
        self._flow = SlotFlow()
        self._credits = SlotCredits(self._flow, phase)
        self._choice = RefusalChoice()
        self._spread = phase

    def __len__(self) -> int:
        return len(self._queue)

    def waiting_by_priority(self) -> dict[int, tuple[int, int]]:
        """Return count and work of the requests that can be in time, by priority."""
        waiting: dict[int, tuple[int, int]] = {}
        for each in self._in_time():
            count, work = waiting.get(each.cost.priority, (0, 0))
            waiting[each.cost.priority] = count + 1, work + each.cost.work
        return waiting

    def record_arrival(self, priority: int, now: float) -> None:
        """Record a new request."""
        self._flow.record_arrival(priority, now)

    def record_completion(self, held_s: float, now: float) -> None:
        """Record that a request of this entry released its slot after ``held_s``."""
        self._flow.record_release(held_s)

    def start_at_once(
        self, priority: int, free: int, load: ServiceLoad, now: float
    ) -> bool:
        """Return whether a new request takes one of the free slots at once.

        Requests of its own and of higher priorities that wait take them first, and a
        waiting request whose priority is owed a slot.
        """
        self._accrue(free, load, now)
        waiting = self._counts(load)
        needed = self._flow.reserve(priority, load, now)
        needed += self._flow.unseen(priority, load, now)
        needed += sum(count for each, count in waiting.items() if each <= priority)
        here = {each.cost.priority for each in self._in_time()}
        needed += sum(each > priority and self._credits.has_slot(each) for each in here)
        return free > needed

    def expected_wait_s(self, priority: int, load: ServiceLoad, now: float) -> float:
        """Return the expected wait of another request in seconds."""
        here = sum(each.cost.priority == priority for each in self._in_time())
        forecast = self._forecast(priority, self._counts(load), load, now)
        return self._wait_s(priority, here, here + 1, forecast, load)

    def retry_after_s(
        self, priority: int, load: ServiceLoad, min_wait_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller should retry."""
        wait_s = self.expected_wait_s(priority, load, now)
        wait_s = min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        self._spread = (self._spread + _SPREAD_STEP) % 1.0
        return max(wait_s, min_wait_s) + _RETRY_SPREAD_S * self._spread

    def enqueue(
        self,
        item: T,
        cost: RequestCost,
        load: ServiceLoad,
        min_wait_s: float,
        now: float,
    ) -> Enqueued[T]:
        """Queue a request, unless its slot is expected too late."""
        self._choice.record_arrival(cost)
        new = _Waiting(item, cost, next(self._counter))
        self._insert(new)
        refused = self._refuse_late(load, min_wait_s, now)
        if new not in refused:
            return Enqueued(True, tuple(each.item for each in refused))
        waits = self._waits_late(new, load, min_wait_s, now)
        refused.remove(new)
        return Enqueued(waits, tuple(each.item for each in refused))

    def admit(self, free: int, load: ServiceLoad, now: float) -> list[T]:
        """Dequeue the requests for this entry's share of the free slots.

        Entries get slots in proportion to their waiting requests of a priority.
        """
        self._accrue(free, load, now)
        if free <= 0 or not self._queue:
            return []
        waiting = self._counts(load)
        own = Counter(each.cost.priority for each in self._in_time())
        admitted: list[T] = []
        # Higher priorities would leave no slot to those that get their floor only.
        floor_first = sorted(
            own, key=lambda each: (not self._flow.gets_floor(each, load, now), each)
        )
        for priority in floor_first:
            slots = self._credits.spend(priority, min(own[priority], free))
            admitted += self._take(priority, slots)
            free -= slots
            waiting[priority] -= slots
            own[priority] -= slots
        for priority in sorted(+own):
            spare = self._flow.spare(priority, free, waiting, load, now)
            surplus = self._flow.surplus(spare, load) * own[priority]
            slots = min(int(surplus / waiting[priority]), own[priority], free)
            admitted += self._take(priority, slots)
            free -= slots
            waiting[priority] -= slots
        unused = free - sum(waiting.values())
        late = [each for each in self._queue if each.late][: max(unused, 0)]
        self._remove(late)
        return admitted + [each.item for each in late]

    def pop_overdue(self, load: ServiceLoad, min_wait_s: float, now: float) -> list[T]:
        """Remove and return the requests that are to be refused.

        Requests that are late now may wait on while no others wait for slots.
        """
        start_s = now + min_wait_s
        overdue = [each for each in self._queue if start_s >= each.leaves_at]
        self._remove(overdue)
        refused = [
            each
            for each in overdue
            if each.late or not self._waits_late(each, load, min_wait_s, now)
        ]
        refused += self._refuse_late(load, min_wait_s, now, _REVIEW_FACTOR)
        return [each.item for each in refused]

    def remove(self, item: T) -> bool:
        """Remove a request whose caller disconnected; return whether it was queued."""
        found = [each for each in self._queue if each.item is item]
        self._remove(found)
        return bool(found)

    def _in_time(self) -> list[_Waiting[T]]:
        return [each for each in self._queue if not each.late]

    def _counts(self, load: ServiceLoad) -> Counter[int]:
        """Return the requests of all entries that can be in time, by priority."""
        waiting = Counter(load.waiting_by_priority)
        waiting.update(each.cost.priority for each in self._in_time())
        return waiting

    def _insert(self, new: _Waiting[T]) -> None:
        self._queue.append(new)
        self._queue.sort(key=lambda each: each.key)

    def _remove(self, removed: Iterable[_Waiting[T]]) -> None:
        removed = set(removed)
        if removed:
            self._queue = [each for each in self._queue if each not in removed]

    def _take(self, priority: int, slots: int) -> list[T]:
        matching = (each for each in self._in_time() if each.cost.priority == priority)
        taken = list(itertools.islice(matching, slots))
        self._remove(taken)
        return [each.item for each in taken]

    def _accrue(self, free: int, load: ServiceLoad, now: float) -> None:
        own = Counter(each.cost.priority for each in self._in_time())
        self._credits.accrue(own, self._counts(load), free, load, now)

    def _forecast(
        self, priority: int, waiting: Counter[int], load: ServiceLoad, now: float
    ) -> SlotForecast:
        urgent = sum(count for each, count in waiting.items() if each < priority)
        return self._flow.forecast(priority, urgent, load, now)

    def _wait_s(
        self,
        priority: int,
        ahead: int,
        here: int,
        forecast: SlotForecast,
        load: ServiceLoad,
    ) -> float:
        """Return the expected wait of a request in seconds.

        :param ahead: requests of its priority that are ahead of it here.
        :param here: requests of its priority here, this one included.
        """
        if not ahead and self._credits.has_slot(priority):
            return 1.0 / self._flow.freed_per_s(load)
        # Entries get slots in proportion to their waiting requests.
        elsewhere = load.waiting_by_priority.get(priority, 0)
        return forecast.wait_s((ahead + 1) * (1.0 + elsewhere / here))

    def _refuse_late(
        self, load: ServiceLoad, min_wait_s: float, now: float, factor: float = 1.0
    ) -> list[_Waiting[T]]:
        """Remove and return requests until all others are expected to be in time.

        :param factor: factor by which an expected wait may exceed the time left.
        """
        refused: list[_Waiting[T]] = []
        while (late := self._first_late(load, min_wait_s, now, factor)) is not None:
            ahead = [
                each
                for each in self._in_time()
                if each.cost.priority == late.cost.priority and each.key <= late.key
            ]
            refused.append(
                ahead[self._choice.choose([each.cost for each in ahead], now)]
            )
            self._remove(refused[-1:])
        return refused

    def _first_late(
        self, load: ServiceLoad, min_wait_s: float, now: float, factor: float = 1.0
    ) -> _Waiting[T] | None:
        in_time = self._in_time()
        here = Counter(each.cost.priority for each in in_time)
        waiting = self._counts(load)
        forecast_by_priority = {
            priority: self._forecast(priority, waiting, load, now) for priority in here
        }
        ahead: Counter[int] = Counter()
        for each in in_time:
            priority = each.cost.priority
            forecast = forecast_by_priority[priority]
            wait_s = self._wait_s(
                priority, ahead[priority], here[priority], forecast, load
            )
            allowed = max(factor, _RETURNED_FACTOR) if each.cost.returned else factor
            if max(wait_s, min_wait_s) > allowed * max(each.leaves_at - now, 0.0):
                return each
            ahead[priority] += 1
        return None

    def _waits_late(
        self, request: _Waiting[T], load: ServiceLoad, min_wait_s: float, now: float
    ) -> bool:
        """Queue a request that cannot be in time, if no others wait for slots."""
        if self._counts(load):
            return False
        priority = request.cost.priority
        wait_s = max(self.expected_wait_s(priority, load, now), min_wait_s)
        if wait_s > _MAX_LATE_WAIT_S or now + wait_s >= request.cost.deadline_s:
            return False
        request.late = True
        request.leaves_at = min(now + _MAX_LATE_WAIT_S, request.cost.deadline_s)
        self._insert(request)
        return True


__all__ = ["LeastCostQueue"]
