"""What a group's switches need of the streams between its agents and of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ..state.switch_types import AnySwitchMessage, EngineMapStatus, MapOrder


class GroupLink(Protocol):
    """Carries messages to the agents of the group; any may be lost or doubled."""

    def send(self, rank: int, message: AnySwitchMessage) -> None:
        """Send a message to the agent of ``rank``, which may be this one."""


class MapEngine(Protocol):
    """The engine of one rank, as far as expert maps go.

    Its holds are a set: no order lifts or replaces the hold before another step.
    """

    def map_status(self) -> Deferred[EngineMapStatus]:
        """Return the engine's status.

        :raises UnavailableError: the engine gave none.
        """

    def order_map(self, order: MapOrder, fence: int) -> Deferred[EngineMapStatus]:
        """Give an order and return the status after it.

        :raises FencedError: the engine obeyed a higher fencing number before.
        :raises UnavailableError: whether the order had an effect is not known.
        """


__all__ = ["GroupLink", "MapEngine"]
