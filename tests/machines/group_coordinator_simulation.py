"""Simulates two coordinators that switch one group's maps over a faulty network."""

from __future__ import annotations

from functools import partial
from random import Random

from corianderrelay_entry.state.direct.group_coordinator import GroupCoordinator
from corianderrelay_entry.state.direct.rank_orders import OrderOutcome, RankOrder
from corianderrelay_entry.state.direct.sequenced_switch import SwitchTimeouts

from .sequenced_group import FaultyNetwork, ModelGroup

_LAG_S = 0.2
_STEP_S = 0.01
_PASS_S = 0.06
_RANKS = 4
_FAULTY_S = 25.0
_RECOVERY_S = 25.0


class _Coordinator:
    """A coordinator that can freeze; it receives messages after the freeze."""

    def __init__(self, names: list[str], random: Random) -> None:
        self.random = random
        self.map = tuple(((rank,),) for rank in range(len(names)))
        identity = str(random.random())
        self.core = GroupCoordinator(
            names, self.map, identity, SwitchTimeouts(), random
        )
        self.frozen_until = 0.0
        self.inbox: list[object] = []
        self.next_request_at = random.uniform(0.0, 3.0)
        self.next_survey_at = random.uniform(0.0, 3.0)


class GroupSimulation:
    """One simulation run with a seed."""

    def __init__(self, seed: int, coordinators: int = 2) -> None:
        self.random = Random(seed)
        delayed_share = self.random.choice([0.0, 0.05, 0.3])
        lost_share = self.random.choice([0.0, 0.05, 0.3])
        self.group = ModelGroup(_RANKS, copy_s=self.random.choice([0.0, 0.5, 1.2]))
        self.network = FaultyNetwork(self.random, delayed_share, lost_share)
        self.crash_share = self.random.choice([0.0, 0.0, 0.002])
        self.freeze_share = self.random.choice([0.0, 0.005, 0.02])
        self.coordinators = [
            _Coordinator(self.group.names, Random(seed * 10 + number))
            for number in range(coordinators)
        ]
        self.held_s = 0.0

    def run(self) -> None:
        """Run with faults, then without them; the group must not stay held."""
        steps = int((_FAULTY_S + _RECOVERY_S) / _STEP_S)
        next_pass_at = 0.0
        for number in range(steps):
            now = number * _STEP_S
            faulty = now < _FAULTY_S
            self.group.advance(now)
            self.network.run(now)
            if now >= next_pass_at:
                self.group.begin_pass()
                next_pass_at = now + _PASS_S
            self.held_s += _STEP_S if self.group.held else 0.0
            if faulty and self.random.random() < self.crash_share:
                self.group.re_form()
            for coordinator in self.coordinators:
                self._run_coordinator(coordinator, faulty, now)
        assert not self.group.held, "the group is still held at the end"

    def _run_coordinator(
        self, coordinator: _Coordinator, faulty: bool, now: float
    ) -> None:
        if now < coordinator.frozen_until:
            return
        if faulty and self.random.random() < self.freeze_share:
            coordinator.frozen_until = now + self.random.uniform(0.1, 4.0)
            return
        core = coordinator.core
        if faulty and now >= coordinator.next_request_at and not core.busy:
            coordinator.next_request_at = now + self.random.uniform(0.5, 4.0)
            core.request_map(coordinator.map)
        if now >= coordinator.next_survey_at:
            coordinator.next_survey_at = now + 1.0
            core.request_survey(now)
        for name in core.ranks_to_poll(now):
            self._poll(coordinator, name, faulty, now)
        for order in core.orders(_PASS_S, now):
            self._send(coordinator, order, faulty, now)

    def _poll(
        self, coordinator: _Coordinator, name: str, faulty: bool, now: float
    ) -> None:
        if faulty and self.network.is_lost():
            return
        polled_at = now

        def respond(then: float) -> None:
            report = self.group.report(name, _LAG_S, then)
            deliver = partial(self._deliver_report, coordinator, report, polled_at)
            self.network.schedule(self.network.delay_s(), deliver, then)

        self.network.schedule(self.network.delay_s(), respond, now)

    def _deliver_report(
        self, coordinator: _Coordinator, report: object, polled_at: float, now: float
    ) -> None:
        if now < coordinator.frozen_until:
            redelivery = partial(self._deliver_report, coordinator, report, polled_at)
            self.network.schedule(coordinator.frozen_until - now, redelivery, now)
            return
        coordinator.core.record_report(report, polled_at, now)  # type: ignore[arg-type]

    def _send(
        self, coordinator: _Coordinator, order: RankOrder, faulty: bool, now: float
    ) -> None:
        if faulty and self.network.is_delayed():
            execution_delay_s = self.network.extra_delay_s()
            self.network.schedule(execution_delay_s, partial(self._execute, order), now)
            return

        def arrive(then: float) -> None:
            outcome = self.group.execute(order, then)
            if faulty and self.network.is_lost():
                return
            deliver = partial(self._deliver_outcome, coordinator, order, outcome)
            self.network.schedule(self.network.delay_s(), deliver, then)

        self.network.schedule(self.network.delay_s(), arrive, now)

    def _execute(self, order: RankOrder, now: float) -> None:
        self.group.execute(order, now)

    def _deliver_outcome(
        self,
        coordinator: _Coordinator,
        order: RankOrder,
        outcome: OrderOutcome,
        now: float,
    ) -> None:
        if now < coordinator.frozen_until:
            redelivery = partial(self._deliver_outcome, coordinator, order, outcome)
            self.network.schedule(coordinator.frozen_until - now, redelivery, now)
            return
        coordinator.core.record_outcome(order, outcome, now)


__all__ = ["GroupSimulation"]
