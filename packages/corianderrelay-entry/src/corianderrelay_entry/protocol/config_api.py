"""Bodies of the operators' routes for the configuration and the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct

from corianderrelay.state.audit import AuditRecord
from corianderrelay.state.document import Document

if TYPE_CHECKING:
    from corianderrelay.state.config_fold import Verdict

Author = Annotated[str, Meta(min_length=1, max_length=200)]


class PublishRequest(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of ``POST /v1/config``: a document, and the version it was made from."""

    base: Annotated[int, Meta(ge=0)]
    document: Document
    author: Author
    note: Annotated[str, Meta(max_length=500)] = ""


class PublishReply(Struct, frozen=True):
    """Answer of ``POST /v1/config``: the version that is in force."""

    version: int


class ConfigReply(Struct, frozen=True):
    """Answer of ``GET /v1/config``: what is in force here."""

    version: int
    author: str
    time_s: float
    document: Document


class HistoryEntry(Struct, frozen=True):
    """One published document and what became of it."""

    version: int
    base: int
    author: str
    time_s: float
    note: str
    result: str
    changes: list[str]


class HistoryReply(Struct, frozen=True):
    """Answer of ``GET /v1/config/history``, oldest first."""

    entries: list[HistoryEntry]


class AuditReply(Struct, frozen=True):
    """Answer of ``GET /v1/audit``, oldest first."""

    records: list[AuditRecord]


def history_entry(verdict: Verdict) -> HistoryEntry:
    """Return how a judged record is shown."""
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
