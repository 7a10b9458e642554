"""Interface to the platform's list of instances, which lags behind the real state.

The list only names candidates: heartbeats decide which instances are live. An adapter
in the transport layer implements it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


class InstanceRole(Enum):
    """Kind of corianderrelay process that an instance runs."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(Enum):
    """State of an instance as last reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Instance:
    """One entry of the instance list."""

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

        :raises UnavailableError: the list could not be read; keep using the last one.
        """


__all__ = ["Instance", "InstanceList", "InstanceRole", "InstanceState"]
