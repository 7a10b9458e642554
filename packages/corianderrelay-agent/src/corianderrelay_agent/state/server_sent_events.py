"""Splits a stream of server-sent events at event boundaries and counts its tokens."""

from __future__ import annotations

_EVENT_END = b"\n\n"
_TOKEN_FIELD = b'"content":'
_DONE_EVENT = b"data: [DONE]\n\n"


class EventSplitter:
    """Buffers the bytes of an incomplete event.

    An answer can be resumed after a chunk of complete events, but not within an event.
    """

    __slots__ = ("_partial_event",)

    def __init__(self) -> None:
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Return the buffered bytes and ``data`` up to the end of the last event."""
        data = self._partial_event + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._partial_event = data
            return b""
        end += len(_EVENT_END)
        self._partial_event = data[end:]
        return data[:end]

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of the incomplete event."""
        return len(self._partial_event)

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial_event


def count_tokens(events: bytes) -> int:
    """Return the number of events that carry a token."""
    return events.count(_TOKEN_FIELD)


def split_after_last_token(events: bytes) -> tuple[bytes, bytes]:
    """Return the events up to the last one that carries a token, and the rest.

    An answer is resumed after a number of tokens, so a chunk with tokens must end with
    an event that carries one.
    """
    last_token_at = events.rfind(_TOKEN_FIELD)
    if last_token_at < 0:
        return b"", events
    end = events.index(_EVENT_END, last_token_at) + len(_EVENT_END)
    return events[:end], events[end:]


def strip_done_event(events: bytes) -> bytes:
    """Remove the final ``[DONE]`` event, which the entry sends itself at the end."""
    return events.removesuffix(_DONE_EVENT)


__all__ = [
    "EventSplitter",
    "count_tokens",
    "split_after_last_token",
    "strip_done_event",
]
