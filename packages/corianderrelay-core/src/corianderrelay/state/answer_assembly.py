"""Assembles a caller's answer from the chunks of successive attempts.

Bytes without a token are buffered until the next token or the end of the answer. A
retry resumes after the last released token, so the caller receives no byte twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import xxhash

MAX_BUFFERED_BYTES = 1024 * 1024


class ChunkPosition(Enum):
    """Position of a chunk relative to the chunks received so far."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


class EndCheck(Enum):
    """Result of comparing an end frame with the chunks received so far."""

    COMPLETE = "whole"
    MISSING = "missing"
    CORRUPT = "damaged"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """HTTP status and content type of an answer."""

    status: int
    content_type: str


class AnswerAssembly:
    """The answer of one request, assembled over all its attempts.

    :param max_buffered_bytes: limit of the buffer while no token arrives. When it is
        exceeded, the buffer is released and the request can no longer be retried.
    :ivar next_sequence: sequence number of the next chunk of the current attempt.
    :ivar tokens: number of answer tokens released to the caller.
    :ivar head: head of the answer; ``None`` before the first chunk.
    :ivar released: whether the buffer has been released at least once.
    :ivar resumable: whether a new attempt can continue the answer.
    """

    __slots__ = (
        "_max_buffered_bytes",
        "_buffered_chunks",
        "_buffered_bytes",
        "_digest",
        "next_sequence",
        "tokens",
        "head",
        "released",
        "resumable",
    )

    def __init__(self, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_buffered_bytes = max_buffered_bytes
        self.tokens = 0
        self.head: AnswerHead | None = None
        self.released = False
        self.resumable = True
        self.begin_attempt()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that wait for the next token."""
        return self._buffered_bytes

    def begin_attempt(self) -> None:
        """Discard the previous attempt's buffer and expect chunk 0 of a new attempt."""
        self._buffered_chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._digest = xxhash.xxh3_64()
        self.next_sequence = 0
        if not self.released:
            self.head = None

    def position_of(self, sequence: int) -> ChunkPosition:
        """Return the position of a chunk relative to the next expected one."""
        if sequence == self.next_sequence:
            return ChunkPosition.NEXT
        return (
            ChunkPosition.REPEATED
            if sequence < self.next_sequence
            else ChunkPosition.GAP
        )

    def add(self, data: bytes, tokens: int, head: AnswerHead) -> bytes:
        """Add the next chunk and return the bytes to send to the caller now."""
        if self.head is None:
            self.head = head
        self.next_sequence += 1
        self._digest.update(data)
        self._buffered_chunks.append(data)
        self._buffered_bytes += len(data)
        self.tokens += tokens
        if tokens == 0 and self._buffered_bytes > self._max_buffered_bytes:
            self.resumable = False
        return b"" if tokens == 0 and self.resumable else self.release()

    def check_end(self, chunks: int, digest: int) -> EndCheck:
        """Compare the end frame's chunk count and digest with the chunks received.

        :param chunks: number of chunks that the runner sent.
        :param digest: XXH3 64-bit digest of the data of all chunks.
        """
        if chunks > self.next_sequence:
            return EndCheck.MISSING
        is_complete = (
            chunks == self.next_sequence and digest == self._digest.intdigest()
        )
        return EndCheck.COMPLETE if is_complete else EndCheck.CORRUPT

    def release(self) -> bytes:
        """Empty the buffer and return its bytes, to be sent to the caller."""
        data = b"".join(self._buffered_chunks)
        self._buffered_chunks.clear()
        self._buffered_bytes = 0
        self.released = True
        return data


__all__ = [
    "AnswerAssembly",
    "AnswerHead",
    "ChunkPosition",
    "EndCheck",
    "MAX_BUFFERED_BYTES",
]
