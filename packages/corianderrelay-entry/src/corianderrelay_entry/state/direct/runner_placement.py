"""Selects runners: the least loaded rank of a group, or the plain runner of least cost.

All ranks of a group run in lock-step and wait for the slowest rank. A stream goes to
the rank with the fewest streams of all entries, preferably one with a free slot that
is assigned to this entry. Runners of plain services are independent; they are selected
by their running requests, latency and success rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .runner_health import RunnerHealth
from .slot_shares import SlotShares

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .entry_peers import PeerUpdate
    from .runner_list import RegisteredRunner

_SLOW_RATIO = 1.5  # from this factor on, a rank's own streams are the slowest of all
_EQUAL_COST_RATIO = 1.1  # costs within 10 % count as equal, to spread requests
_LIMITED_COST_RATIO = 0.25  # not 0: a limited runner can also be slow or full
_MIN_SUCCESS_RATE = 0.7  # below it, a rank is avoided like a slow or full one

# Whether the runner is avoided, whether its free slot is assigned to another entry, and
# its cost; compared in this order.
_Cost = tuple[bool, bool, float]


class RunnerPlacement:
    """One entry's view of the load of all runners."""

    __slots__ = (
        "_health_by_id",
        "_pending_updates",
        "_peer_running_by_id",
        "_own_slowness_by_id",
        "_peer_slowness_by_id",
        "_shares",
        "_random",
    )

    def __init__(self, random: Random) -> None:
        self._health_by_id: dict[str, RunnerHealth] = {}
        self._pending_updates: list[PeerUpdate] = []
        self._peer_running_by_id: dict[str, int] = {}
        self._own_slowness_by_id: dict[str, float] = {}
        self._peer_slowness_by_id: dict[str, float] = {}
        self._shares = SlotShares()
        self._random = random

    def divide_slots(
        self, own_id: str, other_ids: Iterable[str], runners: Iterable[RegisteredRunner]
    ) -> None:
        """Divide the slots of ranks among the ready entries."""
        self._shares.divide(own_id, other_ids, runners)

    def health(self, runner_id: str) -> RunnerHealth:
        """Return the health record of a runner; create it if it doesn't exist."""
        known_health = self._health_by_id.get(runner_id)
        if known_health is None:
            known_health = self._health_by_id[runner_id] = RunnerHealth()
        return known_health

    def evict_runner(self, runner_id: str) -> None:
        """Remove the health record of a runner that was removed or restarted.

        A runner with requests of this entry in flight keeps its record.
        """
        health = self._health_by_id.get(runner_id)
        if health is not None and health.running == 0:
            del self._health_by_id[runner_id]

    def set_peer_updates(self, peers: Iterable[PeerUpdate]) -> None:
        """Set the latest updates of the other entries.

        Their counts are summed on the next read, as updates outnumber reads.
        """
        self._pending_updates = list(peers)
        self._peer_running_by_id = {}
        self._peer_slowness_by_id = {}

    def _apply_updates(self) -> None:
        if not self._pending_updates:
            return
        updates, self._pending_updates = self._pending_updates, []
        for peer_update in updates:
            self._peer_slowness_by_id.update(peer_update.slowness_by_runner)
            for runner_id, running in peer_update.running_by_runner.items():
                previous_sum = self._peer_running_by_id.get(runner_id, 0)
                self._peer_running_by_id[runner_id] = previous_sum + running

    def set_own_slowness(self, slowness_by_id: dict[str, float]) -> None:
        """Set the slowness factors, measured by this entry, of the slow runners."""
        self._own_slowness_by_id = slowness_by_id

    def slowness(self, runner_id: str) -> float:
        """Return the factor by which a runner is slower than usual; 1 if unknown."""
        self._apply_updates()
        own_slowness = self._own_slowness_by_id.get(runner_id, 1.0)
        return max(own_slowness, self._peer_slowness_by_id.get(runner_id, 1.0))

    def running(self, runner_id: str) -> int:
        """Return a runner's running requests, from this entry and peer updates."""
        self._apply_updates()
        health = self._health_by_id.get(runner_id)
        own = health.running if health is not None else 0
        return own + self._peer_running_by_id.get(runner_id, 0)

    def running_sum(self, runners: Iterable[RegisteredRunner]) -> int:
        """Return the running requests of several runners."""
        self._apply_updates()
        peer_running = self._peer_running_by_id
        health_by_id = self._health_by_id
        return sum(
            peer_running.get(each.runner_id, 0)
            + (
                health_by_id[each.runner_id].running
                if each.runner_id in health_by_id
                else 0
            )
            for each in runners
        )

    def own_sum(self, runners: Iterable[RegisteredRunner]) -> int:
        """Return this entry's own running requests of several runners."""
        own = self.own_running()
        return sum(own.get(each.runner_id, 0) for each in runners)

    @property
    def none_slow(self) -> bool:
        """Whether no runner is known to be slow."""
        self._apply_updates()
        return not self._own_slowness_by_id and not self._peer_slowness_by_id

    def own_running(self) -> dict[str, int]:
        """Return this entry's counts of running requests by runner, without zeros."""
        return {
            runner_id: health.running
            for runner_id, health in self._health_by_id.items()
            if health.running
        }

    def pick(
        self,
        candidates: list[RegisteredRunner],
        lockstep: bool,
        now: float,
        limited_ids: frozenset[str] = frozenset(),
        cold_ids: frozenset[str] = frozenset(),
    ) -> str | None:
        """Return the id of a random one among the best; ``None`` without candidates.

        :param lockstep: whether the candidates are ranks of a lock-step group.
        :param limited_ids: candidates whose limit leaves them idle for the most part;
            they are preferred when they take a request.
        :param cold_ids: candidates that are avoided like slow ranks: a rank without
            streams does not delay its group.
        """
        if not candidates:
            return None
        cost = self._rank_cost if lockstep else self._plain_cost
        costs = [
            (*_prefer(cost(each, now), each.runner_id in limited_ids), each.runner_id)
            for each in candidates
        ]
        if cold_ids:
            costs = [
                (avoid or runner_id in cold_ids, peer_slot, each_cost, runner_id)
                for avoid, peer_slot, each_cost, runner_id in costs
            ]
        avoid, uses_peer_slot, min_cost, _ = min(costs)
        equal_cost_ids = [
            runner_id
            for *tier, candidate_cost, runner_id in costs
            if tier == [avoid, uses_peer_slot]
            and candidate_cost <= min_cost * _EQUAL_COST_RATIO
        ]
        return self._random.choice(equal_cost_ids)

    def _rank_cost(
        self, runner: RegisteredRunner, now: float
    ) -> tuple[bool, bool, float]:
        health = self.health(runner.runner_id)
        running = self.running(runner.runner_id)
        # A slow rank delays all streams of the group; a full rank delays only its own.
        avoid = (
            health.success_rate(now) < _MIN_SUCCESS_RATE
            or self.slowness(runner.runner_id) >= _SLOW_RATIO
            or running >= max(runner.slots, 1)
        )
        uses_peer_slot = health.running >= self._shares.own_slots(runner.runner_id)
        return avoid, uses_peer_slot, float(running)

    def _plain_cost(
        self, runner: RegisteredRunner, now: float
    ) -> tuple[bool, bool, float]:
        health = self.health(runner.runner_id)
        full = self.running(runner.runner_id) >= max(runner.slots, 1)
        return full, False, health.cost(self.running(runner.runner_id), now)


def _prefer(cost: _Cost, limited: bool) -> _Cost:
    avoid, uses_peer_slot, runner_cost = cost
    if not limited:
        return cost
    return avoid, False, runner_cost * _LIMITED_COST_RATIO


__all__ = ["RunnerPlacement"]
