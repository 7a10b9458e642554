"""Decides what a group-commit appender does next, and what it may conclude.

One append is under way at a time; what arrives meanwhile goes into the next one. An
append whose answer was lost is looked for in the stream, and sent again with the same
nonce until it is found; readers leave later copies out.
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
_RATE_INCREASE_PER_S = 5.0


@dataclass(slots=True, frozen=True)
class AppendLimits:
    """Bounds of one appender.

    :param records_per_append: most records that one append holds.
    :param bytes_per_append: most record bytes of one append, unless one is larger.
    :param queued_records: most records that wait; more are refused.
    :param min_interval_s: least time between the starts of two appends, in seconds.
    :param max_interval_s: the same when the service throttles, in seconds.
    :param slow_after_s: an append under way for longer counts as an outage.
    :param give_up_s: how long a lost append is looked for, in seconds; it must be
        well under the service's retention, so that no copy is dropped meanwhile.
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
    """Append this payload now."""

    payload: bytes


@dataclass(slots=True, frozen=True)
class ReadBack:
    """Read the stream from this offset on, without waiting for an entry."""

    offset: int


@dataclass(slots=True, frozen=True)
class WaitUntil:
    """Ask again at this time."""

    at: float


Action = SendAppend | ReadBack | WaitUntil


@dataclass(slots=True, frozen=True)
class RecordResult:
    """What became of one record: where it is, or why it is not known to be there.

    A :class:`LogUnavailableError` says that it is not in the stream and never will
    be; a :class:`LogAnswerLostError` that it may be.
    """

    ticket: int
    outcome: Result[RecordPosition, RelayError]


@dataclass(slots=True, frozen=True)
class _Queued:
    ticket: int
    record: bytes


class _Phase(Enum):
    TO_SEND = "to_send"
    SENT = "sent"
    TO_READ = "to_read"
    READING = "reading"


@dataclass(slots=True)
class _Batch:
    """The append under way; ``in_doubt_since`` is when its first answer was lost."""

    sequence: int
    records: list[_Queued]
    payload: bytes
    read_from: int
    sent_at: float
    phase: _Phase = _Phase.TO_SEND
    in_doubt_since: float | None = None


