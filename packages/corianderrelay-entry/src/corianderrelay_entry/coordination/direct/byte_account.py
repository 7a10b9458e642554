"""Applies the account of held bytes: cuts, refuses, and lets known sizes wait."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

from ...state.direct.held_bytes import HeldBytes
from .decision_log import Decision

if TYPE_CHECKING:
    from .decision_log import DecisionLog

_MAX_UNREAD_S = 1.0  # a caller that reads nothing for so long may be cut off
_SMALL_BYTES = 65_536  # one read of a socket; smaller uploads are never refused


class ByteHolder(Protocol):
    """Something that holds bytes for a request."""

    @property
    def holds_for(self) -> str:
        """The request id, or what else is known of the request."""

    def drop_held(self) -> None:
        """Drop the bytes and fail the request: the account has no room."""

    def on_room(self) -> None:
        """Continue: the size that has waited is reserved now."""


class DrainingHolder(ByteHolder, Protocol):
    """A holder whose size shrinks as its peer reads."""

    @property
    def buffered_bytes(self) -> int:
        """The memory that the answer takes until the peer has read all of it."""

    @property
    def unsent_bytes(self) -> int:
        """The bytes that the peer has not taken yet."""


class ByteAccount:
    """The account of one entry.

    :param limit_bytes: how many bytes may be held together.
    """

    def __init__(self, limit_bytes: int, log: DecisionLog) -> None:
        self._bytes: HeldBytes[ByteHolder] = HeldBytes(limit_bytes)
        self._log = log
        self._waiting: deque[tuple[ByteHolder, int]] = deque()
        # The bytes that each caller had not read, and since when.
        self._unread_by_holder: dict[DrainingHolder, tuple[int, float]] = {}
        self.cut_answers = 0
        self.refused_uploads = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that are held or reserved."""
        return self._bytes.held_bytes

    def hold(self, holder: ByteHolder, size: int) -> None:
        """Set the size of an answer that may grow, and cut the largest if needed."""
        self._bytes.set_growing(holder, size)
        self._cut(self._bytes.take_excess())

    def reserve_or_wait(self, holder: ByteHolder, size: int) -> bool:
        """Reserve the known size of an answer; return false if it must wait."""
        size = min(size, self._bytes.limit_bytes)
        if not self._waiting:
            self._cut(self._bytes.take_excess(size))
            if self._bytes.reserve(holder, size):
                return True
        self._waiting.append((holder, size))
        return False

    def admit_upload(self, holder: ByteHolder, size: int) -> bool:
        """Set the size of an upload, known or so far; return false to refuse it."""
        if self._bytes.extend_upload(holder, size) or size <= _SMALL_BYTES:
            return True
        self.refused_uploads += 1
        self._log.note(
            Decision.UPLOAD_REFUSED,
            size_bytes=size,
            held_bytes=self._bytes.held_bytes,
            limit_bytes=self._bytes.limit_bytes,
        )
        return False

    def watch_unread(self, holder: DrainingHolder, now: float) -> None:
        """Hold what a caller has not read yet, until it has."""
        self._unread_by_holder.setdefault(holder, (holder.unsent_bytes, now))
        self._bytes.set_fixed(holder, holder.buffered_bytes)

    def release(self, holder: ByteHolder) -> None:
        """Remove a holder, and let known sizes that wait have its room."""
        self._bytes.release(holder)
        if not self._waiting:
            return
        self._waiting = deque(each for each in self._waiting if each[0] is not holder)
        while self._waiting and self._bytes.reserve(*self._waiting[0]):
            self._waiting.popleft()[0].on_room()

    def release_unread(self, holder: DrainingHolder) -> None:
        """Remove what a caller has not read: it has, or its connection has ended."""
        if self._unread_by_holder.pop(holder, None) is not None:
            self.release(holder)

    def tick(self, now: float) -> None:
        """Update what callers have not read; it can be cut if they read nothing."""
        for holder, (unsent_before, since) in list(self._unread_by_holder.items()):
            unsent_bytes = holder.unsent_bytes
            if not unsent_bytes:
                self.release_unread(holder)
            elif unsent_bytes < unsent_before:
                self._unread_by_holder[holder] = (unsent_bytes, now)
                self._bytes.set_fixed(holder, holder.buffered_bytes)
            elif now - since >= _MAX_UNREAD_S:
                self.hold(holder, holder.buffered_bytes)

    def _cut(self, taken: list[tuple[ByteHolder, int]]) -> None:
        for holder, size in taken:
            self.cut_answers += 1
            self._log.note(
                Decision.ANSWER_CUT,
                request=holder.holds_for,
                size_bytes=size,
                held_bytes=self._bytes.held_bytes,
                limit_bytes=self._bytes.limit_bytes,
            )
            holder.drop_held()


__all__ = ["ByteAccount", "ByteHolder", "DrainingHolder"]
