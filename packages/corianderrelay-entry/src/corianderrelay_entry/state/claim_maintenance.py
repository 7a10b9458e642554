"""Appends outcomes, settlements and the list of undated keys to a claims stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.claim_records import Outcome, OutcomeRecord

from .claim_settlement import ClaimSettlement, claimed_keys
from .keyed_actions import Action, AppendRecord, AuditSettlement
from .unrecorded_outcomes import OutcomeOrRelease, UnrecordedOutcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.state.claim_messages import TombstoneReply
    from corianderrelay.state.claims import ClaimFold, KeyState

    from .keyed_limits import KeyedLimits


class ClaimMaintenance:
    """Appends the outcomes that this entry knows; settles claims without an outcome.

    :param is_running_here: whether this entry has dispatched the request of a claim.
    """

    __slots__ = (
        "_limits",
        "_fold",
        "_is_running_here",
        "_unrecorded",
        "_settlement",
        "_undated_keys_due_at_s",
        "log_available",
    )

    def __init__(
        self,
        entry_id: str,
        limits: KeyedLimits,
        fold: ClaimFold,
        is_running_here: Callable[[KeyState], bool],
    ) -> None:
        self._limits = limits
        self._fold = fold
        self._is_running_here = is_running_here
        self._unrecorded = UnrecordedOutcomes(limits.outcome_retry_s)
        self._settlement = ClaimSettlement(entry_id, limits.settlement)
        self._undated_keys_due_at_s = 0.0
        self.log_available = False

    @property
    def is_idle(self) -> bool:
        """Whether every outcome that this entry knows was read back from the stream."""
        return not len(self._unrecorded)

    def append_outcome(self, record: OutcomeOrRelease, now: float) -> list[Action]:
        """Append a record now, or as soon as the log is available again."""
        self._unrecorded.add(record, now)
        return self._append_unrecorded(now)

    def drop_recorded(self, key: str) -> list[str]:
        """Remove the records of a key that no longer need to be appended.

        Returns the nonces of their claims.
        """
        return self._unrecorded.drop_recorded(key, self._fold.get(key))

    def settle(self, state: KeyState, now: float) -> list[Action]:
        """Start to settle a claim now, regardless of its age."""
        self._settlement.start(state, now)
        return list(self._settlement.due_tombstones(now))

    def on_tombstone_reply(self, reply: TombstoneReply, now: float) -> list[Action]:
        """Process an agent's reply to a tombstone."""
        record = self._settlement.outcome_of_tombstone_reply(reply, now)
        if record is None:
            return []
        return [*self._on_settled(record, now), *self._append_unrecorded(now)]

    def tick(self, now: float, wall_now_s: float) -> list[Action]:
        """Settle claims and append records that are due, if the log is available."""
        if not self.log_available:
            return []
        return [
            *self._settle_due(now),
            *self._append_unrecorded(now),
            *self._record_undated_keys(wall_now_s),
        ]

    def _settle_due(self, now: float) -> list[Action]:
        claims = list(self._fold.open_claims())
        self._settlement.retain(claimed_keys(claims))
        for state in claims:
            if not self._is_running_here(state) and self._settlement.is_due(state, now):
                self._settlement.start(state, now)
        tombstones = self._settlement.due_tombstones(now)
        settled = [
            action
            for record in self._settlement.timed_out(now)
            for action in self._on_settled(record, now)
        ]
        return [*tombstones, *settled]

    def _on_settled(self, record: OutcomeOrRelease, now: float) -> list[Action]:
        """Queue the record of a settlement; audit it if it is the claim's first one."""
        state = self._fold.get(record.key)
        is_first = self._unrecorded.add(record, now)
        if not is_first or state is None or state.claim is None:
            return []
        outcome = Outcome.NOT_RUN
        if isinstance(record, OutcomeRecord):
            outcome = record.outcome
        return [AuditSettlement(state.claim, outcome)]

    def _append_unrecorded(self, now: float) -> list[Action]:
        if not self.log_available:
            return []
        return [AppendRecord(record) for record in self._unrecorded.take_due(now)]

    def _record_undated_keys(self, wall_now_s: float) -> list[Action]:
        fold = self._fold
        due_at_s = max(
            self._undated_keys_due_at_s,
            fold.remembered_keys_written_s + self._limits.undated_keys_interval_s,
        )
        if wall_now_s < due_at_s or not fold.has_all_undated_keys:
            return []
        self._undated_keys_due_at_s = wall_now_s + self._limits.outcome_retry_s
        return [AppendRecord(fold.build_remembered_keys_record(wall_now_s))]


__all__ = ["ClaimMaintenance"]
