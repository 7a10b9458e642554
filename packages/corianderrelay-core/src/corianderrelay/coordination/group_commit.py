"""Appends records in batches and returns the position of each in the stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from twisted.internet.defer import Deferred, fail

from ..state.append_queue import (
    AppendLimits,
    AppendQueue,
    ReadBack,
    RecordResult,
    SendAppend,
    WaitUntil,
)
from ..state.errors import LogThrottledError, LogUnavailableError, RelayError

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ..state.append_payload import RecordPosition
    from .clock import Clock, DelayedCall
    from .log_client import LogClient, LogPage

_RETRY_AFTER_S = 1.0


class GroupCommit:
    """Appends the records of one process to one stream, in batches.

    :param appender: identity of the appender; unique to each start of each process.
    """

    __slots__ = ("_log", "_clock", "_stream", "_queue", "_deferred_by_ticket", "_timer")

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        stream: str,
        appender: str,
        limits: AppendLimits | None = None,
    ) -> None:
        self._log = log
        self._clock = clock
        self._stream = stream
        self._queue = AppendQueue(appender, limits or AppendLimits())
        self._deferred_by_ticket: dict[int, Deferred[RecordPosition]] = {}
        self._timer: DelayedCall | None = None

    def append(self, record: bytes) -> Deferred[RecordPosition]:
        """Append a record and return its position in the stream.

        :raises LogUnavailableError: the record was not appended and never will be.
        :raises OverloadedError: the record was not appended: the queue is full.
        :raises LogAnswerLostError: the record may have been appended.
        """
        submitted = self._queue.submit(record, self._clock.seconds())
        if isinstance(submitted, Err):
            return fail(submitted.err_value)
        position: Deferred[RecordPosition] = Deferred()
        self._deferred_by_ticket[submitted.ok_value] = position
        self._run_next_action()
        return position

    def record_end_offset(self, next_offset: int) -> None:
        """Record the offset that a reader of the stream has reached."""
        self._queue.record_end_offset(next_offset)

    def _run_next_action(self) -> None:
        match self._queue.next_action(self._clock.seconds()):
            case SendAppend(payload):
                appended = self._log.append(self._stream, payload)
                appended.addCallbacks(self._on_appended, self._on_append_failed)
            case ReadBack(offset):
                read = self._log.read(self._stream, offset, 0.0)
                read.addCallbacks(self._on_page, self._on_read_failed)
            case WaitUntil(at):
                self._schedule_next_action(at)

    def _schedule_next_action(self, at: float) -> None:
        if self._timer is not None and self._timer.active():
            return
        delay_s = max(0.0, at - self._clock.seconds())
        self._timer = self._clock.callLater(delay_s, self._run_next_action)

    def _on_appended(self, offset: int) -> None:
        self._settle(self._queue.on_appended(offset, self._clock.seconds()))

    def _on_append_failed(self, failure: Failure) -> None:
        error = failure.value
        now = self._clock.seconds()
        match error:
            case LogThrottledError():
                self._queue.on_throttled(_retry_after_s(error), now)
                self._settle([])
            case LogUnavailableError():
                self._settle(self._queue.on_unavailable(_retry_after_s(error), now))
            case _:
                self._settle(self._queue.on_answer_lost(now))

    def _on_page(self, page: LogPage) -> None:
        entries = [(entry.offset, entry.payload) for entry in page.entries]
        now = self._clock.seconds()
        self._settle(self._queue.on_page(page.next_offset, entries, now))

    def _on_read_failed(self, failure: Failure) -> None:
        retry_after_s = _retry_after_s(failure.value)
        now = self._clock.seconds()
        self._settle(self._queue.on_unavailable(retry_after_s, now))

    def _settle(self, results: list[RecordResult]) -> None:
        self._run_next_action()
        for result in results:
            position = self._deferred_by_ticket.pop(result.ticket)
            if isinstance(result.outcome, Err):
                position.errback(result.outcome.err_value)
            else:
                position.callback(result.outcome.ok_value)


def _retry_after_s(error: BaseException | None) -> float:
    if isinstance(error, RelayError) and error.retry_after_s is not None:
        return error.retry_after_s
    return _RETRY_AFTER_S


__all__ = ["GroupCommit"]
