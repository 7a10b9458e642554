"""Switches the expert map of a group at one pass on all ranks, or on none.

All ranks copy the new map's experts. Then one rank holds the group before a pass and
every rank is armed for that pass. The hold is released after each rank confirmed that
it is armed.

If a rank refuses to arm or is not armed in time, the switch is rolled back, by its
coordinator or by another one that finds the group held. The rollback first holds the
same pass at a second rank, because a slow coordinator may still release the first hold.
Then each rank is disarmed and prepares a newer map, after which it refuses any late
order to arm the old map. Only then are the holds released.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .rank_orders import OrderKind, OrderOutcome, RankOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .rank_orders import ExpertSets, RankReport


@dataclass(frozen=True, slots=True)
class SwitchTimeouts:
    """Timeouts of a switch, in seconds.

    :param report_lag_s: maximum age of a rank's report.
    :param response_timeout_s: time after which an unanswered order is resent.
    :param poll_interval_s: interval at which the ranks of a stalled switch are polled.
    :param copy_timeout_s: timeout for copying experts, after which the switch is
        aborted.
    :param arm_timeout_s: timeout for holding the group, and again for arming the ranks,
        after which the switch is rolled back.
    """

    report_lag_s: float = 0.2
    response_timeout_s: float = 0.08
    poll_interval_s: float = 0.5
    copy_timeout_s: float = 6.0
    arm_timeout_s: float = 0.6


class SwitchPhase(Enum):
    """Phase of a switch.

    A switch goes from ``PREPARING`` through ``HOLDING``, ``ARMING`` and ``RELEASING``
    to ``SWITCHED``. A rollback goes from ``SECURING`` (a second hold) through
    ``CLEARING`` (disarming and fencing off late orders) and ``RELEASING_ALL`` to
    ``ABORTED``.
    """

    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    SECURING = "securing"
    CLEARING = "clearing"
    RELEASING_ALL = "letting_go"
    SWITCHED = "switched"
    ABORTED = "given_up"


_FINAL_PHASES = frozenset({SwitchPhase.SWITCHED, SwitchPhase.ABORTED})
_HOLD_RETRIES = 2  # a shorter pass than estimated can start before the hold arrives
_REPORT_MARGIN_S = 0.05  # transmission time of a report


@dataclass(slots=True)
class _Rank:
    """Known state of one rank.

    :param copy_started: whether it started to copy the new map's experts.
    :param prepared: whether it reported that the copy is complete.
    :param armed: whether it confirmed that it will switch.
    :param armed_version: version to disarm in a rollback; ``None`` if the rank is not
        known to be armed.
    :param stale_orders_fenced: whether it refuses every late order to arm the old map.
    :param may_hold: whether it may hold the pass of this switch.
    :param pending_order: the order whose outcome is unknown.
    :param report_needed_from: earliest request time of a report that shows why an order
        was refused; ``None`` if no report is needed.
    """

    runner_id: str
    copy_started: bool = False
    prepared: bool = False
    armed: bool = False
    armed_version: int | None = None
    stale_orders_fenced: bool = False
    may_hold: bool = False
    pending_order: RankOrder | None = None
    pending_since: float = 0.0
    report_needed_from: float | None = None


class SequencedSwitch:
    """One switch of one group, or the rollback of an abandoned switch.

    :param runner_ids: the group's runners, ordered by rank.
    :param epoch: epoch of the group; another one in a report aborts the switch.
    :param version: version of the new map; higher than any version used before.
    :param experts_by_rank: the new map.
    :param initial_map: the group's initial map. Ranks always keep its experts, so
        preparing it copies nothing.
    :param holder: number of the rank that holds the group.
    """

    def __init__(
        self,
        runner_ids: Sequence[str],
        epoch: int,
        version: int,
        experts_by_rank: tuple[ExpertSets, ...],
        initial_map: tuple[ExpertSets, ...],
        holder: int,
        timeouts: SwitchTimeouts,
        now: float,
    ) -> None:
        self._ranks = [_Rank(runner_id) for runner_id in runner_ids]
        self._rank_by_id = {rank.runner_id: rank for rank in self._ranks}
        self._epoch = epoch
        self._experts_by_rank = experts_by_rank
        self._initial_map = initial_map
        self._holder = holder
        self._timeouts = timeouts
        self._fencing_version = version
        self._phase_entered_at = now
        self._polled_at = now
        self._hold_retries_left = _HOLD_RETRIES
        self.version = version
        self.step = 0
        self.phase = SwitchPhase.PREPARING
        self.reason = ""

    @classmethod
    def rollback_of(
        cls,
        reports: Sequence[RankReport],
        version: int,
        initial_map: tuple[ExpertSets, ...],
        timeouts: SwitchTimeouts,
        now: float,
    ) -> SequencedSwitch:
        """Return the rollback of a held group whose coordinator abandoned it.

        :param reports: one report of each rank, in order; at least one has a hold.
        :param version: a version that is higher than any used before.
        """
        runner_ids = [each.runner_id for each in reports]
        steps = [each.held_step for each in reports if each.held_step is not None]
        step = min(steps)
        holder = next(n for n, each in enumerate(reports) if each.held_step == step)
        epoch = reports[0].epoch
        switch = cls(
            runner_ids, epoch, version, initial_map, initial_map, holder, timeouts, now
        )
        switch.step = step
        for rank, report in zip(switch._ranks, reports):
            rank.may_hold = report.held_step == step
            if report.armed_step == step:
                rank.armed_version = report.armed
        switch._roll_back("the coordinator abandoned the switch", now)
        return switch

    @property
    def finished(self) -> bool:
        """Whether the switch succeeded or was aborted."""
        return self.phase in _FINAL_PHASES

    @property
    def all_prepared(self) -> bool:
        """Whether every rank has copied the new map's experts."""
        return all(rank.prepared for rank in self._ranks)

    def hold_at(self, step: int, now: float) -> None:
        """Start to switch at this pass, which must not have started at any rank."""
        if self.phase is SwitchPhase.PREPARING and self.all_prepared:
            self.step = step
            self._enter(SwitchPhase.HOLDING, now)

    def ranks_needing_report(self, now: float) -> list[str]:
        """Return the ranks to poll for a report now."""
        if self.phase is SwitchPhase.PREPARING:
            return [
                rank.runner_id
                for rank in self._ranks
                if (rank.copy_started and not rank.prepared) or _needs_report(rank, now)
            ]
        if self._timed_out(self._timeouts.poll_interval_s, now):
            if now - self._polled_at >= self._timeouts.poll_interval_s:
                self._polled_at = now
                return list(self._rank_by_id)
        return [rank.runner_id for rank in self._ranks if _needs_report(rank, now)]

    def orders(self, now: float) -> list[RankOrder]:
        """Return the orders to send now."""
        self._check_timeouts(now)
        if self.finished:
            return []
        orders = []
        for rank in self._ranks_with_orders():
            if not self._may_send_order(rank, now):
                continue
            order = self._order_for(rank)
            rank.pending_order, rank.pending_since = order, now
            orders.append(order)
        return orders

    def record_outcome(
        self, order: RankOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Record the outcome of an order."""
        rank = self._rank_by_id.get(order.runner_id)
        if rank is None or rank.pending_order != order or self.finished:
            return
        if outcome is OrderOutcome.UNKNOWN:
            return  # resent by orders() after response_timeout_s
        rank.pending_order = None
        if outcome is OrderOutcome.DONE:
            self._on_done(rank, order, now)
        elif order.kind is OrderKind.ARM:
            self._roll_back(f"{rank.runner_id} refused to arm the new map", now)
        elif order.kind is OrderKind.DISARM:
            rank.armed_version = None
        else:
            rank.report_needed_from = (
                now + self._timeouts.report_lag_s + _REPORT_MARGIN_S
            )

    def record_report(
        self, report: RankReport, requested_at: float, now: float
    ) -> None:
        """Record a rank's report that was requested at ``requested_at``."""
        rank = self._rank_by_id.get(report.runner_id)
        if rank is None or self.finished:
            return
        if report.epoch != self._epoch:
            self._end(SwitchPhase.ABORTED, "the group re-formed with a new epoch")
        elif self.phase is SwitchPhase.PREPARING:
            self._record_copy(rank, report, requested_at)
        elif (
            rank.report_needed_from is not None
            and requested_at >= rank.report_needed_from
        ):
            rank.report_needed_from = None
            self._resolve_refusal(rank, report, now)

    def _record_copy(
        self, rank: _Rank, report: RankReport, requested_at: float
    ) -> None:
        if report.prepared == self.version:
            rank.copy_started = rank.prepared = True
            rank.pending_order = rank.report_needed_from = None
        elif (
            rank.report_needed_from is not None
            and requested_at >= rank.report_needed_from
        ):
            self._end(
                SwitchPhase.ABORTED, f"{rank.runner_id} refused to copy the experts"
            )

    def _resolve_refusal(self, rank: _Rank, report: RankReport, now: float) -> None:
        """Derive from a recent report why an order was refused."""
        holds_pass = report.held_step == self.step
        match self.phase:
            case SwitchPhase.HOLDING if holds_pass:
                self._on_hold_confirmed(rank, now)
            case SwitchPhase.HOLDING if (
                self._hold_retries_left and report.held_step is None
            ):
                # The pass had already started; a later one can be held.
                self._hold_retries_left -= 1
                self._enter(SwitchPhase.PREPARING, now)
            case SwitchPhase.HOLDING:
                self._end(SwitchPhase.ABORTED, "a rank refused to hold the pass")
            case SwitchPhase.RELEASING if not holds_pass:
                self._end(SwitchPhase.SWITCHED, "the hold was already released")
            case SwitchPhase.SECURING if holds_pass:
                self._on_hold_confirmed(rank, now)
            case SwitchPhase.SECURING if report.step >= self.step:
                self._end(SwitchPhase.ABORTED, "the held pass has already started")
            case SwitchPhase.SECURING:
                self._next_holder()
            case SwitchPhase.CLEARING if report.armed_step == self.step:
                rank.armed_version = report.armed
            case SwitchPhase.CLEARING if report.armed is not None:
                # Armed for another pass, so a newer map has replaced the old one.
                self._on_orders_fenced(rank, now)
            case SwitchPhase.CLEARING:
                self._fencing_version = max(self._fencing_version, report.prepared or 0)
            case SwitchPhase.RELEASING_ALL if not holds_pass:
                rank.may_hold = False
                self._end_if_released()

    def _on_done(self, rank: _Rank, order: RankOrder, now: float) -> None:
        match order.kind:
            case OrderKind.PREPARE if self.phase is SwitchPhase.CLEARING:
                self._on_orders_fenced(rank, now)
            case OrderKind.PREPARE:
                rank.copy_started = True
            case OrderKind.ARM:
                rank.armed = True
                if all(each.armed for each in self._ranks):
                    self._enter(SwitchPhase.RELEASING, now)
            case OrderKind.DISARM:
                rank.armed_version = None
            case OrderKind.HOLD:
                self._on_hold_confirmed(rank, now)
            case OrderKind.RELEASE if self.phase is SwitchPhase.RELEASING:
                self._end(SwitchPhase.SWITCHED, "released")
            case OrderKind.RELEASE:
                rank.may_hold = False
                self._end_if_released()

    def _on_hold_confirmed(self, rank: _Rank, now: float) -> None:
        rank.may_hold = True
        if self.phase is SwitchPhase.HOLDING:
            self._enter(SwitchPhase.ARMING, now)
        elif self.phase is SwitchPhase.SECURING:
            self._enter(SwitchPhase.CLEARING, now)

    def _on_orders_fenced(self, rank: _Rank, now: float) -> None:
        rank.stale_orders_fenced = True
        if all(each.stale_orders_fenced for each in self._ranks):
            self._enter(SwitchPhase.RELEASING_ALL, now)

    def _end_if_released(self) -> None:
        if not any(rank.may_hold for rank in self._ranks):
            self._end(SwitchPhase.ABORTED, self.reason)

    def _ranks_with_orders(self) -> list[_Rank]:
        """Return the ranks that still need an order in the current phase."""
        match self.phase:
            case SwitchPhase.PREPARING:
                return [rank for rank in self._ranks if not rank.copy_started]
            case SwitchPhase.ARMING:
                return [rank for rank in self._ranks if not rank.armed]
            case SwitchPhase.CLEARING:
                return [rank for rank in self._ranks if not rank.stale_orders_fenced]
            case SwitchPhase.RELEASING_ALL:
                return [rank for rank in self._ranks if rank.may_hold]
        return [self._ranks[self._holder]]

    def _may_send_order(self, rank: _Rank, now: float) -> bool:
        if rank.report_needed_from is not None:
            return False
        return (
            rank.pending_order is None
            or now - rank.pending_since >= self._timeouts.response_timeout_s
        )

    def _order_for(self, rank: _Rank) -> RankOrder:
        match self.phase:
            case SwitchPhase.PREPARING:
                return RankOrder(
                    rank.runner_id,
                    OrderKind.PREPARE,
                    self._epoch,
                    self.version,
                    experts_by_rank=self._experts_by_rank,
                )
            case SwitchPhase.ARMING:
                return RankOrder(
                    rank.runner_id, OrderKind.ARM, self._epoch, self.version, self.step
                )
            case SwitchPhase.CLEARING if rank.armed_version is not None:
                return RankOrder(
                    rank.runner_id, OrderKind.DISARM, self._epoch, rank.armed_version
                )
            case SwitchPhase.CLEARING:
                self._fencing_version += 1
                return RankOrder(
                    rank.runner_id,
                    OrderKind.PREPARE,
                    self._epoch,
                    self._fencing_version,
                    experts_by_rank=self._initial_map,
                )
            case SwitchPhase.HOLDING | SwitchPhase.SECURING:
                kind = OrderKind.HOLD
            case _:
                kind = OrderKind.RELEASE
        return RankOrder(rank.runner_id, kind, self._epoch, step=self.step)

    def _check_timeouts(self, now: float) -> None:
        timeouts = self._timeouts
        if self.phase is SwitchPhase.PREPARING and self._timed_out(
            timeouts.copy_timeout_s, now
        ):
            self._end(SwitchPhase.ABORTED, "copying the experts timed out")
        elif self.phase in (SwitchPhase.HOLDING, SwitchPhase.ARMING):
            if self._timed_out(timeouts.arm_timeout_s, now):
                self._roll_back(f"{self.phase.value} phase timed out", now)

    def _timed_out(self, timeout_s: float, now: float) -> bool:
        return now - self._phase_entered_at >= timeout_s

    def _roll_back(self, reason: str, now: float) -> None:
        """Start a rollback by holding the pass at a second rank before disarming."""
        self.reason = reason
        for rank in self._ranks:
            rank.pending_order = rank.report_needed_from = None
            if rank.armed:
                rank.armed_version = self.version
        # The first hold's outcome may be unknown, so it is released in any case.
        self._ranks[self._holder].may_hold = True
        self._next_holder()
        self._enter(SwitchPhase.SECURING, now)

    def _next_holder(self) -> None:
        self._holder = (self._holder + 1) % len(self._ranks)

    def _enter(self, phase: SwitchPhase, now: float) -> None:
        self.phase = phase
        self._phase_entered_at = now

    def _end(self, phase: SwitchPhase, reason: str) -> None:
        self.phase = phase
        self.reason = reason


def _needs_report(rank: _Rank, now: float) -> bool:
    return rank.report_needed_from is not None and now >= rank.report_needed_from


__all__ = ["SequencedSwitch", "SwitchPhase", "SwitchTimeouts"]
