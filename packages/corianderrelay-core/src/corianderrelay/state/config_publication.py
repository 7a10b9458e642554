"""One attempt to publish a document, tracked until its outcome is known."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .config_fold import Verdict
    from .config_records import ConfigRecord


class PublicationState(Enum):
    """Outcome of a publication, as far as it is known."""

    OPEN = "open"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


class Publication:
    """A record being published; it is accepted only once its nonce is read back."""

    __slots__ = ("record", "state", "verdict", "is_outcome_unknown")

    def __init__(self, record: ConfigRecord) -> None:
        self.record = record
        self.state = PublicationState.OPEN
        self.verdict: Verdict | None = None
        self.is_outcome_unknown = False

    def on_append_failed(self) -> None:
        """Record that the append had no effect."""
        if self.state is PublicationState.OPEN:
            self.state = PublicationState.NOT_APPENDED

    def on_append_outcome_unknown(self) -> None:
        """Record that the append may take effect, now or later."""
        self.is_outcome_unknown = True

    def on_unread_records_dropped(self) -> None:
        """Record that this record may be among those that were dropped unread."""
        if self.state is PublicationState.OPEN:
            self.state = PublicationState.UNKNOWN

    def on_verdict(self, verdict: Verdict) -> None:
        """Update the state from the verdict on a record of the stream."""
        if self.state is not PublicationState.OPEN:
            return
        if verdict.record.nonce == self.record.nonce:
            self.verdict = verdict
            accepted = verdict.accepted
            self.state = (
                PublicationState.ACCEPTED if accepted else PublicationState.REJECTED
            )
        elif verdict.accepted and verdict.record.version >= self.record.version:
            # Its version number is taken, so this record is rejected at any offset.
            self.state = PublicationState.REJECTED


__all__ = ["Publication", "PublicationState"]
