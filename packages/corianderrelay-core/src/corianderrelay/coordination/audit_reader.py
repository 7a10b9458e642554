"""Reads the audit trail from the log service."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from ..state.audit import AUDIT_STREAM, decode_audit_records, select_records

if TYPE_CHECKING:
    from ..state.audit import AuditFilter, AuditRecord
    from .log_client import LogClient


async def read_audit(
    log: LogClient, audit_filter: AuditFilter, limit: int
) -> list[AuditRecord]:
    """Return the newest records that match the filter, oldest first.

    :param limit: maximum number of records to return.
    :raises LogUnavailableError: the log cannot be read.
    """
    records: list[AuditRecord] = []
    offset = 0
    while True:
        page = await log.read(AUDIT_STREAM, offset, 0.0)
        records += chain.from_iterable(
            decode_audit_records(entry.payload) for entry in page.entries
        )
        offset = page.next_offset
        if not page.entries:
            return list(select_records(records, audit_filter))[-limit:]


__all__ = ["read_audit"]
