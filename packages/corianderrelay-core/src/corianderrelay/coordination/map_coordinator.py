"""Executes the actions of the map-switch coordinator of a group."""

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
from .group_log import AppendOutcome, GroupLog
from .tasks import pause, spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.group_records import GroupState
    from ..state.switch_types import (
        AnySwitchMessage,
        CoordinatorAction,
        GroupMap,
        SwitchAttempt,
        SwitchAttemptId,
    )
    from .group_link import GroupLink
    from .tasks import Scheduler


class CoordinatorEvents(Protocol):
    """Receives the events of a coordinator."""

    def on_epoch(self, state: GroupState) -> None:
        """Handle the group state as of the coordinator's own start record."""

    def on_switch(self, report: SwitchReport) -> None:
        """Handle the report of a finished attempt."""


@dataclass(slots=True, frozen=True)
class CoordinatorPeriods:
    """Intervals of a coordinator, in seconds.

    :param tick_s: interval at which timeouts and retries are evaluated.
    :param log_retry_s: delay before a failed log call is retried.
    :param log_poll_s: interval at which the stream is polled for a newer coordinator.
    :param refresh_s: interval at which the current state is appended again.
    :param fenced_restart_s: delay after which a fenced coordinator restarts, in case
        the coordinator that fenced it has died.
    """

    tick_s: float = 0.05
    log_retry_s: float = 0.5
    log_poll_s: float = 2.0
    refresh_s: float = 3600.0
    fenced_restart_s: float = 30.0


class MapCoordinator:
    """Coordinates the map switches of one group.

    :param instance_id: instance of this agent, written to its start records.
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
        "_log_polled_at",
        "_refreshed_at",
        "_polling_log",
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
        self._log_polled_at = clock.seconds()
        self._refreshed_at = clock.seconds()
        self._polling_log = False
        self._stopped = False
        self._fenced_at: float | None = None
        self._new_switch: Callable[[], SwitchCoordinator] = lambda: SwitchCoordinator(
            ranks, rules
        )
        self.switch = self._new_switch()

    def start(self) -> None:
        """Start the coordinator; it is active once its start record is in the log."""
        spawn(self._start())
        self._tick()

    def stop(self) -> None:
        """Stop the periodic work."""
        self._stopped = True

    def propose(self, group_map: GroupMap) -> bool:
        """Start a switch to ``group_map``; return ``False`` if none can start now."""
        actions = self.switch.propose(group_map, self._clock.seconds())
        self._execute(actions)
        return bool(actions)

    def on_message(self, rank: int, message: AnySwitchMessage) -> None:
        """Handle a message from the agent of ``rank``."""
        now = self._clock.seconds()
        self._execute(self.switch.on_message(rank, message, now))

    async def _start(self) -> None:
        while not self._stopped and not await self._append_start_record():
            await pause(self._clock, self._periods.log_retry_s)

    async def _append_start_record(self) -> bool:
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
        """Stop coordinating, because a newer agent of this rank exists."""
        self.switch.phase = Phase.FENCED

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._clock.seconds()
        self._execute(self.switch.tick(now))
        if self.switch.phase is Phase.FENCED:
            self._restart_if_due(now)
        if (
            now - self._log_polled_at >= self._periods.log_poll_s
            and not self._polling_log
        ):
            self._log_polled_at = now
            self._polling_log = True
            spawn(self._poll_log())
        if now - self._refreshed_at >= self._periods.refresh_s and self.switch.idle:
            self._refreshed_at = now
            spawn(self._append_refresh())
        self._clock.callLater(self._periods.tick_s, self._tick)

    def _restart_if_due(self, now: float) -> None:
        if self._fenced_at is None:
            self._fenced_at = now
        if now - self._fenced_at >= self._periods.fenced_restart_s:
            self._fenced_at = None
            self.switch = self._new_switch()
            spawn(self._start())

    async def _poll_log(self) -> None:
        try:
            self.switch.on_fold(await self._log.catch_up())
        except LogUnavailableError:
            pass
        self._polling_log = False

    async def _append_refresh(self) -> None:
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

    def _execute(self, actions: list[CoordinatorAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._link.send(action.rank, action.message)
                case AppendBeginRecord():
                    spawn(self._append_begin_record(action.attempt))
                case AppendCommitRecord():
                    spawn(self._append_commit(action.attempt))
        self._emit_reports()

    def _emit_reports(self) -> None:
        reports = self.switch.reports
        self.switch.reports = []
        for report in reports:
            self._events.on_switch(report)

    async def _append_begin_record(self, attempt: SwitchAttempt) -> None:
        record = SwitchBegun(self._group, self._log.new_nonce(), attempt)
        appended = await self._log.append(record)
        self.switch.on_fold(self._log.state)
        valid = (
            appended is AppendOutcome.SUCCEEDED
            and self._log.state.open_attempt == attempt
        )
        self._execute(self.switch.on_begun(valid, self._clock.seconds()))

    async def _append_commit(self, attempt: SwitchAttemptId) -> None:
        appended = await self._append_decision(attempt, True)
        if appended is AppendOutcome.FAILED:
            self._on_decided(False, "the log did not accept the decision")
            return
        while self._log.state.outcome_of(attempt) is None:
            # The commit record may still be appended. Only the first decision counts,
            # so appending an abort forces an outcome: whichever of the two comes first.
            await self._append_decision(attempt, False)
            if self._log.state.outcome_of(attempt) is None:
                await pause(self._clock, self._periods.log_retry_s)
        committed = self._log.state.outcome_of(attempt) is True
        self._on_decided(committed, "decided by the log")

    async def _append_decision(
        self, attempt: SwitchAttemptId, committed: bool
    ) -> AppendOutcome:
        nonce = self._log.new_nonce()
        record = SwitchDecided(self._group, nonce, attempt, committed)
        return await self._log.append(record)

    def _on_decided(self, committed: bool, reason: str) -> None:
        now = self._clock.seconds()
        self._execute(self.switch.on_decided(committed, reason, now))
        self.switch.on_fold(self._log.state)


__all__ = ["CoordinatorEvents", "CoordinatorPeriods", "MapCoordinator"]
