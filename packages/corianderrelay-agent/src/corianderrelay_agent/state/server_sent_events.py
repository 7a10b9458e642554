"""Cuts a stream of server-sent events at event boundaries and counts its tokens."""

from __future__ import annotations

_EVENT_END = b"\n\n"
_TOKEN_FIELD = b'"content":'
_DONE_EVENT = b"data: [DONE]\n\n"


class EventSplitter:
    """Holds back the bytes of an unfinished event.

    A chunk of whole events can be resumed at a token, a chunk of half an event not.
    """

    __slots__ = ("_partial_event",)

    def __init__(self) -> None:
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes."""
        data = self._partial_event + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._partial_event = data
            return b""
        end += len(_EVENT_END)
        self._partial_event = data[end:]
        return data[:end]

    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._partial_event


def count_tokens(events: bytes) -> int:
    """Return the number of events that carry a token."""
    return events.count(_TOKEN_FIELD)


def split_after_last_token(events: bytes) -> tuple[bytes, bytes]:
    """Return the events up to the last one with a token, and those after it.

    An answer is resumed at a token, so that no chunk may go beyond its last token.
    """
    mark = events.rfind(_TOKEN_FIELD)
    if mark < 0:
        return b"", events
    end = events.index(_EVENT_END, mark) + len(_EVENT_END)
    return events[:end], events[end:]


def strip_done_event(events: bytes) -> bytes:
    """Return the events less the final one: the entry sends that when all is whole."""
    return events.removesuffix(_DONE_EVENT)


__all__ = [
    "EventSplitter",
    "count_tokens",
    "split_after_last_token",
    "strip_done_event",
]
