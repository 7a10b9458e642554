"""Splits a stream of server-sent events into complete events.

A runner can fail in the middle of an event. Only complete events are forwarded, so
that another runner can resume the stream after the last one.
"""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBuffer:
    """Buffers the bytes after the last complete event.

    :param last_event_id: id of the event after which the stream starts; empty if it
        starts with the first event.
    """

    __slots__ = ("_pending", "last_event_id", "events")

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = b""
        self.last_event_id = last_event_id
        self.events = 0

    @property
    def pending(self) -> bytes:
        """Bytes of the incomplete event."""
        return self._pending

    def add(self, data: bytes) -> bytes:
        """Add bytes of the stream and return the events that are now complete."""
        self._pending += data
        end = 0
        for match in _EVENT_END.finditer(self._pending):
            self._record_event(self._pending[end : match.end()])
            end = match.end()
        complete, self._pending = self._pending[:end], self._pending[end:]
        return complete

    def drop_partial(self) -> None:
        """Discard an incomplete event; the stream resumes after ``last_event_id``."""
        self._pending = b""

    def _record_event(self, event: bytes) -> None:
        self.events += 1
        id_match = _EVENT_ID.search(event)
        if id_match is not None:
            self.last_event_id = id_match.group(1).decode("latin-1")


__all__ = ["EventBuffer"]
