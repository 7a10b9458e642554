"""One attempt to put a document in force, until its fate is known."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .config_fold import Verdict
    from .config_records import ConfigRecord


class PublicationState(Enum):
    """What is known of a publication."""

    OPEN = "open"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


class Publication:
    """A record under way; only its own nonce, read back, tells that it is in force."""

    __slots__ = ("record", "state", "verdict", "is_outcome_unknown")

    def __init__(self, record: ConfigRecord) -> None:
        self.record = record
        self.state = PublicationState.OPEN
        self.verdict: Verdict | None = None
        self.is_outcome_unknown = False

    def on_append_failed(self) -> None:
        """Note that the append had no effect."""
        if self.state is PublicationState.OPEN:
            self.state = PublicationState.NOT_APPENDED

    def on_append_outcome_unknown(self) -> None:
        """Note that the append may have had its effect, now or later."""
        self.is_outcome_unknown = True

    def on_unread_records_dropped(self) -> None:
        """Note that records were dropped which may have held this one."""
        if self.state is PublicationState.OPEN:
            self.state = PublicationState.UNKNOWN

    def on_verdict(self, verdict: Verdict) -> None:
        """Take a judged record of the stream."""
        if self.state is not PublicationState.OPEN:
            return
        if verdict.record.nonce == self.record.nonce:
            self.verdict = verdict
            accepted = verdict.accepted
            self.state = (
                PublicationState.ACCEPTED if accepted else PublicationState.REJECTED
            )
        elif verdict.accepted and verdict.record.version >= self.record.version:
            # Another took the place, so this one is rejected wherever it lands.
            self.state = PublicationState.REJECTED


__all__ = ["Publication", "PublicationState"]
