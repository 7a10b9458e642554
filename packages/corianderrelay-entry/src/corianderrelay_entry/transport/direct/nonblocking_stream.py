"""A binary stream for logs that never blocks the process that writes."""

from __future__ import annotations

import os


class NonBlockingStream:
    """Writes whole lines to a descriptor; what does not fit is dropped and counted."""

    __slots__ = ("_descriptor", "dropped", "_unwritten")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped = 0

    def write(self, data: bytes) -> int:
        """Write a line, or drop it if the reader does not keep up."""
        line = self._unwritten + data
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            self.dropped += 1
            return len(data)
        # A line that was written in part goes on first, so that lines stay whole.
        self._unwritten = line[written:]
        return len(data)

    def flush(self) -> None:
        """Do nothing: each line is written at once."""


__all__ = ["NonBlockingStream"]
