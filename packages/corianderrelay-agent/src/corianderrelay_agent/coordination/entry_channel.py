"""The interface through which attempts send messages to their entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError

    from ..state.attempt import AnswerChunk, Attempt


class EntryChannel(Protocol):
    """Sends messages about attempts to one connected entry."""

    def send_accepted(self, attempt: Attempt) -> None:
        """Report that the attempt is queued or running."""

    def send_refused(self, attempt_id: str, error: RelayError) -> None:
        """Report that the attempt has not run and will not run."""

    def send_chunk(self, attempt: Attempt, chunk: AnswerChunk) -> None:
        """Send a chunk of the answer."""

    def send_done(self, attempt: Attempt) -> None:
        """Report that the answer is complete."""

    def send_failed(self, attempt: Attempt, error: RelayError) -> None:
        """Report that the engine failed before the answer was complete."""


__all__ = ["EntryChannel"]
