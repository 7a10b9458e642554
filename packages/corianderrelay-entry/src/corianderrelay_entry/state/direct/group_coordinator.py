"""Coordinates the expert map of one group: surveys, map switches and rollbacks.

Several entries may coordinate a group at the same time; the switch protocol keeps that
safe. A hold that outlasts a timeout is treated as abandoned by its coordinator and is
rolled back.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from zlib import crc32

from .sequenced_switch import SequencedSwitch, SwitchPhase, SwitchTimeouts

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from .rank_orders import ExpertSets, OrderOutcome, RankOrder, RankReport

_RANDOM_BITS = 20  # low bits of a version, distinct for concurrent coordinators
_SURVEY_INTERVAL_S = 0.3  # between surveys while a hold or an armed map blocks a switch
_SURVEY_MAX_AGE_S = 0.3  # about the report lag; ranks still validate each order
_REPORT_TIMEOUT_S = 1.0  # after which a rank is polled again
_HOLD_TIMEOUT_S = 0.4  # many times the duration of a normal hold
_INITIAL_BACKOFF_S = 2.0  # after a failed switch, whose orders may still be in flight
_MAX_BACKOFF_S = 8.0  # time of two popularity jumps; longer leaves an unfit map active
_LEAD_TIME_S = 0.03  # time to send a hold order and arm the ranks
_LEAD_PASSES = 1  # the current pass may end before the hold order arrives
_COPY_POLL_S = 0.15  # shorter than the report lag, so that no report is missed


class GroupCoordinator:
    """One entry's coordinator of one group.

    :param runner_ids: the group's runners, ordered by rank.
    :param initial_map: the initial map of a newly formed group.
    :param identity: id of this entry; selects the rank at which it holds the group, so
        that entries tend to use different ranks.
    """

    def __init__(
        self,
        runner_ids: Sequence[str],
        initial_map: tuple[ExpertSets, ...],
        identity: str,
        timeouts: SwitchTimeouts,
        random: Random,
    ) -> None:
        self.runner_ids = tuple(runner_ids)
        self._holder_rank = crc32(identity.encode()) % len(runner_ids)
        self._initial_map = initial_map
        self._timeouts = timeouts
        self._random = random
        self._reports_by_id: dict[str, tuple[RankReport, float]] = {}
        self._polled_at_by_id: dict[str, float] = {}
        self._survey_not_before: float | None = None
        self._next_survey_at = 0.0
        self._survey_clear_at = -math.inf
        self._held_since: tuple[int, float] | None = None
        self._requested_map: tuple[ExpertSets, ...] | None = None
        self._newest_version = 0
        self._last_step = 0
        self._switch_map: tuple[ExpertSets, ...] = ()
        self._backoff_until = 0.0
        self._backoff_s = _INITIAL_BACKOFF_S
        self.switch: SequencedSwitch | None = None
        self.last_switch: SequencedSwitch | None = None
        self.active_map: tuple[ExpertSets, ...] | None = None
        self.map_version: int | None = None
        self.epoch: int | None = None

    @property
    def busy(self) -> bool:
        """Whether a switch is requested or in progress."""
        return self._requested_map is not None or self._active_switch() is not None

    def may_switch(self, now: float) -> bool:
        """Return whether a new map may be requested now."""
        return not self.busy and now >= self._backoff_until

    def request_map(self, experts_by_rank: tuple[ExpertSets, ...]) -> None:
        """Request a switch to this map as soon as the group is free."""
        self._requested_map = experts_by_rank

    def record_active_map(
        self, version: int | None, experts_by_rank: tuple[ExpertSets, ...]
    ) -> None:
        """Set the active map if ``version`` is active and no switch is pending."""
        if version == self.map_version and not self.busy:
            self.active_map = experts_by_rank

    def request_survey(self, now: float) -> None:
        """Schedule a survey of the ranks to find an abandoned switch."""
        if self._active_switch() is None and self._survey_not_before is None:
            self._survey_not_before = now

    def ranks_to_poll(self, now: float) -> list[str]:
        """Return the ranks to poll for a report now.

        Starts the requested switch instead if the last survey is recent enough.
        """
        switch = self._active_switch()
        if switch is not None:
            rank_ids, since = switch.ranks_needing_report(now), -math.inf
            interval_s = _COPY_POLL_S
        else:
            if (
                self._requested_map is not None
                and now - self._survey_clear_at <= _SURVEY_MAX_AGE_S
            ):
                self._start_requested(self._requested_map, now)
                return []
            if self._requested_map is not None and self._survey_not_before is None:
                self._survey_not_before = max(now, self._next_survey_at)
            if self._survey_not_before is None or now < self._survey_not_before:
                return []
            rank_ids = [
                runner_id
                for runner_id in self.runner_ids
                if not self._has_fresh_report(runner_id)
            ]
            interval_s, since = _REPORT_TIMEOUT_S, self._survey_not_before
        due = [
            runner_id
            for runner_id in rank_ids
            if now - self._last_polled_at(runner_id, since) >= interval_s
        ]
        self._polled_at_by_id.update((runner_id, now) for runner_id in due)
        return due

    def orders(self, pass_s: float, now: float) -> list[RankOrder]:
        """Return the orders to send now.

        :param pass_s: current duration of a pass, in seconds.
        """
        switch = self._active_switch()
        if switch is None:
            return []
        if switch.phase is SwitchPhase.PREPARING and switch.all_prepared:
            switch.hold_at(self._hold_step(pass_s, now), now)
        orders = switch.orders(now)
        self._on_switch_end(now)
        return orders

    def record_outcome(
        self, order: RankOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Record the outcome of an order."""
        switch = self._active_switch()
        if switch is not None:
            switch.record_outcome(order, outcome, now)
            self._on_switch_end(now)

    def record_report(
        self, report: RankReport, requested_at: float, now: float
    ) -> None:
        """Record a rank's report."""
        self._reports_by_id[report.runner_id] = (report, requested_at)
        self._newest_version = max(
            self._newest_version,
            report.map_version,
            report.prepared or 0,
            report.armed or 0,
        )
        switch = self._active_switch()
        if switch is not None:
            switch.record_report(report, requested_at, now)
            self._on_switch_end(now)
        elif self._survey_not_before is not None and all(
            map(self._has_fresh_report, self.runner_ids)
        ):
            self._survey_not_before = None
            self._evaluate_survey(now)

    def _evaluate_survey(self, now: float) -> None:
        reports = [self._reports_by_id[each][0] for each in self.runner_ids]
        self._next_survey_at = now + _SURVEY_INTERVAL_S
        if not _is_complete_group(reports):
            return
        self._record_map(reports)
        holding_report = next(
            (each for each in reports if each.held_step is not None), None
        )
        if holding_report is not None:
            self._on_held_group(reports, holding_report, now)
            return
        self._held_since = None
        if any(each.armed is not None for each in reports):
            return
        self._survey_clear_at = now
        if self._requested_map is not None:
            self._start_requested(self._requested_map, now)

    def _start_requested(self, new_map: tuple[ExpertSets, ...], now: float) -> None:
        """Start the requested switch after a survey without a hold or an armed map."""
        self._requested_map = None
        self._survey_not_before = None
        switch = SequencedSwitch(
            self.runner_ids,
            self.epoch or 0,
            self._next_version(),
            new_map,
            self._initial_map,
            self._holder_rank,
            self._timeouts,
            now,
        )
        self._start_switch(switch, new_map)

    def _on_held_group(
        self, reports: list[RankReport], holding_report: RankReport, now: float
    ) -> None:
        step = holding_report.held_step or 0
        if self._held_since is None or self._held_since[0] != step:
            self._held_since = (step, now)
        if now - self._held_since[1] < _HOLD_TIMEOUT_S:
            self._survey_not_before = now + _SURVEY_INTERVAL_S
            return
        switch = SequencedSwitch.rollback_of(
            reports, self._next_version(), self._initial_map, self._timeouts, now
        )
        self._start_switch(switch, self._initial_map)

    def _start_switch(
        self, switch: SequencedSwitch, experts_by_rank: tuple[ExpertSets, ...]
    ) -> None:
        self.switch = switch
        self._switch_map = experts_by_rank
        self._survey_clear_at = -math.inf
        self._held_since = None

    def _on_switch_end(self, now: float) -> None:
        switch = self.switch
        if switch is None or not switch.finished:
            return
        if switch.phase is SwitchPhase.SWITCHED:
            self.active_map = self._switch_map
            self.map_version = switch.version
            self._backoff_s = _INITIAL_BACKOFF_S
        else:
            self._backoff_until = now + self._backoff_s
            self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
        self._next_survey_at = now + self._timeouts.report_lag_s + _SURVEY_INTERVAL_S
        self._survey_not_before = self._next_survey_at
        self.switch = None
        self.last_switch = switch

    def _record_map(self, reports: list[RankReport]) -> None:
        report = reports[0]
        if report.epoch != self.epoch:
            self.epoch = report.epoch
            self._last_step = 0
            self.map_version = None
        if report.map_version != self.map_version:
            self.map_version = report.map_version
            self.active_map = self._initial_map if report.map_version == 0 else None

    def _next_version(self) -> int:
        next_counter = (self._newest_version >> _RANDOM_BITS) + 1
        version = (next_counter << _RANDOM_BITS) | self._random.getrandbits(
            _RANDOM_BITS - 1
        )
        self._newest_version = version
        return version

    def _hold_step(self, pass_s: float, now: float) -> int:
        """Return the number of a pass that starts after all ranks can be armed."""
        lag_s = self._timeouts.report_lag_s
        steps = (
            report.step + (now - requested_at + lag_s + _LEAD_TIME_S) / pass_s
            for report, requested_at in self._reports_by_id.values()
        )
        hold_step = math.ceil(max(steps)) + _LEAD_PASSES
        # A release of an earlier hold may be in flight, so no pass is held twice.
        self._last_step = max(hold_step, self._last_step + 1)
        return self._last_step

    def _has_fresh_report(self, runner_id: str) -> bool:
        latest = self._reports_by_id.get(runner_id)
        since = self._survey_not_before
        return latest is not None and since is not None and latest[1] >= since

    def _last_polled_at(self, runner_id: str, since: float) -> float:
        """Return when a rank was last polled; ``-inf`` if that was before ``since``."""
        requested_at = self._polled_at_by_id.get(runner_id, -math.inf)
        return requested_at if requested_at >= since else -math.inf

    def _active_switch(self) -> SequencedSwitch | None:
        return None if self.switch is None or self.switch.finished else self.switch


def round_robin_map(ranks: int, experts: int, sets: int) -> tuple[ExpertSets, ...]:
    """Return the initial map of a group, with experts assigned round-robin."""
    return tuple(
        tuple(tuple(range(rank, experts, ranks)) for _ in range(sets))
        for rank in range(ranks)
    )


def _is_complete_group(reports: list[RankReport]) -> bool:
    first_report = reports[0]
    return len(reports) == first_report.size and all(
        report.complete
        and report.epoch == first_report.epoch
        and report.group == first_report.group
        and report.rank == rank
        and report.map_version == first_report.map_version
        for rank, report in enumerate(reports)
    )


__all__ = ["GroupCoordinator", "round_robin_map"]