class AppendQueue:
    """The records that wait for one stream, and the append under way.

    :param appender: identity of the appender, new for each start of the process.
    """

    __slots__ = (
        "_appender",
        "_limits",
        "_queue",
        "_batch",
        "_next_ticket",
        "_next_sequence",
        "_known_end",
        "_interval_s",
        "_not_before",
        "_unavailable_until",
    )

    def __init__(self, appender: str, limits: AppendLimits) -> None:
        self._appender = appender
        self._limits = limits
        self._queue: deque[_Queued] = deque()
        self._batch: _Batch | None = None
        self._next_ticket = 0
        self._next_sequence = 0
        self._known_end = 0
        self._interval_s = limits.min_interval_s
        self._not_before = 0.0
        self._unavailable_until = 0.0

    def __len__(self) -> int:
        return len(self._queue) + (len(self._batch.records) if self._batch else 0)

    def submit(self, record: bytes, now: float) -> Result[int, RelayError]:
        """Queue a record and return its ticket, or refuse it at once."""
        if now < self._unavailable_until:
            return Err(_unavailable_error(self._unavailable_until - now))
        if self._is_slow(now):
            return Err(_unavailable_error(self._limits.slow_after_s))
        if len(self._queue) >= self._limits.queued_records:
            return Err(_queue_full_error(self._interval_s))
        ticket = self._next_ticket
        self._next_ticket += 1
        self._queue.append(_Queued(ticket, record))
        return Ok(ticket)

    def record_end_offset(self, next_offset: int) -> None:
        """Note that the stream reaches this far, so that less is read back."""
        self._known_end = max(self._known_end, next_offset)

    def next_action(self, now: float) -> Action | None:
        """Return what to do now; ``None`` until something happens."""
        if self._batch is None and self._queue:
            self._batch = self._take_batch(now)
        batch = self._batch
        if batch is None or batch.phase in (_Phase.SENT, _Phase.READING):
            return None
        if now < self._not_before:
            return WaitUntil(self._not_before)
        if batch.phase is _Phase.TO_READ:
            batch.phase = _Phase.READING
            return ReadBack(batch.read_from)
        batch.phase = _Phase.SENT
        batch.sent_at = now
        self._not_before = now + self._interval_s
        return SendAppend(batch.payload)

    def on_appended(self, offset: int, now: float) -> list[RecordResult]:
        """The append under way was answered with its offset."""
        batch = self._current_batch()
        self._increase_rate()
        self._unavailable_until = 0.0
        if batch.in_doubt_since is not None:
            batch.phase = _Phase.TO_READ
            return []
        return self._resolve_at(offset)

    def on_throttled(self, retry_after_s: float, now: float) -> None:
        """The append under way was refused because there are too many."""
        batch = self._current_batch()
        batch.phase = _Phase.TO_SEND
        longer_interval_s = max(self._interval_s * _BACKOFF_FACTOR, retry_after_s)
        self._interval_s = min(longer_interval_s, self._limits.max_interval_s)
        self._not_before = now + max(retry_after_s, self._interval_s)

    def on_unavailable(self, retry_after_s: float, now: float) -> list[RecordResult]:
        """The append or read under way had no effect: the log is out."""
        batch = self._current_batch()
        self._unavailable_until = self._not_before = now + retry_after_s
        rejected = self._reject_queued(retry_after_s)
        if batch.in_doubt_since is None:
            self._batch = None
            return _unavailable_results(batch.records, retry_after_s) + rejected
        batch.phase = _Phase.TO_READ
        return self._time_out_if_due(batch, now) + rejected

    def on_answer_lost(self, now: float) -> list[RecordResult]:
        """The append under way may or may not have taken effect."""
        batch = self._current_batch()
        if batch.in_doubt_since is None:
            batch.in_doubt_since = now
        batch.phase = _Phase.TO_READ
        return self._time_out_if_due(batch, now)

    def on_page(
        self,
        next_offset: int,
        entries: Iterable[tuple[int, bytes]],
        now: float,
    ) -> list[RecordResult]:
        """A page that was read back; see :class:`~..log_client.LogPage`."""
        batch = self._current_batch()
        self._unavailable_until = 0.0
        found = [offset for offset, data in entries if self._is_own_append(batch, data)]
        if found:
            return self._resolve_at(found[0])
        at_end = next_offset <= batch.read_from
        batch.read_from = max(batch.read_from, next_offset)
        batch.phase = _Phase.TO_SEND if at_end else _Phase.TO_READ
        return self._time_out_if_due(batch, now)

    def _take_batch(self, now: float) -> _Batch:
        records = list(self._take_records())
        payload = AppendPayload(
            self._appender, self._next_sequence, [queued.record for queued in records]
        )
        batch = _Batch(
            self._next_sequence, records, encode_payload(payload), self._known_end, now
        )
        self._next_sequence += 1
        return batch

    def _take_records(self) -> Iterable[_Queued]:
        taken = taken_bytes = 0
        while self._queue and taken < self._limits.records_per_append:
            taken_bytes += len(self._queue[0].record)
            if taken and taken_bytes > self._limits.bytes_per_append:
                return
            taken += 1
            yield self._queue.popleft()

    def _current_batch(self) -> _Batch:
        assert self._batch is not None, "there is no append under way"
        return self._batch

    def _is_slow(self, now: float) -> bool:
        batch = self._batch
        if batch is None:
            return False
        is_sent = batch.phase is _Phase.SENT
        is_late = now - batch.sent_at > self._limits.slow_after_s
        return batch.in_doubt_since is not None or (is_sent and is_late)

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
        since = batch.in_doubt_since
        if since is None or now - since < self._limits.lost_append_timeout_s:
            return []
        return self._resolve_unknown(batch)

    def _reject_queued(self, retry_after_s: float) -> list[RecordResult]:
        queued, self._queue = self._queue, deque()
        return _unavailable_results(queued, retry_after_s)

    def _increase_rate(self) -> None:
        """Raise the rate by a constant a second, so that appenders become equal."""
        rate_per_s = 1.0 / self._interval_s + _RATE_INCREASE_PER_S * self._interval_s
        self._interval_s = max(self._limits.min_interval_s, 1.0 / rate_per_s)


def _unavailable_results(
    records: Iterable[_Queued], retry_after_s: float
) -> list[RecordResult]:
    return [
        RecordResult(queued.ticket, Err(_unavailable_error(retry_after_s)))
        for queued in records
    ]


def _unavailable_error(retry_after_s: float) -> LogUnavailableError:
    return LogUnavailableError(
        "the log service is out or slow",
        f"retry after {retry_after_s:.3g} s, or check the log service",
        retry_after_s=retry_after_s,
    )


def _queue_full_error(retry_after_s: float) -> OverloadedError:
    return OverloadedError(
        "too many records wait for the log service",
        "retry after the given time",
        retry_after_s=retry_after_s,
    )


def _answer_lost_error() -> LogAnswerLostError:
    return LogAnswerLostError(
        "the answer to an append was lost and the append was not found",
        "take it as possibly in effect, and read the stream before deciding",
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
