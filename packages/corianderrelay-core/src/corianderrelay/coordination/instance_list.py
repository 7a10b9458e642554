"""What coordination needs of the platform's lagging list of instances.

The list seeds membership only: heartbeats decide who is there. An adapter in the
transport layer implements it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


class InstanceRole(Enum):
    """Which of our processes an instance runs."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(Enum):
    """What the platform last knew of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance as the list shows it."""

    instance_id: str
    role: InstanceRole
    zone: str
    host: str
    port: int
    state: InstanceState


class InstanceList(Protocol):
    """Reads the platform's list of instances."""

    def read(self) -> Deferred[dict[str, Instance]]:
        """Return the listed instances by id.

        :raises UnavailableError: no list came; the last one read still serves.
        """


__all__ = ["Instance", "InstanceList", "InstanceRole", "InstanceState"]
