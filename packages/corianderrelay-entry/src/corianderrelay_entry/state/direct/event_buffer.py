"""Splits a stream of server-sent events into whole events.

A runner may stop in the middle of an event; only whole events are passed on, so that
another runner can go on after the last one.
"""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBuffer:
    """Holds back the bytes after the last whole event.

    :param last_id: the id after which the stream begins; empty at its beginning.
    """

    __slots__ = ("_pending", "last_id", "events")

    def __init__(self, last_id: str = "") -> None:
        self._pending = b""
        self.last_id = last_id
        self.events = 0

    @property
    def pending(self) -> bytes:
        """The bytes of an event that is not whole yet."""
        return self._pending

    def add(self, data: bytes) -> bytes:
        """Take bytes of the stream and return the whole events that they end."""
        self._pending += data
        end = 0
        for match in _EVENT_END.finditer(self._pending):
            self._record_event(self._pending[end : match.end()])
            end = match.end()
        complete, self._pending = self._pending[:end], self._pending[end:]
        return complete

    def drop_partial(self) -> None:
        """Drop a torn event; the stream goes on with the event after ``last_id``."""
        self._pending = b""

    def _record_event(self, event: bytes) -> None:
        self.events += 1
        id_match = _EVENT_ID.search(event)
        if id_match is not None:
            self.last_id = id_match.group(1).decode("latin-1")


__all__ = ["EventBuffer"]
