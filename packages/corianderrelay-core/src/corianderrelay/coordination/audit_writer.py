"""Appends audit records in batches and buffers them while the log is unavailable."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING

from ..state.audit import AUDIT_STREAM, encode_audit_records
from .periodic import Periodic

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ..state.audit import AuditRecord
    from .clock import Clock
    from .log_client import LogClient

_FLUSH_PERIOD_S = 1.0
_MAX_BUFFERED_RECORDS = 10_000
_MAX_RECORDS_PER_APPEND = 200


class AuditWriter:
    """Writes the audit trail of one process.

    An append without a response is retried, so the stream may hold a record twice;
    readers remove the duplicates. While the log is unavailable, the newest records are
    buffered and ``dropped`` counts the discarded ones.
    """

    __slots__ = ("_log", "_buffer", "_periodic", "dropped")

    def __init__(self, log: LogClient, clock: Clock) -> None:
        self._log = log
        self._buffer: deque[AuditRecord] = deque()
        self._periodic = Periodic(clock, self._flush)
        self.dropped = 0

    def start(self) -> None:
        """Start to append the buffered records periodically."""
        self._periodic.start(_FLUSH_PERIOD_S)

    def stop(self) -> None:
        """Stop appending."""
        self._periodic.stop()

    def write(self, record: AuditRecord) -> None:
        """Buffer a record for the next append."""
        self._buffer.append(record)
        if len(self._buffer) > _MAX_BUFFERED_RECORDS:
            self._buffer.popleft()
            self.dropped += 1

    def _flush(self) -> Deferred[None] | None:
        if not self._buffer:
            return None
        batch = list(islice(self._buffer, _MAX_RECORDS_PER_APPEND))
        appended = self._log.append(AUDIT_STREAM, encode_audit_records(batch))
        return appended.addCallbacks(
            self._on_appended, _keep_batch, callbackArgs=(batch,)
        )

    def _on_appended(self, offset: int, batch: list[AuditRecord]) -> None:
        appended_ids = {record.identity for record in batch}
        while self._buffer and self._buffer[0].identity in appended_ids:
            self._buffer.popleft()


def _keep_batch(failure: object) -> None:
    """Leave the batch buffered for the next flush: the append failed or timed out."""


__all__ = ["AuditWriter"]
