"""State machine of the coordinator of a group's map switches.

Every call takes an event and returns the actions to carry out. An attempt is staged on
all ranks, begun in the log, armed on all ranks, decided by an append to the log and
announced to all ranks. Until it has appended a commit, the coordinator may abort the
attempt at any time, because no other process can commit it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .known_outcomes import KnownOutcomes
from .roster import roster_digest
from .switch_rules import Phase, SwitchReport
from .switch_types import (
    AppendBeginRecord,
    AppendCommitRecord,
    Arm,
    Armed,
    ArmRefused,
    JoinQuery,
    JoinRefused,
    Outcome,
    OutcomeQuery,
    Send,
    Settled,
    Stage,
    Staged,
    SwitchAttempt,
    SwitchAttemptId,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .group_records import GroupState
    from .switch_rules import SwitchRules
    from .switch_types import AnySwitchMessage, CoordinatorAction, GroupMap


class SwitchCoordinator:
    """Decides the actions of one group's coordinator.

    The lead is the number of steps between the group's current step and the step of an
    attempt.

    :param ranks: number of ranks of the group.
    :ivar phase: phase of the current attempt.
    :ivar state: the latest folded state of the group; ``None`` until the fold contains
        this coordinator's start record.
    :ivar reports: reports of ended attempts, until the caller takes them.
    """

    __slots__ = (
        "phase",
        "state",
        "reports",
        "_ranks",
        "_rules",
        "_lead_steps",
        "_attempt_count",
        "_attempt",
        "_phase_started_at",
        "_last_sent_at",
        "_next_step_by_rank",
        "_staged_incarnation_by_rank",
        "_armed_incarnation_by_rank",
        "_newest_incarnation_by_rank",
        "_settled_ranks",
        "_highest_settled_step",
        "_outcomes",
        "_reason",
    )

    def __init__(self, ranks: int, rules: SwitchRules) -> None:
        self.phase = Phase.WAITING_FOR_EPOCH
        self.state: GroupState | None = None
        self.reports: list[SwitchReport] = []
        self._ranks = ranks
        self._rules = rules
        self._lead_steps = rules.lead_steps
        self._attempt_count = 0
        self._attempt: SwitchAttempt | None = None
        self._phase_started_at = 0.0
        self._last_sent_at = 0.0
        self._next_step_by_rank: dict[int, int] = {}
        self._staged_incarnation_by_rank: dict[int, int] = {}
        self._armed_incarnation_by_rank: dict[int, int] = {}
        self._newest_incarnation_by_rank: dict[int, int] = {}
        self._settled_ranks: set[int] = set()
        self._highest_settled_step = -1
        self._outcomes = KnownOutcomes()
        self._reason = ""

    @property
    def epoch(self) -> int:
        """Offset of this coordinator's start record, -1 before ``on_started``."""
        return self.state.epoch if self.state is not None else -1

    @property
    def idle(self) -> bool:
        """Whether a new attempt can start."""
        return self.phase is Phase.IDLE

    def on_started(self, state: GroupState) -> None:
        """Record the fold that ends with this coordinator's own start record."""
        self.state = state
        self.phase = Phase.IDLE

    def on_fold(self, state: GroupState) -> None:
        """Record a later fold of the stream; a newer coordinator fences this one."""
        if self.state is None:
            return
        if state.epoch > self.state.epoch:
            self.phase = Phase.FENCED
            return
        self.state = state

    def propose(self, group_map: GroupMap, now: float) -> list[CoordinatorAction]:
        """Start an attempt to switch to ``group_map``, unless one is in progress.

        The version of the map is assigned here: one more than that of the latest
        committed map.
        """
        if not self.idle or self.state is None:
            return []
        self._attempt_count += 1
        attempt_id = SwitchAttemptId(self.state.epoch, self._attempt_count)
        versioned_map = msgspec.structs.replace(
            group_map, version=self.state.next_version
        )
        self._attempt = SwitchAttempt(attempt_id, 0, versioned_map)
        self._next_step_by_rank.clear()
        self._staged_incarnation_by_rank.clear()
        self._armed_incarnation_by_rank.clear()
        self._settled_ranks.clear()
        self._highest_settled_step = -1
        self._enter_phase(Phase.STAGING, now)
        return self._current_messages(range(self._ranks))

    def on_message(
        self, rank: int, message: AnySwitchMessage, now: float
    ) -> list[CoordinatorAction]:
        """Handle a message from the agent of ``rank``."""
        if self.phase in (Phase.FENCED, Phase.WAITING_FOR_EPOCH):
            return []
        match message:
            case Staged():
                return self._on_staged(rank, message, now)
            case Armed():
                return self._on_armed(rank, message, now)
            case ArmRefused():
                return self._on_arm_refused(rank, message, now)
            case Settled():
                return self._on_settled(rank, message, now)
            case JoinQuery():
                self.record_incarnation(rank, message.incarnation)
            case OutcomeQuery():
                return self._answer_outcome(rank, message.attempt)
        return []

    def record_incarnation(self, rank: int, incarnation: int) -> None:
        """Record an incarnation of a rank's agent unless a newer one is known."""
        newest = self._newest_incarnation_by_rank.get(rank, -1)
        self._newest_incarnation_by_rank[rank] = max(newest, incarnation)

    def on_begun(self, valid: bool, now: float) -> list[CoordinatorAction]:
        """Handle the result of appending the begin record.

        :param valid: whether the record was appended and its fold opened the attempt.
        """
        if self.phase is not Phase.BEGINNING:
            return []
        if not valid:
            return self._end_attempt(
                False, "the begin record was not appended or not valid", now
            )
        self._enter_phase(Phase.ARMING, now)
        return self._current_messages(range(self._ranks))

    def on_decided(
        self, committed: bool, reason: str, now: float
    ) -> list[CoordinatorAction]:
        """Handle the result of appending the commit record, and end the attempt."""
        if self.phase is not Phase.DECIDING:
            return []
        return self._end_attempt(committed, reason, now)

    def tick(self, now: float) -> list[CoordinatorAction]:
        """Resend unanswered messages and abort an attempt whose phase timed out."""
        timeout_s = {
            Phase.STAGING: self._rules.stage_timeout_s,
            Phase.ARMING: self._rules.arm_timeout_s,
        }.get(self.phase)
        if timeout_s is not None and now - self._phase_started_at >= timeout_s:
            return self._end_attempt(False, f"{self.phase.value} timed out", now)
        rules = self._rules
        is_staging = self.phase is Phase.STAGING
        resend_s = rules.stage_resend_s if is_staging else rules.resend_s
        if now - self._last_sent_at < resend_s:
            return []
        self._last_sent_at = now
        return self._current_messages(self._unanswered_ranks())

    def _on_staged(
        self, rank: int, message: Staged, now: float
    ) -> list[CoordinatorAction]:
        if not self._is_current(message.attempt, Phase.STAGING):
            return []
        refusals = self._refuse_stale(rank, message.incarnation)
        if refusals:
            return refusals
        self._staged_incarnation_by_rank[rank] = message.incarnation
        self._next_step_by_rank[rank] = message.next_step
        if len(self._next_step_by_rank) < self._ranks:
            return []
        return self._append_begin(now)

    def _append_begin(self, now: float) -> list[CoordinatorAction]:
        assert self._attempt is not None and self.state is not None
        # A group without a map runs no steps, so its first switch needs no lead.
        lead_steps = self._lead_steps if self.state.maps else 0
        step = max(self._next_step_by_rank.values()) + lead_steps
        step = max(step, self.state.last_step + 1)
        self._attempt = msgspec.structs.replace(self._attempt, step=step)
        self._enter_phase(Phase.BEGINNING, now)
        return [AppendBeginRecord(self._attempt)]

    def _on_armed(
        self, rank: int, message: Armed, now: float
    ) -> list[CoordinatorAction]:
        if not self._is_current(message.attempt, Phase.ARMING):
            return []
        for known in message.roster:
            self.record_incarnation(known.rank, known.incarnation)
        refusals = self._refuse_stale(rank, message.incarnation)
        if refusals:
            return refusals
        self._armed_incarnation_by_rank[rank] = message.incarnation
        if not self._all_armed():
            return []
        self._enter_phase(Phase.DECIDING, now)
        return [AppendCommitRecord(message.attempt)]

    def _all_armed(self) -> bool:
        return len(self._armed_incarnation_by_rank) == self._ranks and all(
            incarnation >= self._newest_incarnation_by_rank.get(rank, -1)
            for rank, incarnation in self._armed_incarnation_by_rank.items()
        )

    def _on_arm_refused(
        self, rank: int, message: ArmRefused, now: float
    ) -> list[CoordinatorAction]:
        if not self._is_current(message.attempt, Phase.ARMING):
            return []
        if message.unsettled is not None:
            return self._answer_outcome(rank, message.unsettled)
        if message.next_step > self._step_of_attempt():
            self._double_lead()
            return self._end_attempt(
                False, f"rank {rank} had already started the step", now
            )
        return self._end_attempt(False, f"rank {rank} has not staged the map", now)

    def _step_of_attempt(self) -> int:
        return self._attempt.step if self._attempt is not None else -1

    def _on_settled(
        self, rank: int, message: Settled, now: float
    ) -> list[CoordinatorAction]:
        if self._is_current(message.attempt, Phase.SETTLING):
            self._settled_ranks.add(rank)
            self._highest_settled_step = max(
                self._highest_settled_step, message.next_step
            )
            if len(self._settled_ranks) == self._ranks:
                self._adapt_lead()
                self._attempt = None
                self._enter_phase(Phase.IDLE, now)
        return []

    def _adapt_lead(self) -> None:
        if self._highest_settled_step >= self._step_of_attempt():
            self._double_lead()
        else:
            self._lead_steps = max(self._lead_steps - 1, 1)

    def _double_lead(self) -> None:
        self._lead_steps = min(self._lead_steps * 2, self._rules.max_lead_steps)

    def _refuse_stale(self, rank: int, incarnation: int) -> list[CoordinatorAction]:
        newest = self._newest_incarnation_by_rank.get(rank, -1)
        if incarnation < newest:
            return [Send(rank, JoinRefused(newest))]
        self._newest_incarnation_by_rank[rank] = incarnation
        return []

    def _answer_outcome(
        self, rank: int, queried_id: SwitchAttemptId
    ) -> list[CoordinatorAction]:
        assert self.state is not None
        committed = self._outcomes.get(queried_id)
        if committed is None and queried_id.epoch < self.state.epoch:
            committed = self.state.outcome_of(queried_id)
        return [] if committed is None else [Send(rank, Outcome(queried_id, committed))]

    def _end_attempt(
        self, committed: bool, reason: str, now: float
    ) -> list[CoordinatorAction]:
        assert self._attempt is not None
        attempt = self._attempt
        self._outcomes.add(attempt.id, committed)
        self.reports.append(
            SwitchReport(attempt.id, attempt.group_map, attempt.step, committed, reason)
        )
        self._enter_phase(Phase.SETTLING, now)
        return self._current_messages(range(self._ranks))

    def _is_current(self, attempt: SwitchAttemptId, phase: Phase) -> bool:
        current = self._attempt
        return current is not None and current.id == attempt and self.phase is phase

    def _unanswered_ranks(self) -> Iterable[int]:
        ranks = range(self._ranks)
        match self.phase:
            case Phase.STAGING:
                return [rank for rank in ranks if rank not in self._next_step_by_rank]
            case Phase.ARMING:
                return [rank for rank in ranks if not self._is_armed(rank)]
            case Phase.SETTLING:
                return [rank for rank in ranks if rank not in self._settled_ranks]
        return []

    def _is_armed(self, rank: int) -> bool:
        armed = self._armed_incarnation_by_rank.get(rank, -1)
        return armed >= self._newest_incarnation_by_rank.get(rank, 0)

    def _current_messages(self, ranks: Iterable[int]) -> list[CoordinatorAction]:
        attempt = self._attempt
        if attempt is None:
            return []
        message: AnySwitchMessage
        match self.phase:
            case Phase.STAGING:
                message = Stage(attempt.id, attempt.group_map)
            case Phase.ARMING:
                message = self._arm_message(attempt)
            case Phase.SETTLING:
                message = Outcome(attempt.id, bool(self._outcomes.get(attempt.id)))
            case _:
                return []
        return [Send(rank, message) for rank in ranks]

    def _arm_message(self, attempt: SwitchAttempt) -> Arm:
        group_map = msgspec.structs.replace(attempt.group_map, body=b"")
        attempt_without_body = msgspec.structs.replace(attempt, group_map=group_map)
        return Arm(
            attempt_without_body, roster_digest(self._staged_incarnation_by_rank)
        )

    def _enter_phase(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._phase_started_at = now
        self._last_sent_at = now


__all__ = ["SwitchCoordinator"]
