"""An in-memory log service on a virtual clock, for tests of its clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, fail

from corianderrelay.coordination.log_client import LogEntry, LogPage
from corianderrelay.state.errors import LogAnswerLostError, LogUnavailableError

from tests.standins.log_store import LogFaults, LogStore

if TYPE_CHECKING:
    from twisted.internet.task import Clock


class _PendingRead:
    """A read that waits for an entry until a deadline."""

    __slots__ = ("offset", "deadline", "response")

    def __init__(self, offset: int, deadline: float) -> None:
        self.offset = offset
        self.deadline = deadline
        self.response: Deferred[LogPage] = Deferred()


class VirtualLog:
    """Implements ``LogClient`` over the store of the log stand-in.

    :param latency_s: delay of each response, in seconds.
    """

    def __init__(
        self, clock: Clock, faults: LogFaults, latency_s: float = 0.002
    ) -> None:
        self.faults = faults
        self.appends = 0
        self._clock = clock
        self._store = LogStore(faults)
        self._latency_s = latency_s
        self._pending_by_stream: dict[str, list[_PendingRead]] = {}

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append one payload; see ``LogClient``."""
        stored = self._store.append(stream, payload, self._clock.seconds())
        if stored.is_err():
            return fail(LogUnavailableError("the log is unavailable", "retry later"))
        self.appends += 1
        for pending in self._pending_by_stream.pop(stream, []):
            self._clock.callLater(self._latency_s, self._respond, pending, stream)
        appended: Deferred[int] = Deferred()
        if self._store.consume_lost_answer():
            error = LogAnswerLostError("the response is lost", "read it back")
            self._clock.callLater(self._latency_s, appended.errback, error)
        else:
            self._clock.callLater(self._latency_s, appended.callback, stored.unwrap())
        return appended

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read a page; see ``LogClient``."""
        pending = _PendingRead(offset, self._clock.seconds() + wait_s)
        self._clock.callLater(self._latency_s, self._respond, pending, stream)
        return pending.response

    def _respond(self, pending: _PendingRead, stream: str) -> None:
        now = self._clock.seconds()
        if pending.response.called:
            return
        stored = self._store.read(stream, pending.offset, now)
        if stored.is_err():
            pending.response.errback(
                LogUnavailableError("the log is unavailable", "retry later")
            )
            return
        page = stored.unwrap()
        if not page.entries and now < pending.deadline:
            self._pending_by_stream.setdefault(stream, []).append(pending)
            self._clock.callLater(
                pending.deadline - now, self._respond, pending, stream
            )
            return
        entries = tuple(
            LogEntry(entry_offset, payload) for entry_offset, payload in page.entries
        )
        pending.response.callback(LogPage(page.first, page.next, entries))


__all__ = ["VirtualLog"]
