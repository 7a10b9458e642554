"""Reads one claims stream continuously and appends to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot
from result import Err

from corianderrelay.coordination.group_commit import GroupCommit
from corianderrelay.state.append_payload import RecordReader
from corianderrelay.state.claim_records import decode_claim_record, encode_claim_record
from corianderrelay.state.errors import LogAnswerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock
    from corianderrelay.coordination.log_client import LogClient, LogEntry, LogPage
    from corianderrelay.state.claim_records import AnyClaimRecord

    from ..state.keyed_actions import Action
    from ..state.keyed_requests import KeyedRequests

_READ_WAIT_S = 5.0  # maximum duration of a long poll
_RETRY_DELAY_S = 0.5


class ClaimsStream:
    """Applies the stream's records to the keyed requests of its partition.

    :param execute: executes the actions that follow from a record.
    :param appender: identity that is unique to this start of this process.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_name",
        "_requests",
        "_execute",
        "_commit",
        "_reader",
        "_offset",
        "_log_available",
        "_stopped",
    )

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        name: str,
        requests: KeyedRequests,
        execute: Callable[[KeyedRequests, list[Action]], None],
        appender: str,
    ) -> None:
        self._log = log
        self._clock = clock
        self._name = name
        self._requests = requests
        self._execute = execute
        self._commit = GroupCommit(log, clock, name, appender)
        self._reader = RecordReader()
        self._offset = 0
        self._log_available = False
        self._stopped = False

    def start(self) -> None:
        """Read continuously, from the oldest retained record on, until stopped."""
        if self._stopped:
            return
        # Do not wait for new records until a page was read: new requests are rejected
        # until a page shows that the log is available.
        wait_s = _READ_WAIT_S if self._log_available else 0.0
        page = self._log.read(self._name, self._offset, wait_s)
        page.addCallbacks(self._on_page, self._on_read_failed)
        page.addErrback(self._on_unexpected_error)

    def stop(self) -> None:
        """Stop reading after the current page."""
        self._stopped = True

    def append(self, record: AnyClaimRecord) -> None:
        """Append a record; only reading it back confirms that it was appended."""
        appended = self._commit.append(encode_claim_record(record))
        appended.addErrback(self._on_append_failed, record)

    def _on_page(self, page: LogPage) -> None:
        self._log_available = True
        fold = self._requests.fold
        if page.first_offset > self._offset:
            fold.skip_to(page.first_offset)
        fold.evict_before(page.first_offset)
        records = [
            record for entry in page.entries for record in self._decode_records(entry)
        ]
        self._offset = max(page.next_offset, page.first_offset)
        self._commit.record_end_offset(self._offset)
        self._execute(
            self._requests, self._requests.apply_records(records, self._now())
        )
        self._clock.callLater(0, self.start)

    def _decode_records(self, entry: LogEntry) -> list[tuple[int, int, AnyClaimRecord]]:
        """Decode one append's records; skip malformed ones, as every reader does."""
        positioned = self._reader.read(entry.offset, entry.payload).unwrap_or([])
        decoded = (
            (one.position, decode_claim_record(one.record)) for one in positioned
        )
        return [
            (position.offset, position.index, result.ok_value)
            for position, result in decoded
            if not isinstance(result, Err)
        ]

    def _on_read_failed(self, failure: Failure) -> None:
        self._log_available = False
        self._requests.on_log_unavailable()
        eliot.log_message(
            message_type="claims:read_failed",
            stream=self._name,
            reason=failure.getErrorMessage(),
        )
        self._clock.callLater(_RETRY_DELAY_S, self.start)

    def _on_append_failed(self, failure: Failure, record: AnyClaimRecord) -> None:
        if not failure.check(LogAnswerLostError):
            self._execute(self._requests, self._requests.on_append_failed(record))

    def _on_unexpected_error(self, failure: Failure) -> None:
        eliot.log_message(message_type="claims:fault", reason=failure.getTraceback())
        self._clock.callLater(_RETRY_DELAY_S, self.start)

    def _now(self) -> float:
        return self._clock.seconds()


__all__ = ["ClaimsStream"]
