"""Simulates many entries that place streams on ranks with stale peer updates."""

from __future__ import annotations

import heapq
from random import Random

from corianderrelay_entry.state.direct.entry_peers import PeerUpdate
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner
from corianderrelay_entry.state.direct.runner_placement import RunnerPlacement

_MEAN_STREAM_S = 2.0
_SERVICE = "assistant"


class StalePeerSimulation:
    """Simulates streams that arrive at random entries and run for some seconds.

    :param update_interval_s: interval at which each entry sends updates to its peers.
    """

    def __init__(
        self, entries: int, ranks: int, slots: int, update_interval_s: float
    ) -> None:
        self._random = Random(11)
        self._update_interval_s = update_interval_s
        self._slots = slots
        self._runners = [
            RegisteredRunner(f"rank-{n}", _SERVICE, "", 0, "", slots)
            for n in range(ranks)
        ]
        self._placements = [RunnerPlacement(self._random) for _ in range(entries)]
        self._running = dict.fromkeys((each.runner_id for each in self._runners), 0)
        self._ends: list[tuple[float, int, str]] = []
        self.streams = 0
        self.full_rank_hits = 0

    def run(self, length_s: float, per_s: float) -> None:
        """Run the simulation for ``length_s`` with ``per_s`` streams per second."""
        now = 0.0
        next_update_at = [
            self._update_interval_s * self._random.random() for _ in self._placements
        ]
        updates: dict[str, PeerUpdate] = {}
        while now < length_s:
            now += self._random.expovariate(per_s)
            self._end_until(now)
            for number, placement in enumerate(self._placements):
                if now >= next_update_at[number]:
                    next_update_at[number] += self._update_interval_s
                    updates[_name(number)] = _update(number, placement)
            self._place(self._random.randrange(len(self._placements)), updates, now)

    def _place(self, number: int, updates: dict[str, PeerUpdate], now: float) -> None:
        placement = self._placements[number]
        others = [update for name, update in updates.items() if name != _name(number)]
        placement.set_peer_updates(others)
        placement.divide_slots(
            _name(number), [each.entry_id for each in others], self._runners
        )
        runner_id = placement.pick(self._runners, True, now)
        assert runner_id is not None
        self.streams += 1
        self.full_rank_hits += self._running[runner_id] >= self._slots
        self._running[runner_id] += 1
        placement.health(runner_id).running += 1
        end = now + self._random.uniform(0.5, 1.5) * _MEAN_STREAM_S
        heapq.heappush(self._ends, (end, number, runner_id))

    def _end_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, number, runner_id = heapq.heappop(self._ends)
            self._running[runner_id] -= 1
            self._placements[number].health(runner_id).running -= 1


def _name(number: int) -> str:
    return f"entry-{number:02}"


def _update(number: int, placement: RunnerPlacement) -> PeerUpdate:
    running = placement.own_running()
    return PeerUpdate(_name(number), 1, 1, "", "", 0, True, running)


__all__ = ["StalePeerSimulation"]
