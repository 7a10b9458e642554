"""Appends audit records, many at once, and keeps them while the log is out."""

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

_PERIOD_S = 1.0
_MAX_KEPT_RECORDS = 10_000
_MAX_RECORDS_PER_APPEND = 200


class AuditWriter:
    """Writes the audit trail of one process.

    An append whose answer was lost is repeated; readers show each change once. While
    the log is out the newest records are kept, and ``dropped`` counts the others.
    """

    __slots__ = ("_log", "_waiting", "_periodic", "dropped")

    def __init__(self, log: LogClient, clock: Clock) -> None:
        self._log = log
        self._waiting: deque[AuditRecord] = deque()
        self._periodic = Periodic(clock, self._flush)
        self.dropped = 0

    def start(self) -> None:
        """Begin to append what is written."""
        self._periodic.start(_PERIOD_S)

    def stop(self) -> None:
        """Append no more."""
        self._periodic.stop()

    def write(self, record: AuditRecord) -> None:
        """Take a record to be appended soon."""
        self._waiting.append(record)
        if len(self._waiting) > _MAX_KEPT_RECORDS:
            self._waiting.popleft()
            self.dropped += 1

    def _flush(self) -> Deferred[None] | None:
        if not self._waiting:
            return None
        batch = list(islice(self._waiting, _MAX_RECORDS_PER_APPEND))
        appended = self._log.append(AUDIT_STREAM, encode_audit_records(batch))
        return appended.addCallbacks(self._on_appended, _keep, callbackArgs=(batch,))

    def _on_appended(self, offset: int, batch: list[AuditRecord]) -> None:
        done = {record.identity for record in batch}
        while self._waiting and self._waiting[0].identity in done:
            self._waiting.popleft()


def _keep(failure: object) -> None:
    """Keep the records for the next period: the log is out or did not answer."""


__all__ = ["AuditWriter"]
