"""Admission queue of a service under overload.

A slot is free while all entries together run fewer requests than the limit. A request
that can still meet its objective waits, ordered by priority and arrival. One that
cannot is refused at once with the expected time to a free slot (Retry-After). A caller
that was refused before has already missed its objective and will not retry again; it
waits behind the others up to the deadline that ``enqueue`` is given.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

_INTERVAL_WEIGHT = 0.1  # weight of the newest interval in the mean interval
_INITIAL_INTERVAL_S = 0.2  # initial mean time between completions of one entry
_MIN_RETRY_AFTER_S = 0.05  # about one pass; no slot becomes free sooner
_MAX_RETRY_AFTER_S = 2.0  # load changes within seconds; a longer forecast is unreliable

T = TypeVar("T")


@dataclass(slots=True)
class QueuedRequest(Generic[T]):
    """A request that waits for a slot.

    :param returned: whether its caller was refused before.
    :param priority: 0 is the highest priority.
    :param queue_deadline_s: monotonic time at which the request leaves the queue if it
        was not admitted.
    :param order: arrival number.
    """

    item: T
    returned: bool
    priority: int
    queue_deadline_s: float
    order: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load of a service at the other entries.

    :param entries: number of other entries that are alive.
    :param waiting: number of requests that wait at them.
    """

    entries: int = 0
    waiting: int = 0


class AdmissionQueue(Generic[T]):
    """The waiting requests of one service at one entry."""

    __slots__ = ("_queue", "_counter", "_interval_s", "_last_completion_at")

    def __init__(self) -> None:
        self._queue: list[QueuedRequest[T]] = []
        self._counter = itertools.count()
        self._interval_s = _INITIAL_INTERVAL_S
        self._last_completion_at: float | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def record_completion(self, now: float) -> None:
        """Record that a request of this entry released its slot."""
        if self._last_completion_at is not None:
            interval_s = now - self._last_completion_at
            self._interval_s += _INTERVAL_WEIGHT * (interval_s - self._interval_s)
        self._last_completion_at = now

    def expected_wait_s(self, ahead: int, peer_load: PeerLoad) -> float:
        """Return the expected wait for a slot in seconds.

        Slots that become free are shared by the waiting requests of all entries.

        :param ahead: this entry's requests that are ahead in the queue.
        """
        interval_s = self._interval_s / (peer_load.entries + 1)
        return (ahead + peer_load.waiting + 1) * interval_s

    def retry_after_s(
        self,
        peer_load: PeerLoad,
        min_wait_s: float = 0.0,
        expected_wait_s: Callable[[int], float] | None = None,
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        :param min_wait_s: seconds until the runners take a request.
        :param expected_wait_s: see ``enqueue``.
        """
        expect_s = expected_wait_s or partial(self.expected_wait_s, peer_load=peer_load)
        wait_s = expect_s(len(self._queue))
        wait_s = min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        return max(wait_s, min_wait_s)

    def enqueue(
        self,
        item: T,
        *,
        returned: bool,
        priority: int,
        queue_deadline_s: float,
        peer_load: PeerLoad,
        now: float,
        min_wait_s: float = 0.0,
        expected_wait_s: Callable[[int], float] | None = None,
    ) -> bool:
        """Queue a request; return false if its slot is expected too late.

        :param min_wait_s: seconds until the runners take a request.
        :param expected_wait_s: returns the wait behind so many requests of this entry,
            in seconds, if it does not depend on those of the other entries.
        """
        new = QueuedRequest(
            item, returned, priority, queue_deadline_s, next(self._counter)
        )
        ahead = sum(1 for each in self._queue if _sort_key(each) < _sort_key(new))
        expect_s = expected_wait_s or partial(self.expected_wait_s, peer_load=peer_load)
        wait_s = max(expect_s(ahead), min_wait_s)
        if now + wait_s > queue_deadline_s:
            return False
        self._queue.append(new)
        self._queue.sort(key=_sort_key)
        return True

    def admit(self, free: int, peer_load: PeerLoad, random: Random) -> list[T]:
        """Dequeue the requests for this entry's share of the free slots.

        Entries that see the same free slots divide them by their queue lengths.
        """
        if free <= 0 or not self._queue:
            return []
        all_waiting = len(self._queue) + peer_load.waiting
        own_share = int(free * len(self._queue) / all_waiting + random.random())
        admitted = self._queue[: min(own_share, free)]
        del self._queue[: len(admitted)]
        return [each.item for each in admitted]

    def pop_overdue(self, now: float) -> list[T]:
        """Remove and return the requests whose deadline has passed."""
        overdue = [each.item for each in self._queue if now >= each.queue_deadline_s]
        self._queue = [each for each in self._queue if now < each.queue_deadline_s]
        return overdue

    def remove(self, item: T) -> bool:
        """Remove a request whose caller disconnected; return whether it was queued."""
        remaining = [each for each in self._queue if each.item is not item]
        found = len(remaining) < len(self._queue)
        self._queue = remaining
        return found


def _sort_key(request: QueuedRequest[T]) -> tuple[bool, int, int]:
    return request.returned, request.priority, request.order


__all__ = ["PeerLoad", "AdmissionQueue", "QueuedRequest"]
