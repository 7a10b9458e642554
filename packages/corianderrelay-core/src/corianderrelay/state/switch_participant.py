"""State machine of one rank that takes part in its group's map switches.

The rank knows the committed maps and the attempts for which its engine must hold. It
compares them with the engine's status and sends one order at a time until both agree.
It reports to the coordinator only what the engine's status confirms. While the
outcome of an attempt is unknown, the engine holds, and the rank queries the
coordinator, its peers and the log.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from .group_view import GroupView
from .rank_engine import EngineView
from .rank_join import RankJoin
from .roster import roster_digest, roster_of
from .sent_reports import RankReport, SentReports
from .switch_types import (
    Arm,
    Armed,
    ArmRefused,
    JoinAnswer,
    JoinQuery,
    JoinRefused,
    Outcome,
    OutcomeQuery,
    ReadGroupLog,
    Send,
    Settled,
    Stage,
    Staged,
    SwitchAttempt,
    SwitchAttemptId,
)

if TYPE_CHECKING:
    from .group_records import GroupState
    from .switch_types import AnySwitchMessage, EngineMapStatus, GroupMap, RankAction

COORDINATOR_RANK = 0


@dataclass(slots=True, frozen=True)
class RankRules:
    """Intervals and timeouts of a rank.

    :param query_interval_s: interval at which unanswered queries are sent again.
    :param unknown_hold_timeout_s: how long the engine may be blocked by a hold of an
        unknown attempt before the rank joins again.
    """

    query_interval_s: float = 0.2
    unknown_hold_timeout_s: float = 1.0


class SwitchParticipant:
    """Decides the actions of one rank's agent; each call returns the next actions.

    :param ranks: number of ranks of the group.
    :param incarnation: number of this start of the agent; later starts have higher
        numbers.
    """

    __slots__ = (
        "joined",
        "superseding_incarnation",
        "rank",
        "_ranks",
        "_rules",
        "_join",
        "_engine",
        "_staging_attempt",
        "_group",
        "_roster_digest_by_attempt",
        "_last_ended_attempt",
        "_sent_reports",
        "_last_query_at",
        "_last_queried_peer",
        "_unknown_hold_since",
        "_joining_engine_incarnation",
        "_joined_engine_incarnation",
    )

    def __init__(
        self, rank: int, ranks: int, incarnation: int, rules: RankRules
    ) -> None:
        self.joined = False
        self.superseding_incarnation: int | None = None
        self.rank = rank
        self._ranks = ranks
        self._rules = rules
        self._join = RankJoin(rank, ranks, incarnation)
        self._engine = EngineView()
        self._staging_attempt: tuple[SwitchAttemptId, GroupMap] | None = None
        self._group = GroupView()
        self._roster_digest_by_attempt: dict[SwitchAttemptId, int] = {}
        self._last_ended_attempt: SwitchAttemptId | None = None
        self._sent_reports = SentReports()
        self._last_query_at = 0.0
        self._last_queried_peer = rank
        self._unknown_hold_since: float | None = None
        self._joining_engine_incarnation: int | None = None
        self._joined_engine_incarnation: int | None = None

    @property
    def incarnation(self) -> int:
        """Incarnation that this agent puts into its messages."""
        return self._join.incarnation

    @property
    def superseded(self) -> bool:
        """Whether a newer agent of this rank exists and this one must not act."""
        return self.superseding_incarnation is not None

    def start(self, status: EngineMapStatus | None, now: float) -> list[RankAction]:
        """Start joining the group.

        :param status: the engine's status, read after the start of this agent.
        """
        self._last_query_at = now
        self._engine.start(status)
        self._joining_engine_incarnation = self._engine.incarnation
        return [*self._join.start()]

    def on_coordinator_started(self, state: GroupState) -> list[RankAction]:
        """Apply the fold that ends with the start record of this agent's coordinator.

        That record ends every earlier attempt, so this rank counts as joined.
        """
        queries: list[RankAction] = []
        if self.superseding_incarnation is not None:
            queries += self._restart_join(self.superseding_incarnation)
            self.superseding_incarnation = None
        self.joined = True
        self._joined_engine_incarnation = self._engine.incarnation
        self._engine.void_suspected_holds()
        return queries + self.on_fold(state)

    def on_fold(self, state: GroupState) -> list[RankAction]:
        """Apply a fold of the ``groups`` stream up to some record."""
        if self.superseded:
            return []
        self._group.apply_fold(state, self.joined)
        return self._next_actions()

    def on_status(
        self, status: EngineMapStatus | None, *, polled: bool = False
    ) -> list[RankAction]:
        """Record the engine's status, ``None`` if the engine is unavailable.

        :param polled: whether the status comes from a poll rather than after an order.
        """
        self._engine.record_status(status, polled)
        return [*self._rejoin_for_new_engine(), *self._next_actions()]

    def _rejoin_for_new_engine(self) -> list[RankAction]:
        """Join again if the engine has restarted.

        This agent may have been paused while a newer agent of the rank took over. Its
        maps may then be outdated and must not be sent to an engine that has no map.
        """
        engine = self._engine.incarnation
        unchanged = engine is None or engine == self._joined_engine_incarnation
        if unchanged or not self.joined or self.superseded or self._join.in_progress:
            return []
        return self._restart_join(self.incarnation)

    def _restart_join(self, newest: int) -> list[RankAction]:
        self._joining_engine_incarnation = self._engine.incarnation
        return [*self._join.restart_with_incarnation_above(newest)]

    def on_message(self, rank: int, message: AnySwitchMessage) -> list[RankAction]:
        """Handle a message from the agent of ``rank``."""
        if self.superseded:
            return []
        match message:
            case JoinQuery():
                return self._answer_join(rank, message)
            case JoinAnswer():
                return self._on_join_answer(rank, message)
            case JoinRefused():
                return self._on_join_refused(message)
            case OutcomeQuery():
                committed = self._group.outcomes.get(message.attempt)
                answer = Outcome(message.attempt, bool(committed))
                return [] if committed is None else [Send(rank, answer)]
        if not self.joined:
            return []
        match message:
            case Stage():
                self._on_stage(message)
            case Arm():
                return self._on_arm(message)
            case Outcome():
                return self._on_outcome(message)
        return self._next_actions()

    def tick(self, now: float) -> list[RankAction]:
        """Resend unanswered queries; rejoin if an unknown hold blocks the engine."""
        if self.superseded:
            return []
        rejoin = self._rejoin_on_unknown_hold(now)
        if rejoin or now - self._last_query_at < self._rules.query_interval_s:
            return rejoin
        self._last_query_at = now
        return [*self._pending_queries(), *self._next_actions()]

    def _pending_queries(self) -> list[RankAction]:
        actions: list[RankAction] = (
            [*self._join.unanswered_queries()] if self._join.in_progress else []
        )
        if not self._group.unsettled_by_id:
            return actions
        self._last_queried_peer = (self._last_queried_peer + 1) % self._ranks
        queried_ranks = sorted({COORDINATOR_RANK, self._last_queried_peer})
        for attempt_id in self._group.unsettled_by_id:
            actions += [Send(rank, OutcomeQuery(attempt_id)) for rank in queried_ranks]
        return [*actions, ReadGroupLog()]

    def _rejoin_on_unknown_hold(self, now: float) -> list[RankAction]:
        unknown = self.joined and self._engine.blocked_by_unknown_hold(
            self._group.steps_to_hold
        )
        if not unknown or self._join.in_progress:
            self._unknown_hold_since = None
            return []
        if self._unknown_hold_since is None:
            self._unknown_hold_since = now
        if now - self._unknown_hold_since < self._rules.unknown_hold_timeout_s:
            return []
        self._unknown_hold_since = None
        self._last_query_at = now
        self._engine.mark_holds_suspected()
        return self._restart_join(self.incarnation)

    def _answer_join(self, rank: int, query: JoinQuery) -> list[RankAction]:
        stale_refusal = self._join.stale_refusal(rank, query.incarnation)
        if stale_refusal is not None:
            return [Send(rank, stale_refusal)]
        self._join.record_incarnation(rank, query.incarnation)
        answer = JoinAnswer(
            querying_incarnation=query.incarnation,
            incarnation=self.incarnation,
            joined=self.joined,
            epoch=self._group.epoch,
            maps=self._group.maps,
            unsettled=tuple(self._group.unsettled_by_id.values()),
            roster=roster_of(self._join.newest_incarnation_by_rank),
        )
        return [Send(rank, answer)]

    def _on_join_answer(self, rank: int, answer: JoinAnswer) -> list[RankAction]:
        if not self._join.on_join_answer(rank, answer):
            return []
        self._group.on_join_answer(answer)
        if self._join.all_answered:
            self._finish_join()
        return self._next_actions()

    def _finish_join(self) -> None:
        self.joined = self.joined or self._join.any_peer_joined
        if self.joined:
            self._join.finish()
            self._joined_engine_incarnation = self._joining_engine_incarnation
            self._engine.void_suspected_holds()
        else:
            self._join.start()

    def _on_join_refused(self, refused: JoinRefused) -> list[RankAction]:
        if refused.newest <= self.incarnation:
            return []
        if self.joined:
            self.superseding_incarnation = refused.newest
            return []
        return self._restart_join(refused.newest)

    def _on_stage(self, message: Stage) -> None:
        if message.attempt.epoch < self._group.epoch:
            return
        self._group.epoch = message.attempt.epoch
        self._staging_attempt = (message.attempt, message.group_map)
        self._sent_reports.allow_resend(message.attempt, Staged)
        self._sent_reports.retain_attempts(
            {message.attempt, *self._group.unsettled_by_id}
        )

    def _on_arm(self, message: Arm) -> list[RankAction]:
        attempt = message.attempt
        if attempt.id.epoch < self._group.epoch or attempt.id in self._group.outcomes:
            return []
        if self._join.in_progress:
            return []
        if attempt.id not in self._group.unsettled_by_id:
            if self._engine.status is None:
                return []
            refusal = self._arm_refusal(attempt, self._engine.status)
            if refusal is not None:
                return [Send(COORDINATOR_RANK, refusal)]
            assert self._staging_attempt is not None
            attempt_with_body = msgspec.structs.replace(
                attempt, group_map=self._staging_attempt[1]
            )
            self._group.unsettled_by_id[attempt.id] = attempt_with_body
        self._roster_digest_by_attempt[attempt.id] = message.roster_digest
        self._sent_reports.allow_resend(attempt.id, Armed, ArmRefused)
        return self._next_actions()

    def _arm_refusal(
        self, attempt: SwitchAttempt, status: EngineMapStatus
    ) -> ArmRefused | None:
        other = next(iter(self._group.unsettled_by_id), None)
        staged = (
            self._staging_attempt is not None and self._staging_attempt[0] == attempt.id
        )
        if other is None and staged and status.next_step <= attempt.step:
            return None
        return ArmRefused(attempt.id, self.incarnation, status.next_step, other)

    def _on_outcome(self, message: Outcome) -> list[RankAction]:
        if message.committed and not self._group.can_apply_commit(message.attempt):
            return self._restart_join(self.incarnation)
        self._group.record_outcome(message.attempt, message.committed)
        self._last_ended_attempt = message.attempt
        self._sent_reports.allow_resend(message.attempt, Settled)
        return self._next_actions()

    def _next_actions(self) -> list[RankAction]:
        self._engine.void_holds(self._group.newly_ended_steps)
        self._group.newly_ended_steps.clear()
        self._roster_digest_by_attempt = {
            attempt_id: digest
            for attempt_id, digest in self._roster_digest_by_attempt.items()
            if attempt_id in self._group.unsettled_by_id
        }
        if not self.joined or self.superseded:
            return []
        staging = (
            self._staging_attempt[1] if self._staging_attempt is not None else None
        )
        engine_unchanged = self._engine.incarnation == self._joined_engine_incarnation
        maps = self._group.maps if engine_unchanged else ()
        order = self._engine.next_order(self._group.steps_to_hold, maps, staging)
        actions: list[RankAction] = [
            Send(COORDINATOR_RANK, report)
            for report in self._pending_reports()
            if self._sent_reports.record_if_new(report)
        ]
        if order is not None:
            actions.append(
                self._engine.mark_in_flight(order, max(self._group.epoch, 0))
            )
        return actions

    def _pending_reports(self) -> list[RankReport]:
        status = self._engine.status
        if status is None:
            return []
        return [
            *self._staged_report(status),
            *self._armed_reports(status),
            *self._settled_report(status),
        ]

    def _staged_report(self, status: EngineMapStatus) -> list[RankReport]:
        if self._staging_attempt is None:
            return []
        attempt_id, group_map = self._staging_attempt
        is_undecided = attempt_id not in self._group.outcomes
        is_unarmed = is_undecided and attempt_id not in self._group.unsettled_by_id
        latest_map_in_use = (
            not self._group.maps or status.next_step >= self._group.maps[0].from_step
        )
        if not is_unarmed or not latest_map_in_use:
            return []
        if group_map.digest not in status.staged_digests:
            return []
        return [Staged(attempt_id, self.incarnation, status.next_step)]

    def _armed_reports(self, status: EngineMapStatus) -> list[RankReport]:
        step_by_id = {
            attempt_id: self._group.unsettled_by_id[attempt_id].step
            for attempt_id in self._roster_digest_by_attempt
        }
        armed: list[RankReport] = [
            self._armed_report(attempt_id, self._roster_digest_by_attempt[attempt_id])
            for attempt_id, step in step_by_id.items()
            if step in status.held_steps
        ]
        too_late = [
            ArmRefused(attempt_id, self.incarnation, status.next_step)
            for attempt_id, step in step_by_id.items()
            if step not in status.held_steps and status.next_step > step
        ]
        return armed + too_late

    def _armed_report(self, attempt_id: SwitchAttemptId, digest: int) -> Armed:
        newest = self._join.newest_incarnation_by_rank
        roster = () if roster_digest(newest) == digest else roster_of(newest)
        return Armed(attempt_id, self.incarnation, roster)

    def _settled_report(self, status: EngineMapStatus) -> list[RankReport]:
        attempt_id = self._last_ended_attempt
        if attempt_id is None or attempt_id not in self._group.outcomes:
            return []
        if self._join.in_progress:
            return []
        if not self._engine.has_settled(self._group.steps_to_hold, self._group.maps):
            return []
        return [Settled(attempt_id, self.incarnation, status.next_step)]


__all__ = ["COORDINATOR_RANK", "RankRules", "SwitchParticipant"]
