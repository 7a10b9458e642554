"""Executes the map-switch actions of one rank."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..state.errors import FencedError, LogUnavailableError, UnavailableError
from ..state.switch_participant import COORDINATOR_RANK, RankRules, SwitchParticipant
from ..state.switch_types import ReadGroupLog, Send, SendEngineOrder
from .tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.group_records import GroupState
    from ..state.switch_types import AnySwitchMessage, EngineMapStatus, RankAction
    from .group_link import GroupLink, MapEngine
    from .group_log import GroupLog
    from .tasks import Scheduler


@dataclass(slots=True, frozen=True)
class RankPeriods:
    """Intervals of a rank's agent, in seconds.

    :param poll_s: interval at which the engine's status is polled.
    :param superseded_restart_s: delay after which a superseded agent joins again, in
        case the agent that superseded it has died.
    """

    poll_s: float = 0.05
    superseded_restart_s: float = 30.0


class MapRank:
    """Keeps the engine of one rank on the expert map of its group.

    :param incarnation: number of this start of the agent; it grows with each start.
    """

    __slots__ = (
        "switch",
        "_log",
        "_link",
        "_engine",
        "_clock",
        "_periods",
        "_reading_log",
        "_polling",
        "_stopped",
        "_new_switch",
        "_superseded_at",
    )

    def __init__(
        self,
        rank: int,
        ranks: int,
        incarnation: int,
        log: GroupLog,
        link: GroupLink,
        engine: MapEngine,
        clock: Scheduler,
        rules: RankRules,
        periods: RankPeriods,
    ) -> None:
        self._new_switch: Callable[[int], SwitchParticipant] = (
            lambda number: SwitchParticipant(rank, ranks, number, rules)
        )
        self.switch = self._new_switch(incarnation)
        self._superseded_at: float | None = None
        self._log = log
        self._link = link
        self._engine = engine
        self._clock = clock
        self._periods = periods
        self._reading_log = False
        self._polling = False
        self._stopped = False

    def start(self) -> None:
        """Read the engine's status, then join the group."""
        spawn(self._start())

    def stop(self) -> None:
        """Stop the periodic work."""
        self._stopped = True

    def on_own_epoch(self, state: GroupState) -> None:
        """Apply the group state as of the start record of this agent's coordinator."""
        self._superseded_at = None
        self._execute(self.switch.on_coordinator_started(state))

    def on_message(self, rank: int, message: AnySwitchMessage) -> None:
        """Handle a message from the agent of ``rank``."""
        self._execute(self.switch.on_message(rank, message))

    async def _start(self) -> None:
        await self._join()
        self._tick()

    async def _join(self) -> None:
        status = await self._read_status()
        self._execute(self.switch.start(status, self._clock.seconds()))

    def _restart_if_due(self, newest_incarnation: int, now: float) -> None:
        if self._superseded_at is None:
            self._superseded_at = now
        if now - self._superseded_at >= self._periods.superseded_restart_s:
            self._superseded_at = None
            self.switch = self._new_switch(newest_incarnation + 1)
            spawn(self._join())

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._clock.seconds()
        self._execute(self.switch.tick(now))
        newest_incarnation = self.switch.superseding_incarnation
        if newest_incarnation is not None and self.switch.rank != COORDINATOR_RANK:
            self._restart_if_due(newest_incarnation, now)
        if not self._polling:
            self._polling = True
            spawn(self._poll_engine())
        self._clock.callLater(self._periods.poll_s, self._tick)

    async def _poll_engine(self) -> None:
        status = await self._read_status()
        self._polling = False
        self._execute(self.switch.on_status(status, polled=True))

    async def _read_status(self) -> EngineMapStatus | None:
        try:
            return await self._engine.map_status()
        except UnavailableError:
            return None

    def _execute(self, actions: list[RankAction]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._link.send(action.rank, action.message)
                case SendEngineOrder():
                    spawn(self._order_engine(action))
                case ReadGroupLog():
                    self._start_log_read()

    async def _order_engine(self, order: SendEngineOrder) -> None:
        status: EngineMapStatus | None = None
        try:
            status = await self._engine.order_map(order.order, order.fence)
        except FencedError:
            self._start_log_read()
            status = await self._read_status()
        except UnavailableError:
            status = await self._read_status()
        self._execute(self.switch.on_status(status))

    def _start_log_read(self) -> None:
        if not self._reading_log:
            self._reading_log = True
            spawn(self._catch_up())

    async def _catch_up(self) -> None:
        try:
            state = await self._log.catch_up()
        except LogUnavailableError:
            self._reading_log = False
            return
        self._reading_log = False
        self._execute(self.switch.on_fold(state))


__all__ = ["MapRank", "RankPeriods"]
