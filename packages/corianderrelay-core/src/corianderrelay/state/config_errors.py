"""Why a document was not published, in words for its operator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .errors import (
    ConflictError,
    OutcomeUnknownError,
    Ran,
    SettingsError,
    UnavailableError,
)

if TYPE_CHECKING:
    from .config_fold import Verdict
    from .faults import Fault

_RETRY_AFTER_S = 5.0
_MAX_NAMED_CHANGES = 20


def invalid_document_error(faults: list[Fault]) -> SettingsError:
    """The document has faults; all are listed."""
    listed = "\n".join(f"  {fault}" for fault in faults)
    return SettingsError(
        f"the document has {len(faults)} faults:\n{listed}\n",
        "mend them and publish it again",
    )


def conflict_error(base: int, version: int, changes: list[Verdict]) -> ConflictError:
    """Another version came in force since ``base``; says what changed and by whom."""
    listed = "".join(f"\n  {_describe(change)}" for change in changes)
    return ConflictError(
        f"the document is based on version {base}, but version {version} is in force"
        f"{listed}\n",
        f"apply your changes to version {version} and publish with it as base",
    )


def config_not_ready_error() -> UnavailableError:
    """This process does not know the stream well enough to publish."""
    return UnavailableError(
        "the log service is out, or the version in force is not known yet",
        "publish again later, or at another entry",
        retry_after_s=_RETRY_AFTER_S,
    )


def not_appended_error() -> UnavailableError:
    """The log service did not take the record; nothing was changed."""
    return UnavailableError(
        "the log service did not take the document, and nothing was changed",
        "publish it again",
        retry_after_s=_RETRY_AFTER_S,
    )


def publication_outcome_unknown_error(version: int) -> OutcomeUnknownError:
    """The record may yet turn up in the stream."""
    return OutcomeUnknownError(
        f"it is not known whether the document came in force as version {version}",
        "look at `corianderrelay config history` before publishing again",
        ran=Ran.UNKNOWN,
    )


def _describe(verdict: Verdict) -> str:
    record = verdict.record
    named = [str(change) for change in verdict.changes[:_MAX_NAMED_CHANGES]]
    more = len(verdict.changes) - len(named)
    named += [f"and {more} more"] if more else []
    changed = "; ".join(named) or "nothing"
    return f"version {record.version} by {record.author}: {changed}"


__all__ = [
    "conflict_error",
    "publication_outcome_unknown_error",
    "invalid_document_error",
    "not_appended_error",
    "config_not_ready_error",
]
