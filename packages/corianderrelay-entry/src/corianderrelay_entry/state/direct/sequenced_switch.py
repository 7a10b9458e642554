"""Switches the expert map of a group at one pass on all ranks, or on none.

All ranks copy the new map's experts. Then one rank holds the group before a pass, every
rank is armed for that pass, and the hold is released only when each has confirmed it.

If one does not, the switch is unwound, by its coordinator or by another that finds the
group held. Whoever unwinds first holds the same pass at a second rank, since the first
hold may still be released by a coordinator that was only slow. Then each rank is
disarmed and given a newer map to prepare, after which no order to arm the old one fits,
however late it comes. Only then are the holds released.
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
class SwitchRules:
    """Times of a switch, in seconds.

    :param report_lag_s: how old a rank's report can be.
    :param answer_s: time after which an order without an answer is sent again.
    :param look_again_s: time between looks at a switch that does not get on.
    :param copy_limit_s: time for copying, after which the switch is given up.
    :param arm_limit_s: time for arming while the group may be held.
    """

    report_lag_s: float = 0.2
    answer_s: float = 0.08
    look_again_s: float = 0.5
    copy_limit_s: float = 6.0
    arm_limit_s: float = 0.6


class SwitchPhase(Enum):
    """How far a switch has come."""

    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    SECURING = "securing"
    CLEARING = "clearing"
    LETTING_GO = "letting_go"
    SWITCHED = "switched"
    GIVEN_UP = "given_up"


_OVER = frozenset({SwitchPhase.SWITCHED, SwitchPhase.GIVEN_UP})
_HOLD_TRIES = 2  # after the first; passes can be shorter than the last ones seen
_LAG_MARGIN_S = 0.05  # the time that a report takes besides its lag


@dataclass(slots=True)
class _Rank:
    """What is known of one rank.

    :param begun: whether it has begun to copy the new map's experts.
    :param armed: whether it has confirmed that it will switch.
    :param armed_version: what its report says that it would switch to.
    :param cleared: whether no order to arm the old map fits any longer.
    :param holds: whether it may hold the pass of this switch.
    :param asked: the order whose outcome is not known.
    :param look_from: a report asked earlier than this cannot tell what happened.
    """

    runner_id: str
    begun: bool = False
    prepared: bool = False
    armed: bool = False
    armed_version: int | None = None
    cleared: bool = False
    holds: bool = False
    asked: RankOrder | None = None
    asked_at: float = 0.0
    look_from: float | None = None


class SequencedSwitch:
    """One switch of one group, or the unwinding of one that another left behind.

    :param runner_ids: the group's runners, in order of rank.
    :param version: of the new map; higher than any that a rank has had.
    :param experts_by_rank: the new map.
    :param first_map: of the group when it formed; ranks always hold these experts, so
        preparing it copies nothing.
    :param holder: number of the rank that holds the group.
    """

    def __init__(
        self,
        runner_ids: Sequence[str],
        epoch: int,
        version: int,
        experts_by_rank: tuple[ExpertSets, ...],
        first_map: tuple[ExpertSets, ...],
        holder: int,
        rules: SwitchRules,
        now: float,
    ) -> None:
        self._ranks = [_Rank(runner_id) for runner_id in runner_ids]
        self._rank_by_id = {rank.runner_id: rank for rank in self._ranks}
        self._epoch = epoch
        self._experts_by_rank = experts_by_rank
        self._first_map = first_map
        self._holder = holder
        self._rules = rules
        self._clear_version = version
        self._since = now
        self._looked_at = now
        self._tries = _HOLD_TRIES
        self.version = version
        self.step = 0
        self.phase = SwitchPhase.PREPARING
        self.reason = ""

    @classmethod
    def unwinding(
        cls,
        reports: Sequence[RankReport],
        version: int,
        first_map: tuple[ExpertSets, ...],
        rules: SwitchRules,
        now: float,
    ) -> SequencedSwitch:
        """Return the unwinding of a held group whose coordinator is gone.

        :param reports: of all ranks in order; at least one of them holds.
        :param version: higher than any that a rank has had.
        """
        runner_ids = [each.runner_id for each in reports]
        steps = [each.held_step for each in reports if each.held_step is not None]
        step = min(steps)
        holder = next(n for n, each in enumerate(reports) if each.held_step == step)
        epoch = reports[0].epoch
        switch = cls(
            runner_ids, epoch, version, first_map, first_map, holder, rules, now
        )
        switch.step = step
        for rank, report in zip(switch._ranks, reports):
            rank.holds = report.held_step == step
            if report.armed_step == step:
                rank.armed_version = report.armed
        switch._unwind("its coordinator is gone", now)
        return switch

    @property
    def over(self) -> bool:
        """Whether nothing is left to do."""
        return self.phase in _OVER

    @property
    def all_prepared(self) -> bool:
        """Whether every rank has copied the new map's experts."""
        return all(rank.prepared for rank in self._ranks)

    def hold_at(self, step: int, now: float) -> None:
        """Begin to switch at this pass, which must not have begun at any rank."""
        if self.phase is SwitchPhase.PREPARING and self.all_prepared:
            self.step = step
            self._enter(SwitchPhase.HOLDING, now)

    def looks(self, now: float) -> list[str]:
        """Return the ranks whose report is needed now."""
        if self.phase is SwitchPhase.PREPARING:
            return [
                rank.runner_id
                for rank in self._ranks
                if (rank.begun and not rank.prepared) or _wants_look(rank, now)
            ]
        if self._late(self._rules.look_again_s, now):
            if now - self._looked_at >= self._rules.look_again_s:
                self._looked_at = now
                return list(self._rank_by_id)
        return [rank.runner_id for rank in self._ranks if _wants_look(rank, now)]

    def orders(self, now: float) -> list[RankOrder]:
        """Return the orders to send now."""
        self._give_up_if_late(now)
        if self.over:
            return []
        orders = []
        for rank in self._due():
            if not self._may_ask(rank, now):
                continue
            order = self._order_for(rank)
            rank.asked, rank.asked_at = order, now
            orders.append(order)
        return orders

    def answered(self, order: RankOrder, outcome: OrderOutcome, now: float) -> None:
        """Take the outcome of an order."""
        rank = self._rank_by_id.get(order.runner_id)
        if rank is None or rank.asked != order or self.over:
            return
        if outcome is OrderOutcome.UNKNOWN:
            return  # it is sent again when its answer is overdue
        rank.asked = None
        if outcome is OrderOutcome.DONE:
            self._done(rank, order, now)
        elif order.kind is OrderKind.ARM:
            self._unwind(f"{rank.runner_id} refused to arm", now)
        elif order.kind is OrderKind.DISARM:
            rank.armed_version = None
        else:
            rank.look_from = now + self._rules.report_lag_s + _LAG_MARGIN_S

    def reported(self, report: RankReport, asked_at: float, now: float) -> None:
        """Take a rank's report that was asked at ``asked_at``."""
        rank = self._rank_by_id.get(report.runner_id)
        if rank is None or self.over:
            return
        if report.epoch != self._epoch:
            self._end(SwitchPhase.GIVEN_UP, "the group has formed anew")
        elif self.phase is SwitchPhase.PREPARING:
            self._note_copy(rank, report, asked_at)
        elif rank.look_from is not None and asked_at >= rank.look_from:
            rank.look_from = None
            self._settle(rank, report, now)

    def _note_copy(self, rank: _Rank, report: RankReport, asked_at: float) -> None:
        if report.prepared == self.version:
            rank.begun = rank.prepared = True
            rank.asked = rank.look_from = None
        elif rank.look_from is not None and asked_at >= rank.look_from:
            self._end(SwitchPhase.GIVEN_UP, f"{rank.runner_id} refused to copy")

    def _settle(self, rank: _Rank, report: RankReport, now: float) -> None:
        """Learn from a report that is young enough why an order was refused."""
        holds = report.held_step == self.step
        match self.phase:
            case SwitchPhase.HOLDING if holds:
                self._hold_confirmed(rank, now)
            case SwitchPhase.HOLDING if self._tries and report.held_step is None:
                # The pass had begun: a later one can still be held.
                self._tries -= 1
                self._enter(SwitchPhase.PREPARING, now)
            case SwitchPhase.HOLDING:
                self._end(SwitchPhase.GIVEN_UP, "the hold was refused")
            case SwitchPhase.RELEASING if not holds:
                self._end(SwitchPhase.SWITCHED, "the hold is gone")
            case SwitchPhase.SECURING if holds:
                self._hold_confirmed(rank, now)
            case SwitchPhase.SECURING if report.step >= self.step:
                self._end(SwitchPhase.GIVEN_UP, "the pass has begun")
            case SwitchPhase.SECURING:
                self._next_holder()
            case SwitchPhase.CLEARING if report.armed_step == self.step:
                rank.armed_version = report.armed
            case SwitchPhase.CLEARING if report.armed is not None:
                # Armed for another pass: a newer map has taken the old one's place.
                self._cleared(rank, now)
            case SwitchPhase.CLEARING:
                self._clear_version = max(self._clear_version, report.prepared or 0)
            case SwitchPhase.LETTING_GO if not holds:
                rank.holds = False
                self._end_if_let_go()

    def _done(self, rank: _Rank, order: RankOrder, now: float) -> None:
        match order.kind:
            case OrderKind.PREPARE if self.phase is SwitchPhase.CLEARING:
                self._cleared(rank, now)
            case OrderKind.PREPARE:
                rank.begun = True
            case OrderKind.ARM:
                rank.armed = True
                if all(each.armed for each in self._ranks):
                    self._enter(SwitchPhase.RELEASING, now)
            case OrderKind.DISARM:
                rank.armed_version = None
            case OrderKind.HOLD:
                self._hold_confirmed(rank, now)
            case OrderKind.RELEASE if self.phase is SwitchPhase.RELEASING:
                self._end(SwitchPhase.SWITCHED, "released")
            case OrderKind.RELEASE:
                rank.holds = False
                self._end_if_let_go()

    def _hold_confirmed(self, rank: _Rank, now: float) -> None:
        rank.holds = True
        if self.phase is SwitchPhase.HOLDING:
            self._enter(SwitchPhase.ARMING, now)
        elif self.phase is SwitchPhase.SECURING:
            self._enter(SwitchPhase.CLEARING, now)

    def _cleared(self, rank: _Rank, now: float) -> None:
        rank.cleared = True
        if all(each.cleared for each in self._ranks):
            self._enter(SwitchPhase.LETTING_GO, now)

    def _end_if_let_go(self) -> None:
        if not any(rank.holds for rank in self._ranks):
            self._end(SwitchPhase.GIVEN_UP, self.reason)

    def _due(self) -> list[_Rank]:
        """Return the ranks that the present phase still has orders for."""
        match self.phase:
            case SwitchPhase.PREPARING:
                return [rank for rank in self._ranks if not rank.begun]
            case SwitchPhase.ARMING:
                return [rank for rank in self._ranks if not rank.armed]
            case SwitchPhase.CLEARING:
                return [rank for rank in self._ranks if not rank.cleared]
            case SwitchPhase.LETTING_GO:
                return [rank for rank in self._ranks if rank.holds]
        return [self._ranks[self._holder]]

    def _may_ask(self, rank: _Rank, now: float) -> bool:
        if rank.look_from is not None:
            return False
        return rank.asked is None or now - rank.asked_at >= self._rules.answer_s

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
                self._clear_version += 1
                return RankOrder(
                    rank.runner_id,
                    OrderKind.PREPARE,
                    self._epoch,
                    self._clear_version,
                    experts_by_rank=self._first_map,
                )
            case SwitchPhase.HOLDING | SwitchPhase.SECURING:
                kind = OrderKind.HOLD
            case _:
                kind = OrderKind.RELEASE
        return RankOrder(rank.runner_id, kind, self._epoch, step=self.step)

    def _give_up_if_late(self, now: float) -> None:
        rules = self._rules
        if self.phase is SwitchPhase.PREPARING and self._late(rules.copy_limit_s, now):
            self._end(SwitchPhase.GIVEN_UP, "copying the experts took too long")
        elif self.phase in (SwitchPhase.HOLDING, SwitchPhase.ARMING):
            if self._late(rules.arm_limit_s, now):
                self._unwind(f"{self.phase.value} took too long", now)

    def _late(self, limit_s: float, now: float) -> bool:
        return now - self._since >= limit_s

    def _unwind(self, reason: str, now: float) -> None:
        """Hold the same pass at a second rank, before any rank is disarmed."""
        self.reason = reason
        for rank in self._ranks:
            rank.asked = rank.look_from = None
            if rank.armed:
                rank.armed_version = self.version
        # Its outcome may be unknown: it is released with the others.
        self._ranks[self._holder].holds = True
        self._next_holder()
        self._enter(SwitchPhase.SECURING, now)

    def _next_holder(self) -> None:
        self._holder = (self._holder + 1) % len(self._ranks)

    def _enter(self, phase: SwitchPhase, now: float) -> None:
        self.phase = phase
        self._since = now

    def _end(self, phase: SwitchPhase, reason: str) -> None:
        self.phase = phase
        self.reason = reason


def _wants_look(rank: _Rank, now: float) -> bool:
    return rank.look_from is not None and now >= rank.look_from


__all__ = ["SequencedSwitch", "SwitchPhase", "SwitchRules"]
