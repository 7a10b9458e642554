"""Keeps the experts of lock-step groups balanced while what is popular drifts.

One entry does so at a time, as far as entries know of each other; the orders to ranks
are safe when two do. Groups are found by what runners report of themselves.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ...state.direct.group_coordinator import GroupCoordinator, round_robin_map
from ...state.direct.replica_plan import ReplicaLimits, pass_skew, plan_replicas
from ...state.direct.sequenced_switch import SwitchPhase, SwitchTimeouts
from .decision_log import Decision
from .popularity_reading import PopularityReading

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.catalog import EngineModel, ExpertModel
    from ...state.direct.rank_orders import (
        ExpertSets,
        OrderOutcome,
        RankOrder,
        RankReport,
    )
    from ...state.direct.runner_list import RunnerList
    from .decision_log import DecisionLog
    from .rank_port import RankCalls

_RANKS_READ = 2  # at least; one rank's few streams can all ask about the same
_FIND_EVERY_S = 2.0  # until all runners of a service belong to a known group
_LOOK_EVERY_S = 1.0  # finds slow ranks, and holds that another has left
_SLOW_CHANGED = 1.5  # ratio by which a rank's pace must change for a new plan
_SLOW = 1.2  # from it on a rank should get fewer streams
_LONGEST_COPY_S = 0.3  # popularity may jump again within a few seconds
_WORTH_SWITCHING = 1.6  # skew, present over planned, that pays for the copies
_USUAL_PASS_S = 0.06  # until the first pauses are seen


class _Group:
    """One group and what was read of it."""

    __slots__ = (
        "coordinator",
        "members",
        "slowness_by_id",
        "planned_slowness",
        "looked_at",
        "noted",
    )

    def __init__(
        self, coordinator: GroupCoordinator, members: dict[str, int], now: float
    ) -> None:
        self.coordinator = coordinator
        self.members = members
        self.slowness_by_id = {runner_id: 1.0 for runner_id in members}
        self.planned_slowness = [1.0] * len(members)
        self.looked_at = now
        self.noted: tuple[int, SwitchPhase] | None = None

    @property
    def slowness(self) -> list[float]:
        """How many times longer than usual each rank takes, in order of rank."""
        return [self.slowness_by_id[runner_id] for runner_id in self.members]

    @property
    def pace_changed(self) -> bool:
        """Whether a rank is much slower or faster than the last plan assumed."""
        return any(
            max(now, then) > _SLOW_CHANGED * min(now, then)
            for now, then in zip(self.slowness, self.planned_slowness)
        )


class GroupBalancer:
    """The groups of one service.

    :param identity: names this entry.
    :param pass_s: returns the present time of a pass, 0 if it is not known.
    :param stream_cost_s: returns what a stream adds to a pass now, 0 if not known.
    :param running: returns the requests that a runner is believed to have.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        runners: RunnerList,
        calls: RankCalls,
        clock: Clock,
        random: Random,
        log: DecisionLog,
        pass_s: Callable[[], float],
        stream_cost_s: Callable[[], float],
        running: Callable[[str], int],
    ) -> None:
        self._identity = identity
        self._service = service
        self._runners = runners
        self._calls = calls
        self._clock = clock
        self._random = random
        self._log = log
        self._pass_s = pass_s
        self._stream_cost_s = stream_cost_s
        self._running = running
        self._groups_by_name: dict[str, _Group] = {}
        self._found_by_id: dict[str, RankReport] = {}
        self._find_at = 0.0
        self._had_turn = False
        self._reading = PopularityReading(
            runners, calls, clock, log, self._take_tokens, self._note_lost
        )

    def slow_runners(self) -> dict[str, float]:
        """Return how many times longer than usual the slow ranks take."""
        return {
            runner_id: slowness
            for group in self._groups_by_name.values()
            for runner_id, slowness in group.slowness_by_id.items()
            if slowness >= _SLOW
        }

    def tick(self, engine: EngineModel, may_switch: bool) -> None:
        """Go on with what is under way; begin nothing new unless ``may_switch``.

        The groups are found in any case, so that this entry can take over at once.
        """
        experts = engine.experts
        if experts is None:
            return
        now = self._clock.seconds()
        self._find_groups(engine, now)
        if may_switch and not self._had_turn:
            self._begin_turn(now)
        self._had_turn = may_switch
        for group in self._groups_by_name.values():
            known = group.coordinator.map_version is not None
            every_s = _LOOK_EVERY_S if known else _FIND_EVERY_S
            if may_switch and now - group.looked_at >= every_s:
                group.looked_at = now
                group.coordinator.request_survey(now)
            if group.pace_changed and group.coordinator.may_switch(now):
                group.planned_slowness = group.slowness
                self._reading.popularity.map_changed()
            self._drive(group, now)
        if may_switch:
            self._read_counts(experts, now)

    def _begin_turn(self, now: float) -> None:
        """Forget what was known: another entry may have switched maps since."""
        self._reading.popularity.map_changed()
        for group in self._groups_by_name.values():
            group.coordinator.request_survey(now)

    def _find_groups(self, engine: EngineModel, now: float) -> None:
        known = {
            runner_id
            for group in self._groups_by_name.values()
            for runner_id in group.members
        }
        usable = self._runners.usable(self._service)
        missing = [each for each in usable if each.runner_id not in known]
        if not missing or now < self._find_at:
            return
        self._find_at = now + _FIND_EVERY_S
        for runner in missing:
            report = self._calls.report(runner)
            report.addCallbacks(
                self._take_found, self._note_lost, callbackArgs=(engine,)
            )

    def _take_found(self, report: RankReport | None, engine: EngineModel) -> None:
        if report is None or not report.group:
            return
        self._found_by_id[report.runner_id] = report
        ranks = {
            each.rank: each.runner_id
            for each in self._found_by_id.values()
            if each.group == report.group
            and each.epoch == report.epoch
            and self._runners.get(each.runner_id) is not None
        }
        if len(ranks) < report.size or engine.experts is None:
            return
        now = self._clock.seconds()
        ordered = [ranks[rank] for rank in sorted(ranks)]
        experts = engine.experts
        coordinator = GroupCoordinator(
            ordered,
            round_robin_map(report.size, experts.experts, experts.sets),
            self._identity,
            SwitchTimeouts(report_lag_s=engine.report_lag_s),
            self._random,
        )
        members = {runner_id: rank for rank, runner_id in enumerate(ordered)}
        group = _Group(coordinator, members, now)
        self._groups_by_name[report.group] = group
        self._log.note(
            Decision.GROUP_FOUND,
            group=report.group,
            epoch=report.epoch,
            ranks=report.size,
            map_version=report.map_version,
        )
        coordinator.request_survey(now)

    def _read_counts(self, experts: ExpertModel, now: float) -> None:
        idle = [
            group
            for group in self._groups_by_name.values()
            if group.coordinator.may_switch(now)
        ]
        if not idle or not self._reading.is_due(self._stream_cost_s()):
            return
        by_group = math.ceil(_RANKS_READ / len(idle))
        ranks = [each for group in idle for each in self._busiest(group)[:by_group]]
        if self._reading.read(ranks, experts):
            # So that a switch need not wait until the ranks have been looked at.
            for group in idle:
                group.coordinator.request_survey(now)

    def _busiest(self, group: _Group) -> list[str]:
        running = [each for each in group.members if self._running(each)]
        return sorted(running, key=self._running, reverse=True)

    def _take_tokens(self, tokens: list[list[float]], experts: ExpertModel) -> None:
        now = self._clock.seconds()
        idle = [
            group
            for group in self._groups_by_name.values()
            if not group.coordinator.busy
        ]
        for group in idle:
            if group.coordinator.active_map is None:
                self._read_map(group)
            else:
                self._plan(group, tokens, experts)
        if any(group.coordinator.busy for group in idle):
            self._reading.popularity.map_planned(now)
        elif any(group.coordinator.active_map is not None for group in idle):
            self._reading.popularity.map_kept(now)

    def _plan(
        self, group: _Group, tokens: list[list[float]], experts: ExpertModel
    ) -> None:
        coordinator = group.coordinator
        in_use = coordinator.active_map
        if in_use is None:
            return
        first = round_robin_map(len(in_use), experts.experts, experts.sets)
        rules = ReplicaLimits(
            experts.expert_slots,
            experts.max_new_per_set,
            max(int(_LONGEST_COPY_S / experts.copy_s), 1),
        )
        slowness = group.slowness
        group.planned_slowness = slowness
        plan = plan_replicas(tokens, first, in_use, slowness, rules)
        present = pass_skew(tokens, in_use, slowness)
        planned = pass_skew(tokens, plan, slowness)
        if present < _WORTH_SWITCHING * planned:
            return
        self._log.note(
            Decision.MAP_PLANNED,
            group_epoch=coordinator.epoch,
            map_version=coordinator.map_version,
            skew=round(present, 3),
            planned_skew=round(planned, 3),
            slowest=round(max(slowness), 2),
        )
        coordinator.request_map(plan)

    def _read_map(self, group: _Group) -> None:
        """Learn the map that another coordinator has put in use."""
        held: dict[int, ExpertSets] = {}
        version = group.coordinator.map_version

        def take(experts: ExpertSets, rank: int) -> None:
            held[rank] = experts
            if len(held) == len(group.members):
                in_use = tuple(held[each] for each in sorted(held))
                group.coordinator.record_active_map(version, in_use)

        for runner_id, rank in group.members.items():
            runner = self._runners.get(runner_id)
            if runner is not None:
                experts = self._calls.experts(runner)
                experts.addCallbacks(take, self._note_lost, callbackArgs=(rank,))

    def _drive(self, group: _Group, now: float) -> None:
        coordinator = group.coordinator
        for runner_id in coordinator.ranks_to_poll(now):
            runner = self._runners.get(runner_id)
            if runner is None:
                continue
            report = self._calls.report(runner)
            report.addCallbacks(
                self._take_report, self._note_lost, callbackArgs=(group, now)
            )
        pass_s = self._pass_s() or _USUAL_PASS_S
        for order in coordinator.orders(pass_s, now):
            runner = self._runners.get(order.runner_id)
            if runner is None:
                continue
            outcome = self._calls.order(runner, order)
            outcome.addCallback(self._take_outcome, group, order)
        self._note_phase(group)

    def _take_report(
        self, report: RankReport | None, group: _Group, asked_at: float
    ) -> None:
        if report is not None:
            group.slowness_by_id[report.runner_id] = report.slowness
            group.coordinator.record_report(report, asked_at, self._clock.seconds())
            self._drive(group, self._clock.seconds())

    def _take_outcome(
        self, outcome: OrderOutcome, group: _Group, order: RankOrder
    ) -> None:
        now = self._clock.seconds()
        self._log.note(
            Decision.RANK_ORDERED,
            runner=order.runner_id,
            order=order.kind.value,
            epoch=order.epoch,
            version=order.version,
            step=order.step,
            outcome=outcome.value,
        )
        group.coordinator.record_outcome(order, outcome, now)
        self._drive(group, now)

    def _note_phase(self, group: _Group) -> None:
        switch = group.coordinator.switch or group.coordinator.last_switch
        if switch is None or group.noted == (switch.version, switch.phase):
            return
        group.noted = (switch.version, switch.phase)
        if switch.phase is SwitchPhase.SWITCHED:
            self._reading.popularity.map_changed()
        self._log.note(
            Decision.MAP_SWITCH,
            phase=switch.phase.value,
            version=switch.version,
            step=switch.step,
            reason=switch.reason,
        )

    def _note_lost(self, failure: Failure) -> None:
        self._log.note(Decision.RANK_SILENT, reason=failure.getErrorMessage())


__all__ = ["GroupBalancer"]
