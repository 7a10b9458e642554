"""Interface to the platform's append-only log service.

An adapter in the transport layer implements it; supporting another platform needs only
another adapter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


class LogEntry:
    """One appended payload and its offset in the stream."""

    __slots__ = ("offset", "payload")

    def __init__(self, offset: int, payload: bytes) -> None:
        self.offset = offset
        self.payload = payload


class LogPage:
    """Consecutive entries of one stream.

    :param first_offset: oldest offset that the service still retains.
    :param next_offset: offset at which the next read should start.
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

    Both calls fail with :class:`LogUnavailableError` if they had no effect. ``append``
    fails with :class:`LogAnswerLostError` if it may have taken effect.
    """

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append one payload and return its offset."""

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read from ``offset``; wait up to ``wait_s`` seconds for a first entry."""


__all__ = ["LogClient", "LogEntry", "LogPage"]
