"""Rebalances the experts of lock-step groups as their popularity drifts.

Normally one entry rebalances at a time, but the orders to ranks are safe if two do.
Groups are discovered from the reports of their ranks.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ...state.direct.group_coordinator import GroupCoordinator, round_robin_map
from ...state.direct.group_directory import GroupMembers
from ...state.direct.replica_plan import ReplicaLimits, pass_skew, plan_replicas
from ...state.direct.sequenced_switch import SwitchPhase, SwitchTimeouts
from .decision_log import Decision
from .popularity_reader import PopularityReader

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
    from .rank_client import RankClient

_MIN_RANKS_READ = 2  # the few streams of one rank can all have the same topic
# Large groups have fewer streams on each rank, and experts for more topics.
_RANKS_PER_SAMPLE = 16
# While a runner of the service is in no known group, or a group's map is unknown.
_DISCOVERY_PERIOD_S = 2.0
_POLL_PERIOD_S = 1.0  # detects slow ranks, and groups that another entry left held
# Large groups are polled less often: slow ranks must be detected within 3 s.
_MAX_POLL_PERIOD_S = 2.0
_POLLED_RANKS_PER_S = 32.0  # of one group
_SLOWNESS_CHANGE_RATIO = 1.5  # a larger change at any rank requires a new plan
_MIN_SLOWNESS = 1.2  # from this multiple on, a rank should get fewer streams
_MAX_COPY_S = 0.3  # popularity can change again within a few seconds
_MIN_SKEW_RATIO = 1.6  # current over planned skew; less does not justify the copies
_DEFAULT_PASS_S = 0.06  # until the duration of a pass has been measured


class _Group:
    """The coordinator of one group and the state reported by its ranks.

    :param members: the rank of each runner of the group, by runner id.
    """

    __slots__ = (
        "coordinator",
        "members",
        "slowness_by_id",
        "planned_slowness",
        "polled_at",
        "logged_phase",
    )

    def __init__(
        self, coordinator: GroupCoordinator, members: dict[str, int], now: float
    ) -> None:
        self.coordinator = coordinator
        self.members = members
        self.slowness_by_id = {runner_id: 1.0 for runner_id in members}
        self.planned_slowness = [1.0] * len(members)
        self.polled_at = now
        self.logged_phase: tuple[int, SwitchPhase] | None = None

    @property
    def slowness(self) -> list[float]:
        """Each rank's step time as a multiple of the usual one, in order of rank."""
        return [self.slowness_by_id[runner_id] for runner_id in self.members]

    @property
    def poll_period_s(self) -> float:
        """Seconds between two surveys of the ranks while no switch is in progress."""
        scaled_s = len(self.members) / _POLLED_RANKS_PER_S
        return min(max(scaled_s, _POLL_PERIOD_S), _MAX_POLL_PERIOD_S)

    @property
    def slowness_changed(self) -> bool:
        """Whether a rank's slowness differs much from that of the last plan."""
        return any(
            max(now, then) > _SLOWNESS_CHANGE_RATIO * min(now, then)
            for now, then in zip(self.slowness, self.planned_slowness)
        )


