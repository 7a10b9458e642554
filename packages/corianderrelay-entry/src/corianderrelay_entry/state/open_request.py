"""A request that has no final answer yet."""

from __future__ import annotations

import dataclasses
from enum import Enum
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from corianderrelay.state.call import Call


class RequestPhase(Enum):
    """Progress of a request."""

    WAITING = "waiting"
    STREAMING = "streaming"
    DONE = "done"
    FAILED = "failed"
    ABANDONED = "abandoned"


class OpenRequest:
    """A call, its current attempt, and the progress of its answer.

    :param started_s: monotonic time in seconds at which the request was received.
    """

    __slots__ = (
        "call",
        "started_s",
        "phase",
        "attempt_id",
        "runner_id",
        "next_sequence",
        "tokens",
        "_digest",
    )

    def __init__(self, call: Call, started_s: float) -> None:
        self.call = call
        self.started_s = started_s
        self.phase = RequestPhase.WAITING
        self.attempt_id = ""
        self.runner_id = ""
        self.next_sequence = 0
        self.tokens = 0
        self._digest = xxhash.xxh3_64()

    def begin_attempt(self, attempt_id: str, runner_id: str) -> None:
        """Set the current attempt and reset its chunk count and digest."""
        self.attempt_id = attempt_id
        self.runner_id = runner_id
        self.next_sequence = 0
        self._digest = xxhash.xxh3_64()

    def end(self, phase: RequestPhase) -> None:
        """Set the final phase and drop the body: the register keeps ended requests."""
        self.phase = phase
        self.call = dataclasses.replace(self.call, body=b"", prompt_prefix=b"")

    def add_chunk(self, data: bytes, tokens: int) -> None:
        """Add the next chunk of the current attempt to its count and digest."""
        self.next_sequence += 1
        self.tokens += tokens
        self._digest.update(data)

    def is_complete(self, chunks: int, digest: int) -> bool:
        """Return whether all chunks of the attempt were received unchanged."""
        return chunks == self.next_sequence and digest == self._digest.intdigest()


__all__ = ["OpenRequest", "RequestPhase"]
