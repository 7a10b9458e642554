"""Counts the runners that ended under requests with the same fingerprint.

All entries exchange the records of this ledger. Records merge by their highest verdict,
so their order and repetition do not matter.

Runners that end at the same time under copies of one request count once, as all of them
may have another cause. So an attempt has a round: one more than the rounds that were
known when it was sent. A request is held after two rounds; if another request was lost
with both of these runners, after three, as either of the two may be innocent.

A request that this entry has seen answered is most likely lost because of others. It
is held after six rounds in a row: while it may run, an answer can clear it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import IntEnum
from itertools import islice

_MAX_ROUNDS_ALONE = 2
_MAX_ROUNDS = 3
_MAX_ROUNDS_ANSWERED = 6
_UNCONFIRMED_S = 30.0  # nobody judges a runner that late; its entry may have ended
QUARANTINE_S = 3600.0  # a client that repeats a request for longer needs an operator
_HELD_RETRY_S = 1.0  # a lost attempt is usually judged within it
_SETTLED_S = 10.0  # longer than a runner that ended stays registered
_SHARE_S = 10.0  # outlasts the loss of several updates, and short partitions
_MAX_SHARED = 8  # about 500 bytes; an update should fit into one packet
_MAX_FINGERPRINTS = 4096  # about 2 MB


class Verdict(IntEnum):
    """What is known of the runner of a lost attempt; later values override earlier."""

    UNCONFIRMED = 0
    ALIVE = 1
    ENDED = 2
    CLEARED = 3


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt that ended without an answer, possibly because its runner ended.

    :param runner_life: the runner's id and start time.
    :param round: one more than the crash rounds known when the attempt was sent.
    """

    fingerprint: str
    runner_life: str
    round: int
    verdict: Verdict = Verdict.UNCONFIRMED

    @property
    def counts(self) -> bool:
        """Whether the attempt counts against its fingerprint."""
        return self.verdict in (Verdict.UNCONFIRMED, Verdict.ENDED)


def runner_life(runner_id: str, started_ms: int) -> str:
    """Return the name of a runner's process between two starts."""
    return f"{runner_id}/{started_ms}"


def _kept_s(lost: LostAttempt) -> float:
    if lost.verdict is Verdict.UNCONFIRMED:
        return _UNCONFIRMED_S
    return QUARANTINE_S if lost.counts else _SETTLED_S


class _Record:
    """A lost attempt, and when this entry learned of its verdict."""

    __slots__ = ("lost", "changed_at")

    def __init__(self, lost: LostAttempt, now: float) -> None:
        self.lost = lost
        self.changed_at = now


