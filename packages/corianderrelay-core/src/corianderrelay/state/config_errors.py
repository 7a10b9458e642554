"""Builds the errors that an operator gets when publishing a document fails."""

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
_MAX_LISTED_CHANGES = 20


def invalid_document_error(faults: list[Fault]) -> SettingsError:
    """Return the error for an invalid document; it lists all faults."""
    listed = "\n".join(f"  {fault}" for fault in faults)
    return SettingsError(
        f"the configuration document has {len(faults)} faults:\n{listed}\n",
        "correct the faults and publish the document again",
    )


def conflict_error(base: int, version: int, changes: list[Verdict]) -> ConflictError:
    """Return the error for a stale base; it lists the changes made since ``base``."""
    listed = "".join(f"\n  {_describe(change)}" for change in changes)
    return ConflictError(
        f"the document is based on version {base}, but version {version} is active"
        f"{listed}\n",
        f"apply your changes to version {version} and publish with that base",
    )


def config_not_ready_error() -> UnavailableError:
    """Return the error for a process that cannot validate a document now."""
    return UnavailableError(
        "the log service is unavailable or the active version is not known yet",
        "publish again later or through another entry",
        retry_after_s=_RETRY_AFTER_S,
    )


def not_appended_error() -> UnavailableError:
    """Return the error for a document that the log service did not append."""
    return UnavailableError(
        "the log service did not append the document; nothing was changed",
        "publish the document again",
        retry_after_s=_RETRY_AFTER_S,
    )


def publication_outcome_unknown_error(version: int) -> OutcomeUnknownError:
    """Return the error for a document whose record may still appear in the stream."""
    return OutcomeUnknownError(
        f"it is unknown whether the document became active as version {version}",
        "check `corianderrelay config history` before publishing again",
        ran=Ran.UNKNOWN,
    )


def _describe(verdict: Verdict) -> str:
    record = verdict.record
    descriptions = [str(change) for change in verdict.changes[:_MAX_LISTED_CHANGES]]
    omitted = len(verdict.changes) - len(descriptions)
    descriptions += [f"and {omitted} more"] if omitted else []
    summary = "; ".join(descriptions) or "nothing"
    return f"version {record.version} by {record.author}: {summary}"


__all__ = [
    "conflict_error",
    "publication_outcome_unknown_error",
    "invalid_document_error",
    "not_appended_error",
    "config_not_ready_error",
]
