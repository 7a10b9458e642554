"""One account of the bytes that an entry holds for open requests.

Answers that are not streamed are held until they are complete, uploads until their
request ends, and answers that a caller has not read until it reads them. Each is
limited by itself; this account limits their sum.

A size that is known in advance is reserved before any byte is held, so what has been
admitted can always be completed. What grows without a known size can be cut: the
largest first, as it is the likeliest to have no end. So can an answer that its caller
does not read.
"""

from __future__ import annotations

from typing import Generic, TypeVar

_MAX_HELD_BYTES = 20_971_520
_MAX_MEMORY_SHARE = 0.125  # copies on the way to a socket can double what is held
_MAX_UPLOADS_SHARE = 0.8  # the rest remains for answers
_BYTES_PER_MB = 1_000_000

Holder = TypeVar("Holder")


def held_bytes_limit(memory_mb: float) -> int:
    """Return how many bytes a process may hold for open requests.

    :param memory_mb: memory limit of the process in MB.
    """
    return min(_MAX_HELD_BYTES, int(_MAX_MEMORY_SHARE * memory_mb * _BYTES_PER_MB))


class HeldBytes(Generic[Holder]):
    """Sizes by holder, and their sum.

    :ivar held_bytes: the sum of all sizes.
    """

    __slots__ = (
        "limit_bytes",
        "held_bytes",
        "_upload_bytes",
        "_size_by_growing",
        "_size_by_fixed",
        "_size_by_upload",
    )

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._upload_bytes = 0
        self._size_by_growing: dict[Holder, int] = {}
        self._size_by_fixed: dict[Holder, int] = {}
        self._size_by_upload: dict[Holder, int] = {}

    def set_growing(self, holder: Holder, size: int) -> None:
        """Set the size of something that may grow further."""
        self.held_bytes += size - self._size_by_growing.get(holder, 0)
        self.held_bytes -= self._size_by_fixed.pop(holder, 0)
        self._size_by_growing[holder] = size

    def set_fixed(self, holder: Holder, size: int) -> None:
        """Set the size of something that is never cut, also beyond the limit."""
        self.held_bytes += size - self._size_by_fixed.get(holder, 0)
        self.held_bytes -= self._size_by_growing.pop(holder, 0)
        self._size_by_fixed[holder] = size

    def reserve(self, holder: Holder, size: int) -> bool:
        """Reserve the known size of an answer; return false if there is no room."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.set_fixed(holder, size)
        return True

    def extend_upload(self, holder: Holder, size: int) -> bool:
        """Set the size of an upload; return false if there is no room."""
        added = size - self._size_by_upload.get(holder, 0)
        uploads_limit = _MAX_UPLOADS_SHARE * self.limit_bytes
        if (
            self._upload_bytes + added > uploads_limit
            or self.held_bytes + added > self.limit_bytes
        ):
            return False
        self._size_by_upload[holder] = size
        self._upload_bytes += added
        self.held_bytes += added
        return True

    def release(self, holder: Holder) -> None:
        """Remove everything of a holder."""
        upload_bytes = self._size_by_upload.pop(holder, 0)
        self._upload_bytes -= upload_bytes
        self.held_bytes -= upload_bytes
        self.held_bytes -= self._size_by_growing.pop(holder, 0)
        self.held_bytes -= self._size_by_fixed.pop(holder, 0)

    def take_excess(self, needed_bytes: int = 0) -> list[tuple[Holder, int]]:
        """Remove the largest growing holders until there is room; return their sizes.

        :param needed_bytes: room that a known size needs; 0 for none.
        """
        taken: list[tuple[Holder, int]] = []
        while self.held_bytes + needed_bytes > self.limit_bytes:
            if not self._size_by_growing:
                break
            largest = max(
                self._size_by_growing, key=lambda each: self._size_by_growing[each]
            )
            taken.append((largest, self._size_by_growing[largest]))
            self.release(largest)
        return taken


__all__ = ["HeldBytes", "held_bytes_limit"]
