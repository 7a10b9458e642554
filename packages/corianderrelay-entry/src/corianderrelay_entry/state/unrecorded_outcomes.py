"""Outcomes that this entry knows but has not yet read back from the claims stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from corianderrelay.state.claim_records import Outcome, OutcomeRecord, ReleaseRecord

if TYPE_CHECKING:
    from corianderrelay.state.claims import KeyState

OutcomeOrRelease = OutcomeRecord | ReleaseRecord


@dataclass(slots=True)
class _Unrecorded:
    """A record and the monotonic time in seconds of its next append."""

    record: OutcomeOrRelease
    append_at_s: float


class UnrecordedOutcomes:
    """Schedules each record again until the stream has it or one that supersedes it.

    :param retry_s: time between two appends of the same record, in seconds.
    """

    __slots__ = ("_retry_s", "_by_nonce_by_key")

    def __init__(self, retry_s: float) -> None:
        self._retry_s = retry_s
        self._by_nonce_by_key: dict[str, dict[str, _Unrecorded]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_nonce_by_key.values()))

    def add(self, record: OutcomeOrRelease, now: float) -> bool:
        """Queue a record; return whether it is the first one of its claim.

        The first record of a claim is kept; only a record with an answer replaces it.
        """
        by_nonce = self._by_nonce_by_key.setdefault(record.key, {})
        is_first = record.nonce not in by_nonce
        if is_first or _is_answer(record):
            by_nonce[record.nonce] = _Unrecorded(record, now)
        return is_first

    def take_due(self, now: float) -> list[OutcomeOrRelease]:
        """Return the records to append now, and schedule their next append."""
        due = [
            one
            for by_nonce in self._by_nonce_by_key.values()
            for one in by_nonce.values()
            if one.append_at_s <= now
        ]
        for one in due:
            one.append_at_s = now + self._retry_s
        return [one.record for one in due]

    def drop_recorded(self, key: str, state: KeyState | None) -> list[str]:
        """Remove the records of a key that ``state`` supersedes.

        Returns the nonces of their claims.
        """
        by_nonce = self._by_nonce_by_key.get(key, {})
        recorded = [
            nonce
            for nonce, one in by_nonce.items()
            if _is_superseded(one.record, state)
        ]
        for nonce in recorded:
            del by_nonce[nonce]
        if not by_nonce:
            self._by_nonce_by_key.pop(key, None)
        return recorded


def _is_answer(record: OutcomeOrRelease) -> bool:
    return isinstance(record, OutcomeRecord) and record.outcome is Outcome.DONE


def _is_superseded(record: OutcomeOrRelease, state: KeyState | None) -> bool:
    if state is None or state.claim is None or state.claim.nonce != record.nonce:
        return True
    known = state.outcome
    if known is None:
        return False
    return known.outcome is Outcome.DONE or not _is_answer(record)


__all__ = ["OutcomeOrRelease", "UnrecordedOutcomes"]
