"""The interface of the queues that requests of a service wait in for a slot."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from .admission_queue import AdmissionQueue, PeerLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from .request_cost import RequestCost

_CALLER_RETRY_WAIT_S = 0.1  # about one pass; a longer wait would only delay a refusal

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service, as far as this entry knows it.

    :param entries: number of other entries that are alive.
    :param waiting: number of requests that wait at them.
    :param waiting_by_priority: those that can be in time, by priority.
    :param running: requests in flight of all entries.
    :param start_wait_s: returns the wait in seconds behind a number of requests of this
        entry, if that does not depend on those that wait at others.
    """

    entries: int = 0
    waiting: int = 0
    waiting_by_priority: Mapping[int, int] = field(default_factory=dict)
    running: int = 0
    start_wait_s: Callable[[int], float] | None = None


@dataclass(frozen=True, slots=True)
class Enqueued(Generic[T]):
    """The decision on a request that cannot start at once.

    :param waits: whether it waits; otherwise it is to be refused.
    :param displaced: requests that are to be refused in its favour.
    """

    waits: bool
    displaced: tuple[T, ...] = ()


class ServiceQueue(Protocol[T]):
    """The waiting requests of one service at one entry."""

    def __len__(self) -> int: ...

    def waiting_by_priority(self) -> dict[int, tuple[int, int]]:
        """Return count and work of the requests that can be in time, by priority."""

    def record_arrival(self, priority: int, now: float) -> None:
        """Record a new request."""

    def record_completion(self, held_s: float, now: float) -> None:
        """Record that a request of this entry released its slot after ``held_s``."""

    def start_at_once(
        self, priority: int, free: int, load: ServiceLoad, now: float
    ) -> bool:
        """Return whether a new request takes one of the free slots at once."""

    def expected_wait_s(self, priority: int, load: ServiceLoad, now: float) -> float:
        """Return the expected wait of another request in seconds."""

    def retry_after_s(
        self, priority: int, load: ServiceLoad, min_wait_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        :param min_wait_s: seconds until the runners take a request.
        """

    def enqueue(
        self,
        item: T,
        cost: RequestCost,
        load: ServiceLoad,
        min_wait_s: float,
        now: float,
    ) -> Enqueued[T]:
        """Queue a request, unless its slot is expected too late."""

    def admit(self, free: int, load: ServiceLoad, now: float) -> list[T]:
        """Dequeue the requests for this entry's share of the free slots."""

    def pop_overdue(self, load: ServiceLoad, min_wait_s: float, now: float) -> list[T]:
        """Remove and return the requests that are to be refused.

        :param min_wait_s: seconds until the runners take a request.
        """

    def remove(self, item: T) -> bool:
        """Remove a request whose caller disconnected; return whether it was queued."""


class ArrivalOrderQueue(Generic[T]):
    """Implements ``ServiceQueue`` by ``AdmissionQueue``."""

    __slots__ = ("_queue", "_random")

    def __init__(self, random: Random) -> None:
        self._queue: AdmissionQueue[T] = AdmissionQueue()
        self._random = random

    def __len__(self) -> int:
        return len(self._queue)

    def waiting_by_priority(self) -> dict[int, tuple[int, int]]:
        """Return nothing: entries divide the slots by all waiting requests."""
        return {}

    def record_arrival(self, priority: int, now: float) -> None:
        """Ignore the arrival."""

    def record_completion(self, held_s: float, now: float) -> None:
        """Record that a request of this entry released its slot."""
        self._queue.record_completion(now)

    def start_at_once(
        self, priority: int, free: int, load: ServiceLoad, now: float
    ) -> bool:
        """Return whether more slots are free than requests wait."""
        return free > len(self._queue) + load.waiting

    def expected_wait_s(self, priority: int, load: ServiceLoad, now: float) -> float:
        """Return the expected wait of the first request in seconds."""
        if load.start_wait_s is not None:
            return load.start_wait_s(len(self._queue))
        return self._queue.expected_wait_s(0, _peer_load(load))

    def retry_after_s(
        self, priority: int, load: ServiceLoad, min_wait_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller should retry."""
        return self._queue.retry_after_s(
            _peer_load(load), min_wait_s, load.start_wait_s
        )

    def enqueue(
        self,
        item: T,
        cost: RequestCost,
        load: ServiceLoad,
        min_wait_s: float,
        now: float,
    ) -> Enqueued[T]:
        """Queue a request, unless its slot is expected too late."""
        queue_deadline_s = cost.latest_start_s
        if cost.returned and not cost.late:
            queue_deadline_s = now + _CALLER_RETRY_WAIT_S
        waits = self._queue.enqueue(
            item,
            returned=cost.returned or cost.late,
            priority=cost.priority,
            queue_deadline_s=queue_deadline_s,
            peer_load=_peer_load(load),
            now=now,
            min_wait_s=min_wait_s,
            expected_wait_s=load.start_wait_s,
        )
        return Enqueued(waits)

    def admit(self, free: int, load: ServiceLoad, now: float) -> list[T]:
        """Dequeue the requests for this entry's share of the free slots."""
        return self._queue.admit(free, _peer_load(load), self._random)

    def pop_overdue(self, load: ServiceLoad, min_wait_s: float, now: float) -> list[T]:
        """Remove and return the requests that cannot start by their deadline."""
        return self._queue.pop_overdue(now + min_wait_s)

    def remove(self, item: T) -> bool:
        """Remove a request whose caller disconnected; return whether it was queued."""
        return self._queue.remove(item)


def _peer_load(load: ServiceLoad) -> PeerLoad:
    return PeerLoad(load.entries, load.waiting)


__all__ = ["ArrivalOrderQueue", "Enqueued", "ServiceLoad", "ServiceQueue"]
