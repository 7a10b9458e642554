"""Switches the expert maps of one rank and, at rank 0, coordinates the group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..state.switch_participant import COORDINATOR_RANK
from ..state.switch_rules import Phase
from .map_coordinator import MapCoordinator
from .map_rank import MapRank

if TYPE_CHECKING:
    from ..state.group_records import GroupState
    from ..state.switch_participant import RankRules
    from ..state.switch_rules import SwitchReport, SwitchRules
    from ..state.switch_types import AnySwitchMessage
    from .group_link import GroupLink, MapEngine
    from .group_log import GroupLog
    from .map_coordinator import CoordinatorPeriods
    from .map_rank import RankPeriods
    from .tasks import Scheduler


class SwitchEvents(Protocol):
    """Receives the results of switch attempts."""

    def on_switch(self, report: SwitchReport) -> None:
        """Handle the report of a finished attempt."""


class GroupAgent:
    """Switches the expert maps of one rank and, at rank 0, coordinates the group.

    :param incarnation: number of this start of the agent; it grows with each start.
    """

    __slots__ = ("map_rank", "coordinator", "_events")

    def __init__(
        self,
        group: str,
        rank: int,
        ranks: int,
        instance_id: str,
        incarnation: int,
        log: GroupLog,
        link: GroupLink,
        engine: MapEngine,
        clock: Scheduler,
        events: SwitchEvents,
        switch_rules: SwitchRules,
        rank_rules: RankRules,
        coordinator_periods: CoordinatorPeriods,
        rank_periods: RankPeriods,
    ) -> None:
        self._events = events
        self.map_rank = MapRank(
            rank, ranks, incarnation, log, link, engine, clock, rank_rules, rank_periods
        )
        self.coordinator: MapCoordinator | None = None
        if rank == COORDINATOR_RANK:
            self.coordinator = MapCoordinator(
                group,
                ranks,
                instance_id,
                log,
                link,
                self,
                clock,
                switch_rules,
                coordinator_periods,
            )

    def start(self) -> None:
        """Join the group and, at rank 0, start the coordinator."""
        self.map_rank.start()
        if self.coordinator is not None:
            self.coordinator.start()

    def stop(self) -> None:
        """Stop the periodic work."""
        self.map_rank.stop()
        if self.coordinator is not None:
            self.coordinator.stop()

    def on_message(self, rank: int, message: AnySwitchMessage) -> None:
        """Handle a message from the agent of ``rank``."""
        self.map_rank.on_message(rank, message)
        if self.coordinator is None:
            return
        if self.map_rank.switch.superseding_incarnation is None:
            self.coordinator.on_message(rank, message)
        elif self.coordinator.switch.phase is not Phase.WAITING_FOR_EPOCH:
            self.coordinator.fence()

    def on_epoch(self, state: GroupState) -> None:
        """Apply the group state as of the start record of this agent's coordinator."""
        self.map_rank.on_own_epoch(state)

    def on_switch(self, report: SwitchReport) -> None:
        """Forward the report of a finished attempt."""
        self._events.on_switch(report)


__all__ = ["GroupAgent", "SwitchEvents"]
