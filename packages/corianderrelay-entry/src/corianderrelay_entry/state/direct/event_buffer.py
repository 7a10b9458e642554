"""Splits a stream of server-sent events into complete events.

A runner can fail in the middle of an event. Only complete events are forwarded, so
that another runner can resume the stream after the last one.
"""

from __future__ import annotations

import re
from itertools import pairwise

MAX_EVENT_BYTES = 262_144  # several times an event with log probabilities
_MAX_END_BYTES = 4  # of the separator, which can arrive in pieces
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBuffer:
    """Buffers the bytes after the last complete event.

    :param last_event_id: id of the event after which the stream starts; empty if it
        starts with the first event.
    """

    __slots__ = ("_pending", "last_event_id", "events")

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = bytearray()
        self.last_event_id = last_event_id
        self.events = 0

    @property
    def pending(self) -> bool:
        """Whether there are bytes of an incomplete event."""
        return bool(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of the incomplete event."""
        return len(self._pending)

    @property
    def too_long(self) -> bool:
        """Whether the incomplete event is longer than any event may be."""
        return len(self._pending) > MAX_EVENT_BYTES

    def add(self, data: bytes) -> bytes:
        """Add bytes of the stream and return the events that are now complete."""
        searched = max(len(self._pending) - _MAX_END_BYTES + 1, 0)
        self._pending += data
        ends = [match.end() for match in _EVENT_END.finditer(self._pending, searched)]
        if not ends:
            return b""
        for start, end in pairwise([0, *ends]):
            self._record_event(bytes(self._pending[start:end]))
        complete = bytes(self._pending[: ends[-1]])
        del self._pending[: ends[-1]]
        return complete

    def drop_partial(self) -> None:
        """Discard an incomplete event; the stream resumes after ``last_event_id``."""
        self._pending.clear()

    def _record_event(self, event: bytes) -> None:
        self.events += 1
        id_match = _EVENT_ID.search(event)
        if id_match is not None:
            self.last_event_id = id_match.group(1).decode("latin-1")


__all__ = ["MAX_EVENT_BYTES", "EventBuffer"]
