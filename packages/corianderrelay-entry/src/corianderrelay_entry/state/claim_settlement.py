"""Settles claims that have no outcome, including those of other entries.

The agent named in the claim is sent a tombstone: the order not to start the claim if it
has not started it yet. Its reply, or a timeout, decides whether the claim is recorded
as released, done or unknown.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from corianderrelay.state.claim_messages import TombstoneReply, TombstoneRequest
from corianderrelay.state.claim_records import (
    MAX_KEPT_ANSWER_BYTES,
    Outcome,
    OutcomeRecord,
    ReleaseRecord,
)
from corianderrelay.state.http_status import is_final_status

from .keyed_actions import SendTombstone

if TYPE_CHECKING:
    from collections.abc import Iterable

    from corianderrelay.state.claim_records import ClaimRecord
    from corianderrelay.state.claims import KeyState

_JITTER_STEPS = 1024


@dataclass(slots=True, frozen=True)
class SettlementLimits:
    """Time limits for the settlement of claims, in seconds.

    :param min_age_s: minimum age at which any entry may settle a claim without outcome.
    :param jitter_s: upper bound of a delay per entry and claim, so that the entries do
        not all settle the same claim at once.
    :param interval_s: time between two tombstones for the same claim.
    :param unreachable_after_s: time without a reply from the agent after which the
        outcome is recorded as unknown.
    """

    min_age_s: float = 15.0
    jitter_s: float = 5.0
    interval_s: float = 2.0
    unreachable_after_s: float = 30.0


@dataclass(slots=True)
class _Settlement:
    """The settlement of one claim; the times are monotonic, in seconds.

    :param fence: log offset of the claim; a reply must state the same one.
    """

    claim: ClaimRecord
    fence: int
    unanswered_since_s: float
    next_tombstone_at_s: float


class ClaimSettlement:
    """The settlements that this entry has in progress, at most one per key."""

    __slots__ = ("_entry_id", "_limits", "_by_key")

    def __init__(self, entry_id: str, limits: SettlementLimits) -> None:
        self._entry_id = entry_id
        self._limits = limits
        self._by_key: dict[str, _Settlement] = {}

    def is_due(self, state: KeyState, now: float) -> bool:
        """Whether a claim without outcome is old enough for this entry to settle it."""
        assert state.claim is not None
        return (
            now
            >= state.claim_read_at_s
            + self._limits.min_age_s
            + self._claim_jitter_s(state.claim)
        )

    def start(self, state: KeyState, now: float) -> None:
        """Start the settlement of a claim unless it is already in progress."""
        assert state.claim is not None
        known = self._by_key.get(state.claim.key)
        if known is None or known.fence != state.fence:
            self._by_key[state.claim.key] = _Settlement(
                state.claim,
                state.fence,
                unanswered_since_s=now,
                next_tombstone_at_s=now,
            )

    def retain(self, claimed_keys: set[str]) -> None:
        """Remove the settlements of all keys that are not in ``claimed_keys``."""
        for key in self._by_key.keys() - claimed_keys:
            del self._by_key[key]

    def due_tombstones(self, now: float) -> list[SendTombstone]:
        """Return the tombstones that are due, and schedule the next ones."""
        due = [
            settlement
            for settlement in self._by_key.values()
            if settlement.next_tombstone_at_s <= now
        ]
        for settlement in due:
            if now > settlement.next_tombstone_at_s + self._limits.interval_s:
                # This entry was paused or disconnected, so the missing reply is no
                # evidence that the agent is unreachable.
                settlement.unanswered_since_s = now
            settlement.next_tombstone_at_s = now + self._limits.interval_s
        return [_tombstone_for(settlement) for settlement in due]

    def timed_out(self, now: float) -> list[OutcomeRecord]:
        """Return unknown outcomes for the claims whose agent did not reply in time."""
        return [
            unknown_record(settlement.claim, self._entry_id)
            for settlement in self._by_key.values()
            if now - settlement.unanswered_since_s >= self._limits.unreachable_after_s
        ]

    def outcome_of_tombstone_reply(
        self, reply: TombstoneReply, now: float
    ) -> ReleaseRecord | OutcomeRecord | None:
        """Return the record that follows from an agent's reply.

        ``None`` if the reply is for another claim or the request is still running.
        """
        settlement = self._by_key.get(reply.key)
        if settlement is None or reply.claim_offset != settlement.fence:
            return None
        if reply.incarnation != settlement.claim.incarnation or reply.forgotten:
            return unknown_record(settlement.claim, self._entry_id)
        settlement.unanswered_since_s = now
        if not reply.started:
            return release_record(settlement.claim, self._entry_id)
        if not reply.finished:
            return None
        if not is_final_status(reply.status):
            return unknown_record(settlement.claim, self._entry_id)
        return done_record(
            settlement.claim,
            self._entry_id,
            reply.status,
            reply.content_type,
            reply.body,
            reply.body_kept,
        )

    def _claim_jitter_s(self, claim: ClaimRecord) -> float:
        seed = f"{self._entry_id}\0{claim.nonce}".encode()
        step = xxhash.xxh3_64_intdigest(seed) % _JITTER_STEPS
        return self._limits.jitter_s * step / _JITTER_STEPS


def _tombstone_for(settlement: _Settlement) -> SendTombstone:
    request = TombstoneRequest(
        settlement.claim.key,
        settlement.fence,
        ticket_id=settlement.claim.ticket_id,
        incarnation=settlement.claim.incarnation,
    )
    return SendTombstone(settlement.claim.runner_id, request)


def release_record(claim: ClaimRecord, entry_id: str) -> ReleaseRecord:
    """Return the record that the claim's request was not run and never will be."""
    return ReleaseRecord(claim.key, claim.nonce, entry_id)


def unknown_record(claim: ClaimRecord, entry_id: str) -> OutcomeRecord:
    """Return the record that it is unknown whether the claim's request was run."""
    return OutcomeRecord(claim.key, claim.nonce, entry_id, Outcome.UNKNOWN)


def done_record(
    claim: ClaimRecord,
    entry_id: str,
    status: int,
    content_type: str,
    body: bytes,
    body_kept: bool = True,
) -> OutcomeRecord:
    """Return the record that the claim's request was run, with its answer.

    A body larger than ``MAX_KEPT_ANSWER_BYTES`` is left out.
    """
    kept = body_kept and len(body) <= MAX_KEPT_ANSWER_BYTES
    return OutcomeRecord(
        claim.key,
        claim.nonce,
        entry_id,
        Outcome.DONE,
        status,
        content_type,
        body if kept else b"",
        kept,
    )


def claimed_keys(states: Iterable[KeyState]) -> set[str]:
    """Return the keys of those ``states`` that have a claim."""
    return {state.claim.key for state in states if state.claim is not None}


__all__ = [
    "ClaimSettlement",
    "SettlementLimits",
    "done_record",
    "claimed_keys",
    "release_record",
    "unknown_record",
]
