"""A log service on a virtual clock, for tests of what reads and appends to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, fail

from corianderrelay.coordination.log_client import LogEntry, LogPage
from corianderrelay.state.errors import LogAnswerLostError, LogUnavailableError

from tests.standins.log_store import LogFaults, LogStore

if TYPE_CHECKING:
    from twisted.internet.task import Clock


class _Wait:
    """A read that waits for an entry."""

    __slots__ = ("offset", "until", "told")

    def __init__(self, offset: int, until: float) -> None:
        self.offset = offset
        self.until = until
        self.told: Deferred[LogPage] = Deferred()


class VirtualLog:
    """Implements the log client over the stand-in's core.

    :param answer_s: time until a call is answered, in seconds.
    """

    def __init__(
        self, clock: Clock, faults: LogFaults, answer_s: float = 0.002
    ) -> None:
        self.faults = faults
        self.appends = 0
        self._clock = clock
        self._store = LogStore(faults)
        self._answer_s = answer_s
        self._waiting_by_stream: dict[str, list[_Wait]] = {}

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append one payload; see ``LogClient``."""
        answer = self._store.append(stream, payload, self._clock.seconds())
        if answer.is_err():
            return fail(LogUnavailableError("the log is out", "wait"))
        self.appends += 1
        for wait in self._waiting_by_stream.pop(stream, []):
            self._clock.callLater(self._answer_s, self._answer, wait, stream)
        told: Deferred[int] = Deferred()
        if self._store.consume_lost_answer():
            error = LogAnswerLostError("the answer is lost", "read it back")
            self._clock.callLater(self._answer_s, told.errback, error)
        else:
            self._clock.callLater(self._answer_s, told.callback, answer.unwrap())
        return told

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read a page; see ``LogClient``."""
        wait = _Wait(offset, self._clock.seconds() + wait_s)
        self._clock.callLater(self._answer_s, self._answer, wait, stream)
        return wait.told

    def _answer(self, wait: _Wait, stream: str) -> None:
        now = self._clock.seconds()
        if wait.told.called:
            return
        answer = self._store.read(stream, wait.offset, now)
        if answer.is_err():
            wait.told.errback(LogUnavailableError("the log is out", "wait"))
            return
        page = answer.unwrap()
        if not page.entries and now < wait.until:
            self._waiting_by_stream.setdefault(stream, []).append(wait)
            self._clock.callLater(wait.until - now, self._answer, wait, stream)
            return
        entries = tuple(LogEntry(place, payload) for place, payload in page.entries)
        wait.told.callback(LogPage(page.first, page.next, entries))


__all__ = ["VirtualLog"]
