"""Carries out the decisions of a group's coordinator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..state.errors import LogUnavailableError
from ..state.group_records import (
    CoordinatorStarted,
    GroupSnapshot,
    SwitchBegun,
    SwitchDecided,
)
from ..state.switch_coordinator import SwitchCoordinator
from ..state.switch_rules import Phase, SwitchReport, SwitchRules
from ..state.switch_types import AppendBeginRecord, AppendCommitRecord, Send
from .group_log import Appended, GroupLog
from .tasks import pause, spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.group_records import GroupState
    from ..state.switch_types import (
        AnySwitchMessage,
        Attempt,
        AttemptId,
        CoordinatorAction,
        GroupMap,
    )
    from .group_link import GroupLink
    from .tasks import Scheduler


class CoordinatorEvents(Protocol):
    """Hears of what a coordinator has decided."""

    def on_epoch(self, state: GroupState) -> None:
        """Take the fold that ends with the coordinator's own start record."""

    def on_switch(self, report: SwitchReport) -> None:
        """Take how an attempt has ended."""


@dataclass(slots=True, frozen=True)
class CoordinatorPeriods:
    """Periods of a coordinator, in seconds.

    :param tick_s: how often open matters are looked at.
    :param log_retry_s: pause before the log is asked again.
    :param fold_s: how often the stream is read for a newer coordinator.
    :param refresh_s: how often what is in force is appended again.
    :param fenced_restart_s: pause after which a fenced coordinator starts anew, in
        case the one that fenced it has died.
    """

    tick_s: float = 0.05
    log_retry_s: float = 0.5
    fold_s: float = 2.0
    refresh_s: float = 3600.0
    fenced_restart_s: float = 30.0


class MapCoordinator:
    """Coordinates the switches of one group.

    :param instance_id: the instance of this agent, for the records.
    """

    __slots__ = (
        "switch",
        "_group",
        "_instance_id",
        "_log",
        "_link",
        "_events",
        "_clock",
        "_periods",
        "_folded_at",
        "_refreshed_at",
        "_reading",
        "_stopped",
        "_fenced_at",
        "_new_switch",
    )

    def __init__(
        self,
        group: str,
        ranks: int,
        instance_id: str,
        log: GroupLog,
        link: GroupLink,
        events: CoordinatorEvents,
        clock: Scheduler,
        rules: SwitchRules,
        periods: CoordinatorPeriods,
    ) -> None:
        self._group = group
        self._instance_id = instance_id
        self._log = log
        self._link = link
        self._events = events
        self._clock = clock
        self._periods = periods
        self._folded_at = clock.seconds()
        self._refreshed_at = clock.seconds()
        self._reading = False
        self._stopped = False
        self._fenced_at: float | None = None
        self._new_switch: Callable[[], SwitchCoordinator] = lambda: SwitchCoordinator(
            ranks, rules
        )
        self.switch = self._new_switch()

    def start(self) -> None:
        """Start the coordinator; it acts once its start record is in the log."""
        spawn(self._start())
        self._tick()

    def stop(self) -> None:
        """Stop the periodic work."""
        self._stopped = True

    def propose(self, group_map: GroupMap) -> bool:
        """Start a switch and return whether one was started."""
        orders = self.switch.propose(group_map, self._clock.seconds())
        self._carry_out(orders)
        return bool(orders)

    def on_message(self, rank: int, message: AnySwitchMessage) -> None:
        """Take a message of the agent of ``rank``."""
        now = self._clock.seconds()
        self._carry_out(self.switch.on_message(rank, message, now))

    async def _start(self) -> None:
        while not self._stopped and not await self._append_start():
            await pause(self._clock, self._periods.log_retry_s)

    async def _append_start(self) -> bool:
        try:
            term = (await self._log.catch_up()).term + 1
        except LogUnavailableError:
            return False
        nonce = self._log.new_nonce()
        record = CoordinatorStarted(self._group, nonce, self._instance_id, term)
        await self._log.append(record)
        state = self._log.state
        if state.coordinator_nonce != nonce:
            return False
        self.switch.on_started(state)
        self._events.on_epoch(state)
        return True

    def fence(self) -> None:
        """Stop coordinating: a newer agent of this rank has been heard of."""
        self.switch.phase = Phase.FENCED

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._clock.seconds()
        self._carry_out(self.switch.tick(now))
        if self.switch.phase is Phase.FENCED:
            self._restart_later(now)
        if now - self._folded_at >= self._periods.fold_s and not self._reading:
            self._folded_at = now
            self._reading = True
            spawn(self._read())
        if now - self._refreshed_at >= self._periods.refresh_s and self.switch.idle:
            self._refreshed_at = now
            spawn(self._refresh())
        self._clock.callLater(self._periods.tick_s, self._tick)

    def _restart_later(self, now: float) -> None:
        if self._fenced_at is None:
            self._fenced_at = now
        if now - self._fenced_at >= self._periods.fenced_restart_s:
            self._fenced_at = None
            self.switch = self._new_switch()
            spawn(self._start())

    async def _read(self) -> None:
        try:
            self.switch.on_fold(await self._log.catch_up())
        except LogUnavailableError:
            pass
        self._reading = False

    async def _refresh(self) -> None:
        state = self._log.state
        await self._log.append(
            GroupSnapshot(
                self._group,
                self._log.new_nonce(),
                state.epoch,
                state.term,
                state.last_number,
                state.last_step,
                state.maps,
            )
        )

    def _carry_out(self, orders: list[CoordinatorAction]) -> None:
        for order in orders:
            match order:
                case Send():
                    self._link.send(order.rank, order.message)
                case AppendBeginRecord():
                    spawn(self._begin(order.attempt))
                case AppendCommitRecord():
                    spawn(self._decide(order.attempt))
        self._report()

    def _report(self) -> None:
        reports = self.switch.reports
        self.switch.reports = []
        for report in reports:
            self._events.on_switch(report)

    async def _begin(self, attempt: Attempt) -> None:
        record = SwitchBegun(self._group, self._log.new_nonce(), attempt)
        appended = await self._log.append(record)
        self.switch.on_fold(self._log.state)
        valid = appended is Appended.YES and self._log.state.open_attempt == attempt
        self._carry_out(self.switch.on_begun(valid, self._clock.seconds()))

    async def _decide(self, attempt: AttemptId) -> None:
        appended = await self._append_decision(attempt, True)
        if appended is Appended.NO:
            self._decided(False, "the log did not take the decision")
            return
        while self._log.state.outcome_of(attempt) is None:
            # The commit may still arrive; only the first decision counts, so a
            # decision to the contrary settles which of them it is.
            await self._append_decision(attempt, False)
            if self._log.state.outcome_of(attempt) is None:
                await pause(self._clock, self._periods.log_retry_s)
        committed = self._log.state.outcome_of(attempt) is True
        self._decided(committed, "decided by the log")

    async def _append_decision(self, attempt: AttemptId, committed: bool) -> Appended:
        nonce = self._log.new_nonce()
        record = SwitchDecided(self._group, nonce, attempt, committed)
        return await self._log.append(record)

    def _decided(self, committed: bool, reason: str) -> None:
        now = self._clock.seconds()
        self._carry_out(self.switch.on_decided(committed, reason, now))
        self.switch.on_fold(self._log.state)


__all__ = ["CoordinatorEvents", "CoordinatorPeriods", "MapCoordinator"]
