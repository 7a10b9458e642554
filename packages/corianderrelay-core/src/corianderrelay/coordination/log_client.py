"""What coordination needs of the platform's append-only log service.

An adapter in the transport layer implements it; another platform needs another
adapter and nothing else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


class LogEntry:
    """One appended payload and the offset at which the service keeps it."""

    __slots__ = ("offset", "payload")

    def __init__(self, offset: int, payload: bytes) -> None:
        self.offset = offset
        self.payload = payload


class LogPage:
    """A run of entries of one stream.

    :param first_offset: oldest offset that the service still keeps.
    :param next_offset: where the next read should start.
    :param entries: the entries in order of offset.
    """

    __slots__ = ("first_offset", "next_offset", "entries")

    def __init__(
        self, first_offset: int, next_offset: int, entries: tuple[LogEntry, ...]
    ) -> None:
        self.first_offset = first_offset
        self.next_offset = next_offset
        self.entries = entries


class LogClient(Protocol):
    """Appends to and reads from the log service.

    Both calls fail with :class:`LogUnavailableError` when nothing was changed, and
    ``append`` fails with :class:`LogAnswerLostError` when it may have taken effect.
    """

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append one payload and return its offset."""

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read from ``offset`` on; wait up to ``wait_s`` seconds for an entry."""


__all__ = ["LogClient", "LogEntry", "LogPage"]
