"""Receives the engine's answer and splits event streams at event boundaries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..state.answer_limits import MAX_EVENT_BYTES
from ..state.server_sent_events import (
    EventSplitter,
    count_tokens,
    split_after_last_token,
    strip_done_event,
)

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError

    from ..state.attempt import Attempt
    from ..state.engine_pace import EngineStatement

_EVENT_STREAM = "text/event-stream"


class AttemptListener(Protocol):
    """Receives the progress of attempts on the engine."""

    def on_statement(self, attempt: Attempt, statement: EngineStatement) -> None:
        """Called with what the engine states of itself, before ``on_head``."""

    def on_head(self, attempt: Attempt, status: int, content_type: str) -> None:
        """Called with the HTTP status and content type of the answer."""

    def on_data(self, attempt: Attempt, data: bytes, tokens: int) -> None:
        """Called with the next part of the answer and its number of tokens."""

    def on_too_long(self, attempt: Attempt, reason: str) -> None:
        """Called if the answer exceeds a limit; it must not go on."""

    def on_done(self, attempt: Attempt) -> None:
        """Called once the answer is complete."""

    def on_failure(self, attempt: Attempt, error: RelayError) -> None:
        """Called if the engine failed before the answer was complete."""


class AttemptAnswerSink:
    """Implements ``AnswerSink`` for one attempt.

    An event stream is passed on in chunks of complete events, so that the answer can
    be resumed after any chunk with tokens.
    """

    __slots__ = ("_listener", "_attempt", "_splitter")

    def __init__(self, listener: AttemptListener, attempt: Attempt) -> None:
        self._listener = listener
        self._attempt = attempt
        self._splitter: EventSplitter | None = None

    def on_statement(self, statement: EngineStatement) -> None:
        """Pass on what the engine states of itself."""
        self._listener.on_statement(self._attempt, statement)

    def on_head(self, status: int, content_type: str) -> None:
        """Pass on the status; split the body if it is an event stream."""
        if content_type.startswith(_EVENT_STREAM):
            self._splitter = EventSplitter()
        self._listener.on_head(self._attempt, status, content_type)

    def on_data(self, data: bytes) -> None:
        """Pass on the events that the data completes, with their token counts."""
        if self._splitter is None:
            self._listener.on_data(self._attempt, data, 0)
            return
        events = strip_done_event(self._splitter.feed(data))
        for part in split_after_last_token(events):
            if part:
                self._listener.on_data(self._attempt, part, count_tokens(part))
        if self._splitter.partial_bytes > MAX_EVENT_BYTES:
            reason = f"an event of its answer has over {MAX_EVENT_BYTES} bytes"
            self._listener.on_too_long(self._attempt, reason)

    def on_end(self) -> None:
        """Pass on that the answer is complete."""
        self._listener.on_done(self._attempt)

    def on_failure(self, error: RelayError) -> None:
        """Pass on that the engine failed before the answer was complete."""
        self._listener.on_failure(self._attempt, error)


__all__ = ["AttemptListener", "AttemptAnswerSink"]