class GroupBalancer:
    """Discovers and rebalances the groups of one service.

    :param identity: the id of this entry, sent with its orders to ranks.
    :param pass_s: returns the current duration of a pass in seconds, 0 if unknown.
    :param stream_cost_s: returns the seconds that a stream adds to a pass, or 0.
    :param running: returns the number of requests in flight at a runner.
    :param on_report: called with each report of a rank.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        runners: RunnerList,
        client: RankClient,
        clock: Clock,
        random: Random,
        log: DecisionLog,
        pass_s: Callable[[], float],
        stream_cost_s: Callable[[], float],
        running: Callable[[str], int],
        on_report: Callable[[RankReport], None] = lambda report: None,
    ) -> None:
        self._identity = identity
        self._service = service
        self._runners = runners
        self._client = client
        self._clock = clock
        self._random = random
        self._log = log
        self._pass_s = pass_s
        self._stream_cost_s = stream_cost_s
        self._running = running
        self._tell_report = on_report
        self._groups_by_name: dict[str, _Group] = {}
        self._reports_by_id: dict[str, RankReport] = {}
        self._next_discovery_at = 0.0
        self._was_elected = False
        self._popularity_reader = PopularityReader(
            runners, client, clock, log, self._on_tokens, self._log_unanswered
        )

    def slow_runners(self) -> dict[str, float]:
        """Return the slow ranks' step times as multiples of the usual one."""
        return {
            runner_id: slowness
            for group in self._groups_by_name.values()
            for runner_id, slowness in group.slowness_by_id.items()
            if slowness >= _MIN_SLOWNESS
        }

    def groups(self) -> list[GroupMembers]:
        """Return the groups that this entry has discovered."""
        return [
            GroupMembers(name, self._service, tuple(group.members))
            for name, group in self._groups_by_name.items()
        ]

    def tick(self, engine: EngineModel, may_switch: bool, may_discover: bool) -> None:
        """Advance the current switches; start new ones only if ``may_switch``.

        :param may_switch: whether this entry is elected to balance the groups.
        :param may_discover: whether it asks ranks for their groups; an entry that does
            so before it is elected can take over at once.
        """
        experts = engine.experts
        if experts is None:
            return
        now = self._clock.seconds()
        if may_switch or may_discover:
            self._discover_groups(engine, now)
        if may_switch and not self._was_elected:
            self._on_elected(now)
        self._was_elected = may_switch
        for group in self._groups_by_name.values():
            has_map = group.coordinator.map_version is not None
            poll_period_s = group.poll_period_s if has_map else _DISCOVERY_PERIOD_S
            if may_switch and now - group.polled_at >= poll_period_s:
                group.polled_at = now
                group.coordinator.request_survey(now)
            if group.slowness_changed and group.coordinator.may_switch(now):
                group.planned_slowness = group.slowness
                self._popularity_reader.popularity.on_map_changed()
            self._advance(group, now)
        if may_switch:
            self._read_counts(experts, now)

    def _on_elected(self, now: float) -> None:
        """Request new popularity samples and the ranks' state.

        Another entry may have switched maps since this entry was last elected.
        """
        self._popularity_reader.popularity.on_map_changed()
        for group in self._groups_by_name.values():
            group.coordinator.request_survey(now)

    def _discover_groups(self, engine: EngineModel, now: float) -> None:
        known = {
            runner_id
            for group in self._groups_by_name.values()
            for runner_id in group.members
        }
        usable = self._runners.present(self._service)
        missing = [each for each in usable if each.runner_id not in known]
        if not missing or now < self._next_discovery_at:
            return
        self._next_discovery_at = now + _DISCOVERY_PERIOD_S
        self._reports_by_id = {
            runner_id: report
            for runner_id, report in self._reports_by_id.items()
            if self._runners.get(runner_id) is not None
        }
        outdated = [
            each
            for each in usable
            if each.runner_id in known and self._is_outdated(each.runner_id)
        ]
        for runner in missing + outdated:
            report = self._client.report(runner)
            report.addCallbacks(
                self._on_discovery_report, self._log_unanswered, callbackArgs=(engine,)
            )

    def _is_outdated(self, runner_id: str) -> bool:
        """Whether a rank's last report precedes the newest epoch of its group.

        A group that gets a new rank opens in a new epoch.
        """
        report = self._reports_by_id.get(runner_id)
        return report is not None and report.epoch < self._newest_epoch(report.group)

    def _newest_epoch(self, group: str) -> int:
        epochs = (
            each.epoch for each in self._reports_by_id.values() if each.group == group
        )
        return max(epochs, default=0)

    def _on_discovery_report(
        self, report: RankReport | None, engine: EngineModel
    ) -> None:
        if report is None or not report.group:
            return
        self._tell_report(report)
        if report.epoch > self._newest_epoch(report.group):
            self._next_discovery_at = 0.0  # the reports of the other ranks are outdated
        self._reports_by_id[report.runner_id] = report
        ranks = {
            each.rank: each.runner_id
            for each in self._reports_by_id.values()
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
        if not idle or not self._popularity_reader.is_due(self._stream_cost_s()):
            return
        ranks = [
            each
            for group in idle
            for each in self._busiest_ranks(group)[: _sample_size(group, len(idle))]
        ]
        if self._popularity_reader.read(ranks, experts):
            # Request the ranks' reports now, so that a switch need not wait for them.
            for group in idle:
                group.coordinator.request_survey(now)

    def _busiest_ranks(self, group: _Group) -> list[str]:
        running = [each for each in group.members if self._running(each)]
        return sorted(running, key=self._running, reverse=True)

    def _on_tokens(self, tokens: list[list[float]], experts: ExpertModel) -> None:
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
            self._popularity_reader.popularity.on_map_planned(now)
        elif any(group.coordinator.active_map is not None for group in idle):
            self._popularity_reader.popularity.on_map_kept(now)

    def _plan(
        self, group: _Group, tokens: list[list[float]], experts: ExpertModel
    ) -> None:
        coordinator = group.coordinator
        current_map = coordinator.active_map
        if current_map is None:
            return
        initial_map = round_robin_map(len(current_map), experts.experts, experts.sets)
        limits = ReplicaLimits(
            experts.expert_slots,
            experts.max_new_per_set,
            max(int(_MAX_COPY_S / experts.copy_s), 1),
        )
        slowness = group.slowness
        group.planned_slowness = slowness
        plan = plan_replicas(tokens, initial_map, current_map, slowness, limits)
        current_skew = pass_skew(tokens, current_map, slowness)
        planned_skew = pass_skew(tokens, plan, slowness)
        if current_skew < _MIN_SKEW_RATIO * planned_skew:
            return
        self._log.note(
            Decision.MAP_PLANNED,
            group_epoch=coordinator.epoch,
            map_version=coordinator.map_version,
            skew=round(current_skew, 3),
            planned_skew=round(planned_skew, 3),
            slowest=round(max(slowness), 2),
        )
        coordinator.request_map(plan)

    def _read_map(self, group: _Group) -> None:
        """Read the active map from the ranks, because another entry has set it."""
        sets_by_rank: dict[int, ExpertSets] = {}
        version = group.coordinator.map_version

        def on_experts(experts: ExpertSets, rank: int) -> None:
            sets_by_rank[rank] = experts
            if len(sets_by_rank) == len(group.members):
                current_map = tuple(sets_by_rank[each] for each in sorted(sets_by_rank))
                group.coordinator.record_active_map(version, current_map)

        for runner_id, rank in group.members.items():
            runner = self._runners.get(runner_id)
            if runner is not None:
                experts = self._client.experts(runner)
                experts.addCallbacks(
                    on_experts, self._log_unanswered, callbackArgs=(rank,)
                )

    def _advance(self, group: _Group, now: float) -> None:
        coordinator = group.coordinator
        for runner_id in coordinator.ranks_to_poll(now):
            runner = self._runners.get(runner_id)
            if runner is None:
                continue
            report = self._client.report(runner)
            report.addCallbacks(
                self._on_report, self._log_unanswered, callbackArgs=(group, now)
            )
        pass_s = self._pass_s() or _DEFAULT_PASS_S
        for order in coordinator.orders(pass_s, now):
            runner = self._runners.get(order.runner_id)
            if runner is None:
                continue
            outcome = self._client.order(runner, order)
            outcome.addCallback(self._on_outcome, group, order)
        self._log_phase(group)

    def _on_report(
        self, report: RankReport | None, group: _Group, requested_at: float
    ) -> None:
        if report is not None:
            self._tell_report(report)
            group.slowness_by_id[report.runner_id] = report.slowness
            group.coordinator.record_report(report, requested_at, self._clock.seconds())
            self._advance(group, self._clock.seconds())

    def _on_outcome(
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
        self._advance(group, now)

    def _log_phase(self, group: _Group) -> None:
        switch = group.coordinator.switch or group.coordinator.last_switch
        if switch is None or group.logged_phase == (switch.version, switch.phase):
            return
        group.logged_phase = (switch.version, switch.phase)
        if switch.phase is SwitchPhase.SWITCHED:
            self._popularity_reader.popularity.on_map_changed()
        self._log.note(
            Decision.MAP_SWITCH,
            phase=switch.phase.value,
            version=switch.version,
            step=switch.step,
            reason=switch.reason,
        )

    def _log_unanswered(self, failure: Failure) -> None:
        self._log.note(Decision.RANK_SILENT, reason=failure.getErrorMessage())


def _sample_size(group: _Group, groups: int) -> int:
    """Return how many ranks of a group are read for the popularity of experts."""
    return math.ceil(
        max(_MIN_RANKS_READ / groups, len(group.members) / _RANKS_PER_SAMPLE)
    )


__all__ = ["GroupBalancer"]
