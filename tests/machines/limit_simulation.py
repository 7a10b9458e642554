"""Simulates entries that share the limit that one runner states.

Updates between entries take time and some are lost. Entries restart, freeze, start
later and are cut off from each other, but never from the runner.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random

from corianderrelay_entry.state.direct.limit_shares import LimitShares, SharedLimit

_LIFE = "runner/1"
_STEP_S = 0.01
_MIN_INTERVAL_S = 0.04
_UPDATES_PER_S = 125.0
_URGENT_S = 0.05
_DELAY_RANGE_S = (0.002, 0.03)
_LOSS = 0.02
_ANSWER_S = 0.2  # from a request to the head of its answer
_MIN_HEARD_S = 0.25
_HEARD_INTERVALS = 1.3

Demand = Callable[[int, float], float]


class _SimulatedEntry:
    def __init__(self, number: int) -> None:
        self.name = f"entry-{number:02}"
        self.incarnation = 1
        self.shares = LimitShares(self.name)
        self.heard_at_by_name: dict[str, float] = {}
        self.known: set[str] = set()
        self.update_at = 0.0
        self.frozen_until = 0.0
        self.side = 0

    def restart(self, peers: set[str]) -> None:
        self.incarnation += 1
        self.shares = LimitShares(self.name)
        self.heard_at_by_name.clear()
        self.known = peers - {self.name}


class LimitSimulation:
    """Entries, the updates under way, and the requests that reach the runner.

    :param entries: number of entries.
    :param limit_per_s: requests per second that the runner states.
    :param demand: returns an entry's requests per second at a time.
    """

    def __init__(
        self, entries: int, limit_per_s: float, demand: Demand, seed: int
    ) -> None:
        self._random = Random(seed)
        self._limit_per_s = limit_per_s
        self._demand = demand
        self.entries = [_SimulatedEntry(number) for number in range(entries)]
        names = {entry.name for entry in self.entries}
        for entry in self.entries:
            entry.known = names - {entry.name}
        self._interval_s = max(_MIN_INTERVAL_S, entries / _UPDATES_PER_S)
        self._heard_s = max(_MIN_HEARD_S, _HEARD_INTERVALS * self._interval_s)
        self._updates: list[
            tuple[float, str, int, str, tuple[SharedLimit, ...], int]
        ] = []
        self._answers: list[tuple[float, float, str, int]] = []
        self.arrivals: list[float] = []

    def run(
        self, length_s: float, fail: Callable[[LimitSimulation, float], None]
    ) -> None:
        """Run for ``length_s``; ``fail`` is called in each step."""
        for step in itertools.count():
            now = step * _STEP_S
            if now >= length_s:
                return
            fail(self, now)
            self._deliver(now)
            for number, entry in enumerate(self.entries):
                if now >= entry.frozen_until:
                    self._step(number, entry, now)

    def add_entry(self) -> None:
        """Start another entry, which the others know from its first update on."""
        entry = _SimulatedEntry(len(self.entries))
        entry.known = {each.name for each in self.entries}
        self.entries.append(entry)

    def restart_entry(self, number: int) -> None:
        """Kill an entry and start it again without memory."""
        self.entries[number].restart({each.name for each in self.entries})

    def _step(self, number: int, entry: _SimulatedEntry, now: float) -> None:
        heard = sum(now - at <= self._heard_s for at in entry.heard_at_by_name.values())
        entry.shares.set_entries(1 + heard, 1 + len(entry.known))
        if self._random.random() < self._demand(number, now) * _STEP_S:
            if entry.shares.request_turn(_LIFE, now):
                # An entry that cannot know the limit yet is not bound by it.
                if entry.shares.is_limited(_LIFE):
                    self.arrivals.append(now)
                self._answers.append((now + _ANSWER_S, now, entry.name, number))
                entry.shares.on_sent(_LIFE, now)
        if entry.shares.has_news:
            entry.update_at = min(entry.update_at, now + _URGENT_S)
        if now >= entry.update_at:
            entry.update_at = now + self._interval_s
            self._send_update(entry, now)

    def _send_update(self, entry: _SimulatedEntry, now: float) -> None:
        shared = entry.shares.shared(now)
        for receiver in self.entries:
            if receiver is not entry and self._random.random() >= _LOSS:
                due_at = now + self._random.uniform(*_DELAY_RANGE_S)
                self._updates.append(
                    (
                        due_at,
                        entry.name,
                        entry.incarnation,
                        receiver.name,
                        shared,
                        entry.side,
                    )
                )

    def _deliver(self, now: float) -> None:
        entries_by_name = {entry.name: entry for entry in self.entries}
        due = [each for each in self._updates if each[0] <= now]
        self._updates = [each for each in self._updates if each[0] > now]
        for _, sender, incarnation, name, shared, side in due:
            receiver = entries_by_name[name]
            if now < receiver.frozen_until or side != receiver.side:
                continue
            receiver.known.add(sender)
            receiver.heard_at_by_name[sender] = now
            receiver.shares.on_update(sender, incarnation, shared, now)
        answers = [each for each in self._answers if each[0] <= now]
        self._answers = [each for each in self._answers if each[0] > now]
        for _, sent_at, name, _ in answers:
            shares = entries_by_name[name].shares
            shares.stated.on_answer(_LIFE, self._limit_per_s, sent_at, now)

    def most_in(self, window_s: float, since: float) -> int:
        """Return the most requests that reached the runner in such a window."""
        arrivals = [at for at in self.arrivals if at >= since]
        most = first = 0
        for last, at in enumerate(arrivals):
            while at - arrivals[first] > window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


__all__ = ["LimitSimulation"]
