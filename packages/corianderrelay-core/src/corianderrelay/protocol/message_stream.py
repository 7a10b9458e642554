"""Interface of the stream over which a session sends its messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .messages import AnyMessage


class MessageStream(Protocol):
    """A stream of messages to one peer."""

    def send(self, message: AnyMessage) -> None:
        """Send a message to the peer."""

    def close(self, reason: str) -> None:
        """Abort the connection."""


__all__ = ["MessageStream"]
