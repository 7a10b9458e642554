"""Puts a caller's answer together from the chunks of successive attempts.

Bytes are released only with the token that follows them, or with the end of the
answer: an attempt that resumes at a token then repeats none of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import xxhash

MAX_BUFFERED_BYTES = 1024 * 1024


class ChunkPosition(Enum):
    """How a chunk fits behind those that have arrived."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


class EndCheck(Enum):
    """How an end frame agrees with the chunks that have arrived."""

    COMPLETE = "whole"
    MISSING = "missing"
    CORRUPT = "damaged"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """HTTP status and content type of an answer."""

    status: int
    content_type: str


class AnswerAssembly:
    """The answer of one request, over all its attempts.

    :param max_held_bytes: bytes kept back for an answer without tokens; beyond it they
        are released and the answer can no longer be started over.
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

    def begin_attempt(self) -> None:
        """Drop what was held of the last attempt and expect a new one's chunk 0."""
        self._buffered_chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._digest = xxhash.xxh3_64()
        self.next_sequence = 0
        if not self.released:
            self.head = None

    def position_of(self, sequence: int) -> ChunkPosition:
        """Return how a chunk fits."""
        if sequence == self.next_sequence:
            return ChunkPosition.NEXT
        return (
            ChunkPosition.REPEATED
            if sequence < self.next_sequence
            else ChunkPosition.GAP
        )

    def add(self, data: bytes, tokens: int, head: AnswerHead) -> bytes:
        """Add the next chunk; return the bytes that may go to the caller now."""
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
        """Return whether all chunks of the attempt have arrived unchanged."""
        if chunks > self.next_sequence:
            return EndCheck.MISSING
        is_complete = (
            chunks == self.next_sequence and digest == self._digest.intdigest()
        )
        return EndCheck.COMPLETE if is_complete else EndCheck.CORRUPT

    def release(self) -> bytes:
        """Return the bytes that were held back."""
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
