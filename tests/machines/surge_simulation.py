"""A small model of a lock-step group behind several entries, for tests of admission.

A pass takes a fixed time and a part for each stream; each pass brings one event of
every stream that has begun. Entries hear of each other's work a little late.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random

from corianderrelay_entry.state.direct.admission_queue import AdmissionQueue, PeerLoad
from corianderrelay_entry.state.direct.pass_pace import PassPace
from corianderrelay_entry.state.direct.stream_limit import StreamLimit

FIXED_S = 0.0182
AIM_S = 0.12
FIRST_AIM_S = 0.5
_NEWS_S = 0.05
_MEASURE_S = 0.25
_EVENTS = (8, 45)


class Stream:
    """One stream and how it fared."""

    __slots__ = ("arrived", "sent", "first", "last", "left", "late", "refused")

    def __init__(self, arrived: float, events: int) -> None:
        self.arrived = arrived
        self.sent: float | None = None
        self.first: float | None = None
        self.last = 0.0
        self.left = events
        self.late = False
        self.refused: float | None = None


class _Entry:
    def __init__(self) -> None:
        self.admission: AdmissionQueue[Stream] = AdmissionQueue()
        self.pace = PassPace()
        self.limit = StreamLimit()
        self.running: list[Stream] = []
        self.told_running = 0
        self.told_waiting = 0


class SurgeSimulation:
    """Streams arrive at random entries.

    :param cost_s: what a stream adds to a pass, by time.
    """

    def __init__(
        self,
        ranks: int,
        slots: int,
        entries: int,
        per_s: float,
        cost_s: Callable[[float], float],
    ) -> None:
        self.random = Random(3)
        self.ranks, self.places = ranks, ranks * slots
        self.entries = [_Entry() for _ in range(entries)]
        self.per_s = per_s
        self.cost_s = cost_s
        self.streams: list[Stream] = []
        self.longest_wait_s = 0.0
        self.retry_after_s: list[float] = []

    def run(self, length_s: float) -> None:
        """Play this long."""
        next_arrival = 0.0
        next_news = 0.0
        next_measure = 0.0
        now = 0.0
        while now < length_s:
            running = sum(len(entry.running) for entry in self.entries)
            now += FIXED_S + self.cost_s(now) * running
            while next_arrival <= now:
                self._arrive(next_arrival)
                next_arrival += self.random.expovariate(self.per_s)
            for entry in self.entries:
                self._pass(entry, now)
            if now >= next_news:
                next_news = now + _NEWS_S
                self._tell()
            if now >= next_measure:
                next_measure = now + _MEASURE_S
                self._measure(now)
            for entry in self.entries:
                self._admit(entry, now)

    def _arrive(self, now: float) -> None:
        entry = self.random.choice(self.entries)
        stream = Stream(now, self.random.randint(*_EVENTS))
        self.streams.append(stream)
        peer_load = self._elsewhere(entry)
        if self._free(entry, now) > len(entry.admission) + peer_load.waiting:
            self._send(entry, stream, now)
            return
        latest_s = now + FIRST_AIM_S - entry.pace.first_event_s
        if not entry.admission.enqueue(
            stream,
            returned=False,
            priority=1,
            latest_s=latest_s,
            peer_load=peer_load,
            now=now,
        ):
            self._refuse(entry, stream, now)

    def _admit(self, entry: _Entry, now: float) -> None:
        for stream in entry.admission.pop_overdue(now):
            self._refuse(entry, stream, now)
        free = self._free(entry, now)
        peer_load = self._elsewhere(entry)
        for stream in entry.admission.admit(free, peer_load, self.random):
            self._send(entry, stream, now)

    def _send(self, entry: _Entry, stream: Stream, now: float) -> None:
        stream.sent = now
        self.longest_wait_s = max(self.longest_wait_s, now - stream.arrived)
        entry.running.append(stream)

    def _refuse(self, entry: _Entry, stream: Stream, now: float) -> None:
        stream.refused = now
        self.longest_wait_s = max(self.longest_wait_s, now - stream.arrived)
        after_s = entry.admission.retry_after_s(self._elsewhere(entry))
        self.retry_after_s.append(after_s)

    def _pass(self, entry: _Entry, now: float) -> None:
        for stream in list(entry.running):
            if stream.first is None:
                if now - (stream.sent or 0.0) < 0.09:
                    continue  # its prompt is being read
                stream.first = now
                entry.pace.record_first_event(now - (stream.sent or 0.0))
                stream.late = now - stream.arrived > FIRST_AIM_S
            else:
                pause_s = now - stream.last
                entry.pace.record_pause(pause_s, now)
                stream.late = stream.late or pause_s > AIM_S
            stream.last = now
            stream.left -= 1
            if not stream.left:
                entry.running.remove(stream)
                entry.admission.record_completion(now)

    def _tell(self) -> None:
        for entry in self.entries:
            entry.told_running = len(entry.running)
            entry.told_waiting = len(entry.admission)

    def _measure(self, now: float) -> None:
        for entry in self.entries:
            pause_s = entry.pace.quantile_s(0.9, now)
            entry.limit.add_measurement(
                pause_s, self._known_running(entry), FIXED_S, now
            )

    def _known_running(self, entry: _Entry) -> int:
        others = (each.told_running for each in self.entries if each is not entry)
        return len(entry.running) + sum(others)

    def _free(self, entry: _Entry, now: float) -> int:
        limit = entry.limit.max_streams(AIM_S, FIXED_S, self.places, self.ranks, now)
        return limit - self._known_running(entry)

    def _elsewhere(self, entry: _Entry) -> PeerLoad:
        others = [each for each in self.entries if each is not entry]
        return PeerLoad(len(others), sum(each.told_waiting for each in others))


def jumping(low: float, high: float, every_s: float) -> Callable[[float], float]:
    """Return a cost that jumps between two values."""
    values = (low, high)
    return lambda now: values[int(now / every_s) % 2]


def ended(streams: list[Stream]) -> list[Stream]:
    """Return the streams that ran to their end."""
    return list(itertools.filterfalse(lambda each: each.left, streams))


__all__ = ["SurgeSimulation", "ended", "jumping"]
