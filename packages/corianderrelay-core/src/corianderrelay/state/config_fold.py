"""Folds the ``config`` stream into the active configuration version.

A record is accepted only if its base is the active version, its version is the next
one and its document is valid. All readers reach the same verdicts, whether they read
from the first record or start later from a refresh record.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .config_records import AnyConfigRecord, ConfigRecord, RecordHead, RefreshRecord
from .document import Document
from .document_check import check_document
from .document_diff import diff_documents

if TYPE_CHECKING:
    from .document_diff import DocumentChange

FIRST_OFFSET = 0
_MAX_RECENT_VERDICTS = 256


class RejectReason(Enum):
    """Why a record was rejected."""

    STALE_BASE = "stale_base"
    WRONG_VERSION = "wrong_version"
    INVALID_DOCUMENT = "invalid_document"


@dataclass(slots=True, frozen=True)
class ActiveVersion:
    """An accepted version of the configuration.

    :param time_s: wall clock of the publisher, in seconds since 1970.
    :param as_of: the last offset read when this version was known to be active.
    """

    version: int
    document: Document
    author: str
    time_s: float
    as_of: int


@dataclass(slots=True, frozen=True)
class Verdict:
    """The result of validating one published record.

    :param reason: why the record was rejected; ``None`` if it was accepted.
    :param changes: differences from the previous version; empty if rejected.
    """

    offset: int
    record: RecordHead
    reason: RejectReason | None
    changes: tuple[DocumentChange, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether the record became the active version."""
        return self.reason is None


class ConfigFold:
    """State of the stream up to the last record read, and the newest known version.

    The active version number never decreases, whatever the stream or peers deliver.
    """

    __slots__ = (
        "_validated",
        "_newest",
        "_first_readable_offset",
        "_next_offset",
        "_pending",
        "_recent",
        "_refreshed_s",
    )

    def __init__(self) -> None:
        self._validated: ActiveVersion | None = None
        self._newest: ActiveVersion | None = None
        self._first_readable_offset = FIRST_OFFSET
        self._next_offset = FIRST_OFFSET
        self._pending: list[tuple[int, ConfigRecord]] | None = None
        self._recent: deque[Verdict] = deque(maxlen=_MAX_RECENT_VERDICTS)
        self._refreshed_s = 0.0

    @property
    def active_version(self) -> ActiveVersion | None:
        """The active version; ``None`` until one is known."""
        return self._newest

    @property
    def version(self) -> int:
        """Number of the active version; 0 until one is known."""
        return self._newest.version if self._newest else 0

    @property
    def can_validate(self) -> bool:
        """Whether the base version needed to validate the next record is known."""
        return self._pending is None

    @property
    def next_offset(self) -> int:
        """Offset at which the next read starts."""
        return self._next_offset

    @property
    def refreshed_s(self) -> float:
        """Wall-clock time of the newest refresh or, before any, the first version."""
        return self._refreshed_s

    def apply(self, offset: int, record: AnyConfigRecord) -> list[Verdict]:
        """Apply the next record; return the verdicts that it made possible."""
        self._next_offset = offset + 1
        if isinstance(record, RefreshRecord):
            self._refreshed_s = max(self._refreshed_s, record.written_s)
            return self._rebase(
                ActiveVersion(
                    record.version,
                    record.document,
                    record.author,
                    record.time_s,
                    record.as_of,
                )
            )
        if self._pending is not None:
            self._pending.append((offset, record))
            return []
        return [self._validate(offset, record)]

    def mark_read_to(self, next_offset: int) -> None:
        """Record that everything before ``next_offset`` was read."""
        self._next_offset = max(self._next_offset, next_offset)

    def skip_to(self, first_offset: int) -> None:
        """Continue at ``first_offset`` because earlier records were dropped unread.

        The active version stays until a refresh record or a peer supplies a version
        from which validation can resume.
        """
        self._first_readable_offset = first_offset
        self._next_offset = first_offset
        self._pending = []

    def adopt(self, known: ActiveVersion) -> list[Verdict]:
        """Adopt a peer's version if it is newer, and resume validation if possible."""
        self._update_newest(known)
        return self._rebase(known)

    def changes_since(self, version: int) -> list[Verdict]:
        """Return the retained verdicts that accepted versions after ``version``."""
        return [
            verdict
            for verdict in self._recent
            if verdict.accepted and verdict.record.version > version
        ]

    def history(self) -> list[Verdict]:
        """Return the retained verdicts of this process, oldest first."""
        return list(self._recent)

    def refresh_record(self, wall_now_s: float) -> RefreshRecord | None:
        """Return a refresh record, or ``None`` while records cannot be validated."""
        validated = self._validated
        if validated is None or not self.can_validate:
            return None
        return RefreshRecord(
            version=validated.version,
            document=validated.document,
            author=validated.author,
            time_s=validated.time_s,
            as_of=self._next_offset - 1,
            written_s=wall_now_s,
        )

    def _rebase(self, known: ActiveVersion) -> list[Verdict]:
        """Validate the pending records, starting from a version known to be active."""
        if self._pending is None or known.as_of + 1 < self._first_readable_offset:
            return []
        unvalidated = [item for item in self._pending if item[0] > known.as_of]
        self._pending = None
        self._validated = known
        self._update_newest(known)
        return [self._validate(offset, record) for offset, record in unvalidated]

    def _validate(self, offset: int, record: ConfigRecord) -> Verdict:
        reason = self._reject_reason(record)
        verdict = Verdict(offset, record.head, reason, self._changes(record, reason))
        self._recent.append(verdict)
        if reason is None:
            self._validated = ActiveVersion(
                record.version, record.document, record.author, record.time_s, offset
            )
            self._refreshed_s = self._refreshed_s or record.time_s
            self._update_newest(self._validated)
        return verdict

    def _reject_reason(self, record: ConfigRecord) -> RejectReason | None:
        validated_version = self._validated.version if self._validated else 0
        if record.base != validated_version:
            return RejectReason.STALE_BASE
        if record.version != record.base + 1:
            return RejectReason.WRONG_VERSION
        if check_document(record.document):
            return RejectReason.INVALID_DOCUMENT
        return None

    def _changes(
        self, record: ConfigRecord, reason: RejectReason | None
    ) -> tuple[DocumentChange, ...]:
        if reason is not None:
            return ()
        old = self._validated.document if self._validated else Document()
        return tuple(diff_documents(old, record.document))

    def _update_newest(self, known: ActiveVersion) -> None:
        if known.version > self.version:
            self._newest = known


__all__ = [
    "ConfigFold",
    "FIRST_OFFSET",
    "RejectReason",
    "Verdict",
    "ActiveVersion",
]
