"""State machine of a group-commit appender; performs no I/O.

One append is in flight at a time; records that arrive meanwhile go into the next one.
If the answer to an append is lost, the appender searches the stream for the append and
retries it with the same nonce until it is found or the search times out. Readers skip
duplicates.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from .append_payload import (
    AppendPayload,
    RecordPosition,
    decode_payload,
    encode_payload,
)
from .errors import LogAnswerLostError, LogUnavailableError, OverloadedError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .errors import RelayError

_BACKOFF_FACTOR = 2.0
_RATE_INCREASE_PER_S = 5.0  # appends per second, added each second


@dataclass(slots=True, frozen=True)
class AppendLimits:
    """Bounds of one appender.

    :param records_per_append: maximum number of records in one append.
    :param bytes_per_append: maximum record bytes in one append; a single larger record
        is still sent.
    :param queued_records: maximum number of queued records; further ones are rejected.
    :param min_interval_s: minimum time between the starts of two appends, in seconds.
    :param max_interval_s: upper bound of that time under throttling, in seconds.
    :param slow_after_s: age in seconds from which an append in flight counts as an
        outage, so that new records are rejected.
    :param lost_append_timeout_s: how long the stream is searched for a lost append, in
        seconds. It must be well below the service's retention, so that retention does
        not remove the append during the search.
    """

    records_per_append: int = 1024
    bytes_per_append: int = 256 * 1024
    queued_records: int = 8192
    min_interval_s: float = 0.01
    max_interval_s: float = 0.15
    slow_after_s: float = 1.0
    lost_append_timeout_s: float = 10.0


@dataclass(slots=True, frozen=True)
class SendAppend:
    """Action: append this payload now."""

    payload: bytes


@dataclass(slots=True, frozen=True)
class ReadBack:
    """Action: read the stream from this offset, without waiting for new entries."""

    offset: int


@dataclass(slots=True, frozen=True)
class WaitUntil:
    """Action: call ``next_action`` again at this monotonic time, in seconds."""

    at: float


Action = SendAppend | ReadBack | WaitUntil


@dataclass(slots=True, frozen=True)
class RecordResult:
    """The result of one record: its position, or why no position is known.

    With a :class:`LogUnavailableError` the record is not in the stream and never will
    be; with a :class:`LogAnswerLostError` it may be.

    :param ticket: the ticket that :meth:`AppendQueue.submit` returned.
    """

    ticket: int
    outcome: Result[RecordPosition, RelayError]


@dataclass(slots=True, frozen=True)
class _QueuedRecord:
    ticket: int
    record: bytes


class _Phase(Enum):
    TO_SEND = "to_send"
    SENT = "sent"
    TO_READ = "to_read"
    READING = "reading"


@dataclass(slots=True)
class _Batch:
    """The current append.

    :param search_offset: offset from which the stream is searched for the append.
    :param sent_at: monotonic time at which it was last sent or, before that, created.
    :param outcome_unknown_since: monotonic time at which its first answer was lost;
        ``None`` if no answer was lost.
    """

    sequence: int
    records: list[_QueuedRecord]
    payload: bytes
    search_offset: int
    sent_at: float
    phase: _Phase = _Phase.TO_SEND
    outcome_unknown_since: float | None = None


class AppendQueue:
    """The records queued for one stream, and the current append.

    :param appender: identity of the appender; unique for each start of the process.
    """

    __slots__ = (
        "_appender",
        "_limits",
        "_queue",
        "_batch",
        "_next_ticket",
        "_next_sequence",
        "_known_end_offset",
        "_interval_s",
        "_next_action_at_s",
        "_unavailable_until",
    )

    def __init__(self, appender: str, limits: AppendLimits) -> None:
        self._appender = appender
        self._limits = limits
        self._queue: deque[_QueuedRecord] = deque()
        self._batch: _Batch | None = None
        self._next_ticket = 0
        self._next_sequence = 0
        self._known_end_offset = 0
        self._interval_s = limits.min_interval_s
        self._next_action_at_s = 0.0
        self._unavailable_until = 0.0

    def __len__(self) -> int:
        return len(self._queue) + (len(self._batch.records) if self._batch else 0)

    def submit(self, record: bytes, now: float) -> Result[int, RelayError]:
        """Queue a record and return its ticket, or reject it immediately.

        Returns a :class:`LogUnavailableError` while the log is unavailable or slow, and
        an :class:`OverloadedError` if the queue is full.
        """
        if now < self._unavailable_until:
            return Err(_unavailable_error(self._unavailable_until - now))
        if self._is_slow(now):
            return Err(_unavailable_error(self._limits.slow_after_s))
        if len(self._queue) >= self._limits.queued_records:
            return Err(_queue_full_error(self._interval_s))
        ticket = self._next_ticket
        self._next_ticket += 1
        self._queue.append(_QueuedRecord(ticket, record))
        return Ok(ticket)

    def record_end_offset(self, next_offset: int) -> None:
        """Record the known end of the stream; later searches start there."""
        self._known_end_offset = max(self._known_end_offset, next_offset)

    def next_action(self, now: float) -> Action | None:
        """Return the next action; ``None`` if nothing is due before the next event."""
        if self._batch is None and self._queue:
            self._batch = self._take_batch(now)
        batch = self._batch
        if batch is None or batch.phase in (_Phase.SENT, _Phase.READING):
            return None
        if now < self._next_action_at_s:
            return WaitUntil(self._next_action_at_s)
        if batch.phase is _Phase.TO_READ:
            batch.phase = _Phase.READING
            return ReadBack(batch.search_offset)
        batch.phase = _Phase.SENT
        batch.sent_at = now
        self._next_action_at_s = now + self._interval_s
        return SendAppend(batch.payload)

    def on_appended(self, offset: int, now: float) -> list[RecordResult]:
        """Handle a successful append at ``offset``; return the resolved records.

        If an earlier answer was lost, no record is resolved yet: the stream may hold an
        earlier copy of the append, and readers use the position of the first copy.
        """
        batch = self._current_batch()
        self._increase_rate()
        self._unavailable_until = 0.0
        if batch.outcome_unknown_since is not None:
            batch.phase = _Phase.TO_READ
            return []
        return self._resolve_at(offset)

    def on_throttled(self, retry_after_s: float, now: float) -> None:
        """Handle a throttled append: retry it later and lower the append rate."""
        batch = self._current_batch()
        batch.phase = _Phase.TO_SEND
        longer_interval_s = max(self._interval_s * _BACKOFF_FACTOR, retry_after_s)
        self._interval_s = min(longer_interval_s, self._limits.max_interval_s)
        self._next_action_at_s = now + max(retry_after_s, self._interval_s)

    def on_unavailable(self, retry_after_s: float, now: float) -> list[RecordResult]:
        """Handle an outage of the log: the current append or read had no effect.

        Rejects all queued records, and the current append unless it may be in the log.
        """
        batch = self._current_batch()
        self._unavailable_until = self._next_action_at_s = now + retry_after_s
        rejected = self._reject_queued(retry_after_s)
        if batch.outcome_unknown_since is None:
            self._batch = None
            return _unavailable_results(batch.records, retry_after_s) + rejected
        batch.phase = _Phase.TO_READ
        return self._time_out_if_due(batch, now) + rejected

    def on_answer_lost(self, now: float) -> list[RecordResult]:
        """Handle a lost answer: the current append may have taken effect."""
        batch = self._current_batch()
        if batch.outcome_unknown_since is None:
            batch.outcome_unknown_since = now
        batch.phase = _Phase.TO_READ
        return self._time_out_if_due(batch, now)

    def on_page(
        self,
        next_offset: int,
        entries: Iterable[tuple[int, bytes]],
        now: float,
    ) -> list[RecordResult]:
        """Handle a page of the stream; see :class:`~..log_client.LogPage`.

        At the end of the stream, an append that was not found is retried.
        """
        batch = self._current_batch()
        self._unavailable_until = 0.0
        found = [offset for offset, data in entries if self._is_own_append(batch, data)]
        if found:
            return self._resolve_at(found[0])
        at_end = next_offset <= batch.search_offset
        batch.search_offset = max(batch.search_offset, next_offset)
        batch.phase = _Phase.TO_SEND if at_end else _Phase.TO_READ
        return self._time_out_if_due(batch, now)

    def _take_batch(self, now: float) -> _Batch:
        records = list(self._take_records())
        payload = AppendPayload(
            self._appender, self._next_sequence, [queued.record for queued in records]
        )
        batch = _Batch(
            self._next_sequence,
            records,
            encode_payload(payload),
            self._known_end_offset,
            now,
        )
        self._next_sequence += 1
        return batch

    def _take_records(self) -> Iterable[_QueuedRecord]:
        taken = taken_bytes = 0
        while self._queue and taken < self._limits.records_per_append:
            taken_bytes += len(self._queue[0].record)
            if taken and taken_bytes > self._limits.bytes_per_append:
                return
            taken += 1
            yield self._queue.popleft()

    def _current_batch(self) -> _Batch:
        assert self._batch is not None, "there is no current append"
        return self._batch

    def _is_slow(self, now: float) -> bool:
        batch = self._batch
        if batch is None:
            return False
        is_sent = batch.phase is _Phase.SENT
        is_late = now - batch.sent_at > self._limits.slow_after_s
        return batch.outcome_unknown_since is not None or (is_sent and is_late)

    def _is_own_append(self, batch: _Batch, data: bytes) -> bool:
        decoded = decode_payload(data)
        if isinstance(decoded, Err):
            return False
        payload = decoded.ok_value
        return (payload.appender, payload.sequence) == (self._appender, batch.sequence)

    def _resolve_at(self, offset: int) -> list[RecordResult]:
        batch = self._current_batch()
        self._batch = None
        self.record_end_offset(offset + 1)
        return [
            RecordResult(queued.ticket, Ok(RecordPosition(offset, index)))
            for index, queued in enumerate(batch.records)
        ]

    def _resolve_unknown(self, batch: _Batch) -> list[RecordResult]:
        self._batch = None
        return [
            RecordResult(queued.ticket, Err(_answer_lost_error()))
            for queued in batch.records
        ]

    def _time_out_if_due(self, batch: _Batch, now: float) -> list[RecordResult]:
        unknown_since = batch.outcome_unknown_since
        if (
            unknown_since is None
            or now - unknown_since < self._limits.lost_append_timeout_s
        ):
            return []
        return self._resolve_unknown(batch)

    def _reject_queued(self, retry_after_s: float) -> list[RecordResult]:
        queued, self._queue = self._queue, deque()
        return _unavailable_results(queued, retry_after_s)

    def _increase_rate(self) -> None:
        """Raise the append rate by a constant per second.

        Together with the multiplicative backoff, this makes the rates of all appenders
        converge.
        """
        rate_per_s = 1.0 / self._interval_s + _RATE_INCREASE_PER_S * self._interval_s
        self._interval_s = max(self._limits.min_interval_s, 1.0 / rate_per_s)


def _unavailable_results(
    records: Iterable[_QueuedRecord], retry_after_s: float
) -> list[RecordResult]:
    return [
        RecordResult(queued.ticket, Err(_unavailable_error(retry_after_s)))
        for queued in records
    ]


def _unavailable_error(retry_after_s: float) -> LogUnavailableError:
    return LogUnavailableError(
        "the log service is unavailable or slow",
        f"retry after {retry_after_s:.3g} s, or check the log service",
        retry_after_s=retry_after_s,
    )


def _queue_full_error(retry_after_s: float) -> OverloadedError:
    return OverloadedError(
        "too many records are queued for the log service",
        "retry after the given delay",
        retry_after_s=retry_after_s,
    )


def _answer_lost_error() -> LogAnswerLostError:
    return LogAnswerLostError(
        "the answer to an append was lost, and the append was not found in the stream",
        "assume that the append may have taken effect; read the stream before deciding",
    )


__all__ = [
    "Action",
    "AppendLimits",
    "AppendQueue",
    "ReadBack",
    "SendAppend",
    "RecordResult",
    "WaitUntil",
]
