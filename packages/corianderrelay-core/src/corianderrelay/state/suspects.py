"""Tracks which requests are suspected of crashing engines, folded from the log.

Every reader of the stream computes the same status for each fingerprint. A request that
was running when one engine died is a suspect and may run only in a trial, one trial at
a time. After two deaths it is quarantined.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .suspect_records import (
    DeathRecord,
    LiftRecord,
    TrialEndRecord,
    TrialOutcome,
    TrialRecord,
)

if TYPE_CHECKING:
    from .suspect_records import AnySuspectRecord

_DEATHS_UNTIL_QUARANTINE = 2


class SuspectStatus(Enum):
    """The status of a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    ON_TRIAL = "on_trial"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Suspicion:
    """The deaths and trials of one fingerprint.

    :param death_ids: ids of the engine deaths that are counted against it.
    :param trial_nonce: nonce of the open trial; empty if there is none.
    :param trial_entry: id of the entry whose trial was granted last.
    :param nonces: nonces of all trials that were granted.
    :param number: offset of the latest record that counted a death against it.
    """

    death_ids: set[str] = field(default_factory=set)
    trial_nonce: str = ""
    trial_entry: str = ""
    nonces: set[str] = field(default_factory=set)
    number: int = -1


class SuspectLedger:
    """Folds the stream of suspects into the status of each fingerprint."""

    __slots__ = (
        "_suspicions_by_fingerprint",
        "_cleared_at_by_fingerprint",
        "_settled_by_fingerprint",
    )

    def __init__(self) -> None:
        self._suspicions_by_fingerprint: dict[str, Suspicion] = {}
        self._cleared_at_by_fingerprint: dict[str, int] = {}
        self._settled_by_fingerprint: dict[str, set[str]] = {}

    def apply(self, offset: int, record: AnySuspectRecord) -> None:
        """Fold the record at this offset."""
        match record:
            case DeathRecord():
                self._on_death(offset, record)
            case TrialRecord():
                self._on_trial(offset, record)
            case TrialEndRecord():
                self._on_trial_end(offset, record)
            case LiftRecord():
                self._clear(offset, record.fingerprint)

    def status(self, fingerprint: str) -> SuspectStatus:
        """Return the status of a fingerprint."""
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return SuspectStatus.CLEAR
        if len(suspicion.death_ids) >= _DEATHS_UNTIL_QUARANTINE:
            return SuspectStatus.QUARANTINED
        if suspicion.trial_nonce:
            return SuspectStatus.ON_TRIAL
        return SuspectStatus.SUSPECT

    def suspicion(self, fingerprint: str) -> Suspicion | None:
        """Return the deaths and trials of a fingerprint; ``None`` if it is clear."""
        return self._suspicions_by_fingerprint.get(fingerprint)

    def cleared_at(self, fingerprint: str) -> int:
        """Return the offset at which the fingerprint was last cleared; -1 if never."""
        return self._cleared_at_by_fingerprint.get(fingerprint, -1)

    def settled_deaths(self, fingerprint: str) -> tuple[str, ...]:
        """Return the ids of the deaths of which the fingerprint was cleared, sorted."""
        return tuple(sorted(self._settled_by_fingerprint.get(fingerprint, ())))

    def has_recorded_death(self, fingerprint: str, death_id: str) -> bool:
        """Return whether a death counts against the fingerprint or is settled."""
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        counted_ids = suspicion.death_ids if suspicion is not None else set()
        settled = self._settled_by_fingerprint.get(fingerprint, set())
        return death_id in counted_ids or death_id in settled

    def suspects_by_status(self) -> dict[SuspectStatus, list[str]]:
        """Return all fingerprints that are not clear, grouped by status."""
        fingerprints_by_status: dict[SuspectStatus, list[str]] = {}
        for fingerprint in self._suspicions_by_fingerprint:
            fingerprints_by_status.setdefault(self.status(fingerprint), []).append(
                fingerprint
            )
        return fingerprints_by_status

    def _on_death(self, offset: int, record: DeathRecord) -> None:
        if self.has_recorded_death(record.fingerprint, record.death_id):
            return
        suspicion = self._suspicions_by_fingerprint.setdefault(
            record.fingerprint, Suspicion()
        )
        suspicion.death_ids.add(record.death_id)
        suspicion.number = offset

    def _on_trial(self, offset: int, record: TrialRecord) -> None:
        suspicion = self._suspicions_by_fingerprint.get(record.fingerprint)
        if suspicion is None or record.nonce in suspicion.nonces:
            return
        if self.status(record.fingerprint) is SuspectStatus.SUSPECT:
            suspicion.nonces.add(record.nonce)
            suspicion.trial_nonce = record.nonce
            suspicion.trial_entry = record.entry_id

    def _on_trial_end(self, offset: int, record: TrialEndRecord) -> None:
        suspicion = self._suspicions_by_fingerprint.get(record.fingerprint)
        if suspicion is None or record.nonce not in suspicion.nonces:
            return
        if record.outcome is TrialOutcome.DONE:
            self._clear(offset, record.fingerprint)
            return
        if record.outcome is TrialOutcome.DIED:
            suspicion.death_ids.add(record.death_id or record.nonce)
            suspicion.number = offset
        if suspicion.trial_nonce == record.nonce:
            suspicion.trial_nonce = ""

    def _clear(self, offset: int, fingerprint: str) -> None:
        suspicion = self._suspicions_by_fingerprint.pop(fingerprint, None)
        if suspicion is not None:
            self._cleared_at_by_fingerprint[fingerprint] = offset
            settled = self._settled_by_fingerprint.setdefault(fingerprint, set())
            settled |= suspicion.death_ids


__all__ = ["SuspectLedger", "SuspectStatus", "Suspicion"]
