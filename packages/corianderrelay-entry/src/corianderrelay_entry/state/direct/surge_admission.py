"""Who gets a place when more ask than the runners of a service can serve in time.

A place is free while the running requests of all entries are fewer than the runners'
places. A request that can still be in time waits in order of priority and arrival; one
that cannot is refused at once, with the time at which a place is expected.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Generic, TypeVar

_PACE_WEIGHT = 0.1  # share of the newest interval in the mean time between ends
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 2.0  # a surge changes within seconds; a longer wait says nothing

T = TypeVar("T")


@dataclass(slots=True)
class Waiting(Generic[T]):
    """A request without a place.

    :param latest_s: monotonic time at which waiting on is of no use.
    """

    item: T
    priority: int
    arrived_s: float
    latest_s: float
    order: int


class SurgeAdmission(Generic[T]):
    """The waiting requests of one service at one entry."""

    __slots__ = ("_waiting", "_counter", "_end_interval_s", "_ended_at")

    def __init__(self) -> None:
        self._waiting: list[Waiting[T]] = []
        self._counter = itertools.count()
        self._end_interval_s = 0.0
        self._ended_at: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def ended(self, now: float) -> None:
        """Note that a request of this entry has given its place back."""
        if self._ended_at is not None:
            interval_s = now - self._ended_at
            self._end_interval_s += _PACE_WEIGHT * (interval_s - self._end_interval_s)
        self._ended_at = now

    def expected_wait_s(self, ahead: int) -> float:
        """Return the time until a place is expected with so many requests ahead."""
        return (ahead + 1) * self._end_interval_s

    def retry_after_s(self) -> float:
        """Return when a refused caller can expect a place, in seconds."""
        wait_s = self.expected_wait_s(len(self._waiting))
        return min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)

    def wait(self, item: T, priority: int, latest_s: float, now: float) -> bool:
        """Let a request wait; return false if its place would come too late."""
        ahead = sum(1 for each in self._waiting if each.priority <= priority)
        if now + self.expected_wait_s(ahead) > latest_s:
            return False
        waiting = Waiting(item, priority, now, latest_s, next(self._counter))
        self._waiting.append(waiting)
        self._waiting.sort(key=lambda each: (each.priority, each.order))
        return True

    def admit(self, free: int) -> list[T]:
        """Take as many waiting requests as there are free places."""
        admitted = self._waiting[: max(free, 0)]
        del self._waiting[: len(admitted)]
        return [each.item for each in admitted]

    def overdue(self, now: float) -> list[T]:
        """Take the requests that cannot be in time any longer."""
        late = [each.item for each in self._waiting if now >= each.latest_s]
        self._waiting = [each for each in self._waiting if now < each.latest_s]
        return late

    def remove(self, item: T) -> bool:
        """Forget a request whose caller has left; return whether it waited."""
        left = [each for each in self._waiting if each.item is not item]
        found = len(left) < len(self._waiting)
        self._waiting = left
        return found


__all__ = ["SurgeAdmission", "Waiting"]
