"""Request and response bodies of the operators' configuration and audit routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct

from corianderrelay.state.audit import AuditRecord
from corianderrelay.state.document import Document

if TYPE_CHECKING:
    from corianderrelay.state.config_fold import Verdict

Author = Annotated[str, Meta(min_length=1, max_length=200)]


class PublishRequest(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of ``POST /v1/config``: a document and the version it is based on."""

    base: Annotated[int, Meta(ge=0)]
    document: Document
    author: Author
    note: Annotated[str, Meta(max_length=500)] = ""


class PublishReply(Struct, frozen=True):
    """Response of ``POST /v1/config``: the version that is now active."""

    version: int


class ConfigReply(Struct, frozen=True):
    """Response of ``GET /v1/config``: the version that is active at this entry."""

    version: int
    author: str
    time_s: float
    document: Document


class HistoryEntry(Struct, frozen=True):
    """One publication and its result: ``accepted`` or the reason for rejection."""

    version: int
    base: int
    author: str
    time_s: float
    note: str
    result: str
    changes: list[str]


class HistoryReply(Struct, frozen=True):
    """Response of ``GET /v1/config/history``: publications, oldest first."""

    entries: list[HistoryEntry]


class AuditReply(Struct, frozen=True):
    """Response of ``GET /v1/audit``: audit records, oldest first."""

    records: list[AuditRecord]


def history_entry(verdict: Verdict) -> HistoryEntry:
    """Convert the verdict on a published record to a history entry."""
    record = verdict.record
    return HistoryEntry(
        version=record.version,
        base=record.base,
        author=record.author,
        time_s=record.time_s,
        note=record.note,
        result=verdict.reason.value if verdict.reason else "accepted",
        changes=[str(change) for change in verdict.changes],
    )


__all__ = [
    "AuditReply",
    "ConfigReply",
    "HistoryEntry",
    "HistoryReply",
    "PublishReply",
    "PublishRequest",
    "history_entry",
]
