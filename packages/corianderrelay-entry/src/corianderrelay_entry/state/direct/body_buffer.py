"""Collects a body in pieces of similar size.

Many long buffers that grow by reallocation, side by side, fragment the heap. Small
pieces are merged, as each object takes more memory than a few bytes.
"""

from __future__ import annotations

_PIECE_BYTES = 65_536


class BodyBuffer:
    """The bytes of a body so far."""

    __slots__ = ("_pieces", "_length")

    def __init__(self) -> None:
        self._pieces: list[bytearray] = []
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, data: bytes) -> None:
        """Append bytes."""
        self._length += len(data)
        if self._pieces and len(self._pieces[-1]) + len(data) <= _PIECE_BYTES:
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))

    def whole(self) -> bytes:
        """Return all bytes."""
        return b"".join(self._pieces)


__all__ = ["BodyBuffer"]
