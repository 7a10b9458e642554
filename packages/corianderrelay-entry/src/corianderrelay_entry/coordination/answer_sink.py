"""Interface that sends an answer to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError


class AnswerSink(Protocol):
    """Receives one answer: ``start``, ``write`` calls, then ``finish`` or ``fail``."""

    def start(self, status: int, content_type: str) -> None:
        """Begin the answer with this HTTP status."""

    def write(self, data: bytes) -> None:
        """Write a part of the answer's body."""

    def finish(self) -> None:
        """End the answer, which is complete."""

    def fail(self, error: RelayError) -> None:
        """End the answer with an error, possibly after a part of the body."""


__all__ = ["AnswerSink"]