class CrashLedger:
    """The lost attempts of all entries, and the quarantined fingerprints."""

    __slots__ = (
        "_records_by_fingerprint",
        "_ends_at_by_fingerprint",
        "_learned",
        "_fingerprints_by_life",
        "_repeated",
        "_lost_at_by_life",
        "_sharing",
        "_answered",
    )

    def __init__(self) -> None:
        self._records_by_fingerprint: dict[str, dict[str, _Record]] = {}
        self._ends_at_by_fingerprint: dict[str, float] = {}
        # Quarantines that do not follow from the records of this entry.
        self._learned: set[str] = set()
        self._fingerprints_by_life: dict[str, set[str]] = {}
        # Fingerprints with two or more records; only these can be over the limit.
        self._repeated: set[str] = set()
        self._lost_at_by_life: dict[str, float] = {}
        # Keys of the records that the next updates carry; the next one comes first.
        self._sharing: dict[tuple[str, str], None] = {}
        # Fingerprints that were answered here, the latest one last.
        self._answered: dict[str, None] = {}

    def quarantined(self) -> set[str]:
        """Return the quarantined fingerprints."""
        return set(self._ends_at_by_fingerprint)

    def quarantine_left_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a quarantine ends; 0 if there is none."""
        return max(self._ends_at_by_fingerprint.get(fingerprint, now) - now, 0.0)

    def rounds(self, fingerprint: str) -> int:
        """Return the crash rounds that count against a fingerprint."""
        records = self._records_by_fingerprint.get(fingerprint, {}).values()
        return len({record.lost.round for record in records if record.lost.counts})

    def held_s(self, fingerprint: str, now: float) -> float | None:
        """Return the seconds until a request may run; ``None`` if it may run now."""
        remaining_s = self.quarantine_left_s(fingerprint, now)
        if self._is_trusted(fingerprint):
            return None
        if remaining_s > 0.0:
            return remaining_s
        return _HELD_RETRY_S if self._is_over_limit(fingerprint) else None

    def merge(self, lost: LostAttempt, now: float) -> bool:
        """Add a record, or apply its verdict; return whether this changes anything."""
        records = self._records_by_fingerprint.setdefault(lost.fingerprint, {})
        record = records.get(lost.runner_life)
        if record is None:
            records[lost.runner_life] = _Record(lost, now)
            self._lost_at_by_life[lost.runner_life] = now
            self._fingerprints_by_life.setdefault(lost.runner_life, set()).add(
                lost.fingerprint
            )
            if len(records) > 1:
                self._repeated.add(lost.fingerprint)
            self._evict_oldest()
        else:
            merged = replace(
                record.lost,
                round=min(record.lost.round, lost.round),
                verdict=max(record.lost.verdict, lost.verdict),
            )
            if merged == record.lost:
                return False
            record.lost = merged
            record.changed_at = now
        self._sharing[lost.fingerprint, lost.runner_life] = None
        if lost.verdict is Verdict.CLEARED:
            self._lift(lost.fingerprint)
        # The record may show that other requests were lost with the same runners.
        for fingerprint in self._repeated_at(lost.runner_life):
            self._update_quarantine(fingerprint, now)
        return True

    def judge(self, life: str, verdict: Verdict, now: float) -> list[LostAttempt]:
        """Apply a verdict on a runner to its lost attempts; return those changed."""
        lost_attempts = (
            self._records_by_fingerprint[fingerprint][life].lost
            for fingerprint in self._fingerprints_by_life.get(life, ())
        )
        changed = [
            replace(lost, verdict=verdict)
            for lost in lost_attempts
            if lost.verdict < verdict
        ]
        for lost in changed:
            self.merge(lost, now)
        return changed

    def recent_lives(self) -> set[str]:
        """Return the runners whose lost attempts are open to further evidence."""
        return set(self._lost_at_by_life)

    def clear(self, fingerprint: str, now: float) -> bool:
        """Discard what counts against a fingerprint; return whether there was any."""
        records = self._records_by_fingerprint.get(fingerprint, {})
        changed = [
            replace(record.lost, verdict=Verdict.CLEARED)
            for record in records.values()
            if record.lost.verdict is not Verdict.CLEARED
        ]
        for lost in changed:
            self.merge(lost, now)
        return self._lift(fingerprint) or bool(changed)

    def record_answer(self, fingerprint: str) -> None:
        """Record that a runner has answered a request completely."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = None
        if len(self._answered) > _MAX_FINGERPRINTS:
            del self._answered[next(iter(self._answered))]

    def quarantine(self, fingerprint: str, remaining_s: float, now: float) -> None:
        """Hold a fingerprint that another entry has quarantined."""
        self._ends_at_by_fingerprint[fingerprint] = now + remaining_s
        self._learned.add(fingerprint)

    def next_shared(self, now: float) -> tuple[LostAttempt, ...]:
        """Return the records for the next update to the other entries."""
        shared = []
        for key in list(islice(self._sharing, _MAX_SHARED)):
            del self._sharing[key]
            record = self._records_by_fingerprint.get(key[0], {}).get(key[1])
            if record is not None and now - record.changed_at <= _SHARE_S:
                self._sharing[key] = None
                shared.append(record.lost)
        return tuple(shared)

    def expire(self, now: float) -> None:
        """Discard records and quarantines that are over."""
        for fingerprint, ends_at in list(self._ends_at_by_fingerprint.items()):
            if now >= ends_at:
                self.clear(fingerprint, now)
        for fingerprint, records in list(self._records_by_fingerprint.items()):
            for life, record in list(records.items()):
                if now - record.changed_at > _kept_s(record.lost):
                    self._delete(fingerprint, life)
        for life, lost_at in list(self._lost_at_by_life.items()):
            if now - lost_at > _SETTLED_S:
                del self._lost_at_by_life[life]

    def _is_trusted(self, fingerprint: str) -> bool:
        """Whether losses may be due to others: it was answered here before.

        A quarantine without losses that this entry knows of is respected.
        """
        if fingerprint not in self._answered:
            return False
        return 0 < self.rounds(fingerprint) < _MAX_ROUNDS_ANSWERED

    def _counted(self, fingerprint: str, min_verdict: Verdict) -> list[LostAttempt]:
        records = self._records_by_fingerprint.get(fingerprint, {}).values()
        return [
            record.lost
            for record in records
            if record.lost.counts and record.lost.verdict >= min_verdict
        ]

    def _is_over_limit(
        self, fingerprint: str, min_verdict: Verdict = Verdict.UNCONFIRMED
    ) -> bool:
        counted = self._counted(fingerprint, min_verdict)
        rounds = len({lost.round for lost in counted})
        if rounds < _MAX_ROUNDS_ALONE:
            return False
        if fingerprint in self._answered:
            return rounds >= _MAX_ROUNDS_ANSWERED
        return rounds >= _MAX_ROUNDS or self._is_alone(fingerprint, counted)

    def _is_alone(self, fingerprint: str, counted: list[LostAttempt]) -> bool:
        """Whether no other request was lost with two or more of the same runners."""
        others = Counter(
            other
            for lost in counted
            for other in self._repeated_at(lost.runner_life)
            if self._records_by_fingerprint[other][lost.runner_life].lost.counts
        )
        del others[fingerprint]
        return max(others.values(), default=0) < _MAX_ROUNDS_ALONE

    def _repeated_at(self, life: str) -> set[str]:
        return self._fingerprints_by_life[life] & self._repeated

    def _update_quarantine(self, fingerprint: str, now: float) -> None:
        if self._is_over_limit(fingerprint, Verdict.ENDED):
            self._ends_at_by_fingerprint.setdefault(fingerprint, now + QUARANTINE_S)
        elif fingerprint not in self._learned:
            self._lift(fingerprint)

    def _lift(self, fingerprint: str) -> bool:
        self._learned.discard(fingerprint)
        return self._ends_at_by_fingerprint.pop(fingerprint, None) is not None

    def _evict_oldest(self) -> None:
        if len(self._records_by_fingerprint) > _MAX_FINGERPRINTS:
            oldest = next(iter(self._records_by_fingerprint))
            for life in list(self._records_by_fingerprint[oldest]):
                self._delete(oldest, life)

    def _delete(self, fingerprint: str, life: str) -> None:
        records = self._records_by_fingerprint[fingerprint]
        del records[life]
        if len(records) < 2:
            self._repeated.discard(fingerprint)
        if not records:
            del self._records_by_fingerprint[fingerprint]
        sharers = self._fingerprints_by_life[life]
        sharers.discard(fingerprint)
        if not sharers:
            del self._fingerprints_by_life[life]


__all__ = [
    "QUARANTINE_S",
    "CrashLedger",
    "LostAttempt",
    "Verdict",
    "runner_life",
]
