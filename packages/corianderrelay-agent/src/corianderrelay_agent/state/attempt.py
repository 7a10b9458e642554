"""State of one attempt and the unacknowledged chunks of its answer."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError


class AttemptPhase(Enum):
    """Progress of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class AttemptOrder:
    """An entry's request to run an attempt; see the ``Dispatch`` message.

    :param deadline_s: monotonic time of this process, in seconds.
    :param resume_from: number of answer tokens that the caller already has.
    """

    attempt_id: str
    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    deadline_s: float
    priority: int = 0
    estimated_tokens: int = 0
    resume_from: int = 0
    key: str = ""
    claim_offset: int = -1
    ticket_incarnation: int = 0
    ticket_remaining_s: float = 0.0
    ticket_id: int = 0
    alone: bool = False
    trace: bytes = b""


@dataclass(slots=True, frozen=True)
class AnswerChunk:
    """A numbered part of an answer; only the first has a status and content type."""

    sequence: int
    data: bytes
    tokens: int
    status: int
    content_type: str


class Attempt:
    """An attempt and the answer chunks that its entry has not acknowledged.

    :param order: the entry's request.
    :param entry_id: instance id of the entry that sent the request.
    :ivar paused: whether the answer is not read, as the entry lags behind.
    :ivar tokenless_bytes: bytes of the answer since its last token.
    """

    __slots__ = (
        "order",
        "entry_id",
        "phase",
        "status",
        "content_type",
        "next_sequence",
        "tokens",
        "unacknowledged",
        "unacknowledged_bytes",
        "tokenless_bytes",
        "paused",
        "started_at_s",
        "ended_at_s",
        "failure",
        "_digest",
    )

    def __init__(self, order: AttemptOrder, entry_id: str) -> None:
        self.order = order
        self.entry_id = entry_id
        self.phase = AttemptPhase.QUEUED
        self.status = 0
        self.content_type = ""
        self.next_sequence = 0
        self.tokens = 0
        self.unacknowledged: deque[AnswerChunk] = deque()
        self.unacknowledged_bytes = 0
        self.tokenless_bytes = 0
        self.paused = False
        self.started_at_s = 0.0
        self.ended_at_s: float | None = None
        self.failure: RelayError | None = None
        self._digest = xxhash.xxh3_64()

    @property
    def digest(self) -> int:
        """The xxh3-64 hash of all chunk data so far."""
        return self._digest.intdigest()

    def add_chunk(self, data: bytes, tokens: int) -> AnswerChunk:
        """Number the next part of the answer and keep it until it is acknowledged."""
        first = self.next_sequence == 0
        chunk = AnswerChunk(
            self.next_sequence,
            data,
            tokens,
            self.status if first else 0,
            self.content_type if first else "",
        )
        self.next_sequence += 1
        self.tokens += tokens
        self._digest.update(data)
        self.unacknowledged.append(chunk)
        self.unacknowledged_bytes += len(data)
        self.tokenless_bytes = 0 if tokens else self.tokenless_bytes + len(data)
        return chunk

    def acknowledge(self, sequence: int) -> None:
        """Remove the chunks up to and including ``sequence``."""
        while self.unacknowledged and self.unacknowledged[0].sequence <= sequence:
            self.unacknowledged_bytes -= len(self.unacknowledged.popleft().data)

    def chunks_after(self, sequence: int) -> list[AnswerChunk]:
        """Return the unacknowledged chunks after ``sequence``, in order."""
        return [chunk for chunk in self.unacknowledged if chunk.sequence > sequence]


__all__ = ["AnswerChunk", "Attempt", "AttemptOrder", "AttemptPhase"]
