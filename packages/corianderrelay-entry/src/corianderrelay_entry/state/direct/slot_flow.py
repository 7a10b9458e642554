"""Estimates how fast slots become free, and divides them among priorities.

An entry sees only a few requests per second, too few to time the intervals between the
slots that become free. The running requests of all entries divided by the mean time
that a request holds its slot vary less.

Entries know the free slots only with the delay of peer updates. If each took its share
of the free slots that it sees, all would take the same slots again until they hear of
each other. So waiting requests are admitted at the rate at which slots become free,
and differences in the free slots are corrected slowly.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import Counter

    from .service_queue import ServiceLoad

_HOLD_WEIGHT = 0.1  # weight of the newest request in the mean time
_INITIAL_HOLD_S = 1.0  # until the first request has ended
_MIN_HOLD_S = 0.005  # bounds the rate of freed slots; no request takes less time
_ARRIVALS_S = 1.5  # time constant; a burst must be seen before its slots are taken
_DEMAND_S = 2.0  # a priority without a request for this long has no demand
# Share of the freed slots that is set aside for each priority with demand. It gets a
# tenth at least: a credit is lost if its entry has no such request at that moment.
_FLOOR = 0.12
# Slots are kept free for the urgent requests of this time. They can wait for less than
# an update takes, so with 0.1 s less urgent ones, which can wait longer, took them.
_RESERVE_S = 0.3
_CORRECTION_S = 1.0  # twice the delay of updates between zones
_UPDATE_DELAY_S = 0.4  # slots that become free in it may be taken by other entries


@dataclass(frozen=True, slots=True)
class SlotForecast:
    """How soon the requests of a priority get slots, see ``SlotFlow``."""

    urgent: int
    left_per_s: float
    floor_per_s: float

    def wait_s(self, same: float) -> float:
        """Return the expected wait of a request in seconds.

        It is served at the rate that other priorities leave, or else at its floor.

        :param same: waiting requests of its priority up to it, at all entries.
        """
        floor_wait_s = same / self.floor_per_s
        if self.left_per_s <= self.floor_per_s:
            return floor_wait_s
        return min((self.urgent + same) / self.left_per_s, floor_wait_s)


class SlotFlow:
    """Freed slots and arrivals of one service, as one entry knows them."""

    __slots__ = ("_hold_s", "_arrivals_by_priority")

    def __init__(self) -> None:
        self._hold_s: float | None = None
        # Decayed count and time of the last arrival, by priority.
        self._arrivals_by_priority: dict[int, tuple[float, float]] = {}

    def record_release(self, held_s: float) -> None:
        """Record that a request of this entry released its slot."""
        held_s = max(held_s, _MIN_HOLD_S)
        if self._hold_s is None:
            self._hold_s = held_s
        self._hold_s += _HOLD_WEIGHT * (held_s - self._hold_s)

    def record_arrival(self, priority: int, now: float) -> None:
        """Record a new request at this entry."""
        count = self._decayed(priority, now) + 1.0
        self._arrivals_by_priority[priority] = count, now

    def freed_per_s(self, load: ServiceLoad) -> float:
        """Return the slots of all entries that become free per second."""
        return max(load.running, 1) / (self._hold_s or _INITIAL_HOLD_S)

    def floor_per_s(self, load: ServiceLoad, now: float) -> float:
        """Return the slots per second that each priority with demand keeps."""
        demanding = len(self.demanding(now) | set(load.waiting_by_priority))
        return min(_FLOOR, 1.0 / max(demanding, 1)) * self.freed_per_s(load)

    def reserve(self, priority: int, load: ServiceLoad, now: float) -> float:
        """Return the slots that a priority leaves free for more urgent requests."""
        return _RESERVE_S * self._urgent_per_s(priority, load, now)

    def spare(
        self,
        priority: int,
        free: int,
        waiting: Counter[int],
        load: ServiceLoad,
        now: float,
    ) -> float:
        """Return the free slots that no more urgent request needs; may be negative.

        :param waiting: requests that wait at all entries, by priority.
        """
        urgent = sum(count for each, count in waiting.items() if each < priority)
        return free - urgent - self.reserve(priority, load, now)

    def unseen(self, priority: int, load: ServiceLoad, now: float) -> float:
        """Return the slots that other entries may have taken since their updates.

        That is how much faster requests up to this priority arrive than slots become
        free. Without it, a burst takes more slots than there are. Short requests have
        released their slots before the next update. Before any request has ended it is
        0: an estimate that refuses requests could never be corrected.
        """
        if self._hold_s is None:
            return 0.0
        arriving_per_s = self._urgent_per_s(priority + 1, load, now)
        growth_per_s = max(arriving_per_s - self.freed_per_s(load), 0.0)
        others = load.entries / (load.entries + 1)
        return growth_per_s * min(_UPDATE_DELAY_S, self._hold_s) * others

    def left_per_s(self, priority: int, load: ServiceLoad, now: float) -> float:
        """Return the freed slots per second that the other priorities leave.

        More urgent ones take what they need, less urgent ones their floor.
        """
        demanding = self.demanding(now) | set(load.waiting_by_priority)
        lower = sum(each > priority for each in demanding)
        return (
            self.freed_per_s(load)
            - lower * self.floor_per_s(load, now)
            - self._urgent_per_s(priority, load, now)
        )

    def gets_floor(self, priority: int, load: ServiceLoad, now: float) -> bool:
        """Return whether the other priorities leave no more than its floor to one."""
        left_per_s = self.left_per_s(priority, load, now)
        return left_per_s <= self.floor_per_s(load, now)

    def admission_per_s(
        self, priority: int, spare: float, load: ServiceLoad, now: float
    ) -> float:
        """Return the waiting requests of a priority that all entries admit per second.

        :param spare: see ``spare``.
        """
        left_per_s = self.left_per_s(priority, load, now) + spare / _CORRECTION_S
        return max(left_per_s, self.floor_per_s(load, now))

    def surplus(self, spare: float, load: ServiceLoad) -> float:
        """Return the spare slots that other entries cannot have taken by now."""
        others = load.entries / (load.entries + 1)
        return max(spare - _UPDATE_DELAY_S * others * self.freed_per_s(load), 0.0)

    def forecast(
        self, priority: int, urgent: int, load: ServiceLoad, now: float
    ) -> SlotForecast:
        """Return the forecast for the requests of a priority.

        :param urgent: waiting requests of higher priorities, at all entries.
        """
        left_per_s = self.left_per_s(priority, load, now)
        return SlotForecast(urgent, left_per_s, self.floor_per_s(load, now))

    def demanding(self, now: float) -> set[int]:
        """Return the priorities of the requests that have arrived here lately."""
        return {
            priority
            for priority, (_, last_at) in self._arrivals_by_priority.items()
            if abs(now - last_at) <= _DEMAND_S
        }

    def _urgent_per_s(self, priority: int, load: ServiceLoad, now: float) -> float:
        """Return the requests of higher priorities that arrive per second."""
        counts = (
            self._decayed(each, now)
            for each in self._arrivals_by_priority
            if each < priority
        )
        # Callers choose entries at random, so the others get as many as this one.
        return sum(counts) / _ARRIVALS_S * (load.entries + 1)

    def _decayed(self, priority: int, now: float) -> float:
        count, last_at = self._arrivals_by_priority.get(priority, (0.0, now))
        # If the clock was set back, what arrived before counts as long ago.
        return count * math.exp(-abs(now - last_at) / _ARRIVALS_S)


__all__ = ["SlotFlow", "SlotForecast"]
