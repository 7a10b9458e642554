"""Where a caller's answer goes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError


class AnswerSink(Protocol):
    """Receives one answer: a start, data, and then either an end or a failure."""

    def start(self, status: int, content_type: str) -> None:
        """The answer begins with this HTTP status."""

    def write(self, data: bytes) -> None:
        """A piece of the answer."""

    def finish(self) -> None:
        """The answer is whole."""

    def fail(self, error: RelayError) -> None:
        """There will be no whole answer."""


__all__ = ["AnswerSink"]
