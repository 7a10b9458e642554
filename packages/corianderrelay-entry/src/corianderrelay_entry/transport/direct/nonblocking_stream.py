"""A binary log stream that never blocks the writing process."""

from __future__ import annotations

import os


class NonBlockingStream:
    """Writes lines to a file descriptor; drops and counts lines while it is full."""

    __slots__ = ("_descriptor", "dropped", "_unwritten")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped = 0

    def write(self, data: bytes) -> int:
        """Write a line; drop it if the descriptor would block."""
        line = self._unwritten + data
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            self.dropped += 1
            return len(data)
        # The rest of a partial write precedes the next line, so that lines stay whole.
        self._unwritten = line[written:]
        return len(data)

    def flush(self) -> None:
        """Do nothing: a line is written or dropped at once."""


__all__ = ["NonBlockingStream"]
