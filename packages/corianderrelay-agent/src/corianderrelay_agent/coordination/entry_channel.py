"""What the attempts need of the entry that asked for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError

    from ..state.attempt import AnswerChunk, Attempt


class EntryChannel(Protocol):
    """One entry with an open stream."""

    def send_accepted(self, attempt: Attempt) -> None:
        """The attempt is queued or running."""

    def send_refused(self, attempt_id: str, error: RelayError) -> None:
        """The attempt was not and will not be run."""

    def send_chunk(self, attempt: Attempt, chunk: AnswerChunk) -> None:
        """A piece of the answer."""

    def send_done(self, attempt: Attempt) -> None:
        """The answer is whole."""

    def send_failed(self, attempt: Attempt, error: RelayError) -> None:
        """The attempt was started and there is no whole answer."""


__all__ = ["EntryChannel"]
