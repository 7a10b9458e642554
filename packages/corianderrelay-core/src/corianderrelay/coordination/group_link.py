"""Interfaces that map switches use to reach the other agents and the engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ..state.switch_types import AnySwitchMessage, EngineMapStatus, MapOrder


class GroupLink(Protocol):
    """Sends messages to the agents of the group; any may be lost or duplicated."""

    def send(self, rank: int, message: AnySwitchMessage) -> None:
        """Send a message to the agent of ``rank``, which may be this agent."""


class MapEngine(Protocol):
    """The expert-map interface of one rank's engine.

    The engine keeps a set of holds, each before one step: an order never releases
    or replaces the hold before another step.
    """

    def map_status(self) -> Deferred[EngineMapStatus]:
        """Return the engine's map status.

        :raises UnavailableError: the engine returned no status.
        """

    def order_map(self, order: MapOrder, fence: int) -> Deferred[EngineMapStatus]:
        """Execute an order and return the resulting status.

        :raises FencedError: the engine has already accepted a higher fencing number.
        :raises UnavailableError: outcome unknown; the order may have taken effect.
        """


__all__ = ["GroupLink", "MapEngine"]
