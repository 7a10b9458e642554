"""Takes the engine's answer and cuts a stream of events at event boundaries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..state.server_sent_events import (
    EventSplitter,
    count_tokens,
    split_after_last_token,
    strip_done_event,
)

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError

    from ..state.attempt import Attempt

_EVENT_STREAM = "text/event-stream"


class AttemptListener(Protocol):
    """Who is told how an attempt fares on the engine."""

    def on_head(self, attempt: Attempt, status: int, content_type: str) -> None:
        """The engine has begun to answer."""

    def on_data(self, attempt: Attempt, data: bytes, tokens: int) -> None:
        """The engine has answered some more."""

    def on_done(self, attempt: Attempt) -> None:
        """The engine's answer is whole."""

    def on_failure(self, attempt: Attempt, error: RelayError) -> None:
        """The engine gave no whole answer."""


class AttemptAnswerSink:
    """The answer to one attempt; implements the engine's ``AnswerSink``."""

    __slots__ = ("_listener", "_attempt", "_splitter")

    def __init__(self, listener: AttemptListener, attempt: Attempt) -> None:
        self._listener = listener
        self._attempt = attempt
        self._splitter: EventSplitter | None = None

    def on_head(self, status: int, content_type: str) -> None:
        """Take the status and the content type."""
        if content_type.startswith(_EVENT_STREAM):
            self._splitter = EventSplitter()
        self._listener.on_head(self._attempt, status, content_type)

    def on_data(self, data: bytes) -> None:
        """Pass on the whole events that the data completes, with their tokens."""
        if self._splitter is None:
            self._listener.on_data(self._attempt, data, 0)
            return
        events = strip_done_event(self._splitter.feed(data))
        for part in split_after_last_token(events):
            if part:
                self._listener.on_data(self._attempt, part, count_tokens(part))

    def on_end(self) -> None:
        """Note that the answer is whole."""
        self._listener.on_done(self._attempt)

    def on_failure(self, error: RelayError) -> None:
        """Note that there will be no whole answer."""
        self._listener.on_failure(self._attempt, error)


__all__ = ["AttemptListener", "AttemptAnswerSink"]
