"""Who gets a place when more ask than the runners of a service can serve in time.

A place is free while the running requests of all entries are fewer than the runners
may have. A request that can still be in time waits in order of priority and arrival;
one that cannot is refused at once, with the time at which a place is expected. A caller
that was refused before can no longer be in time; it waits behind those that can, for as
long as it has told, since it will not ask again.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from random import Random

_INTERVAL_WEIGHT = 0.1  # share of the newest interval in the mean time between ends
_DEFAULT_INTERVAL_S = (
    0.2  # between the ends of one entry's requests, until two are seen
)
_MIN_RETRY_AFTER_S = 0.05  # about a pass; nothing comes free sooner
_MAX_RETRY_AFTER_S = 2.0  # a surge changes within seconds; a longer wait says nothing

T = TypeVar("T")


@dataclass(slots=True)
class QueuedRequest(Generic[T]):
    """A request without a place.

    :param returned: whether its caller was refused before.
    :param latest_s: monotonic time at which waiting on is of no use.
    """

    item: T
    returned: bool
    priority: int
    latest_s: float
    order: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What the other entries say of a service.

    :param entries: how many of them are there.
    :param waiting: requests that wait at them.
    """

    entries: int = 0
    waiting: int = 0


class AdmissionQueue(Generic[T]):
    """The waiting requests of one service at one entry."""

    __slots__ = ("_queue", "_counter", "_interval_s", "_last_completion_at")

    def __init__(self) -> None:
        self._queue: list[QueuedRequest[T]] = []
        self._counter = itertools.count()
        self._interval_s = _DEFAULT_INTERVAL_S
        self._last_completion_at: float | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def record_completion(self, now: float) -> None:
        """Note that a request of this entry has given its place back."""
        if self._last_completion_at is not None:
            interval_s = now - self._last_completion_at
            self._interval_s += _INTERVAL_WEIGHT * (interval_s - self._interval_s)
        self._last_completion_at = now

    def expected_wait_s(self, ahead: int, peer_load: PeerLoad) -> float:
        """Return the time until a place is expected with so many own ones ahead.

        Places that come free at any entry are shared by all that wait.
        """
        interval_s = self._interval_s / (peer_load.entries + 1)
        return (ahead + peer_load.waiting + 1) * interval_s

    def retry_after_s(self, peer_load: PeerLoad) -> float:
        """Return when a refused caller can expect a place, in seconds."""
        wait_s = self.expected_wait_s(len(self._queue), peer_load)
        return min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)

    def enqueue(
        self,
        item: T,
        *,
        returned: bool,
        priority: int,
        latest_s: float,
        peer_load: PeerLoad,
        now: float,
    ) -> bool:
        """Let a request wait; return false if its place would come too late."""
        new = QueuedRequest(item, returned, priority, latest_s, next(self._counter))
        ahead = sum(1 for each in self._queue if _sort_key(each) < _sort_key(new))
        if now + self.expected_wait_s(ahead, peer_load) > latest_s:
            return False
        self._queue.append(new)
        self._queue.sort(key=_sort_key)
        return True

    def admit(self, free: int, peer_load: PeerLoad, random: Random) -> list[T]:
        """Take this entry's part of the free places for its waiting requests.

        Entries that hear of the same free place share it by what waits at each.
        """
        if free <= 0 or not self._queue:
            return []
        all_waiting = len(self._queue) + peer_load.waiting
        own_share = int(free * len(self._queue) / all_waiting + random.random())
        admitted = self._queue[: min(own_share, free)]
        del self._queue[: len(admitted)]
        return [each.item for each in admitted]

    def pop_overdue(self, now: float) -> list[T]:
        """Take the requests that cannot be in time any longer."""
        expired = [each.item for each in self._queue if now >= each.latest_s]
        self._queue = [each for each in self._queue if now < each.latest_s]
        return expired

    def remove(self, item: T) -> bool:
        """Forget a request whose caller has left; return whether it waited."""
        remaining = [each for each in self._queue if each.item is not item]
        found = len(remaining) < len(self._queue)
        self._queue = remaining
        return found


def _sort_key(waiting: QueuedRequest[T]) -> tuple[bool, int, int]:
    return waiting.returned, waiting.priority, waiting.order


__all__ = ["PeerLoad", "AdmissionQueue", "QueuedRequest"]
