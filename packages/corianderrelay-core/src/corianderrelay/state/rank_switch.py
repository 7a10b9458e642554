"""The part of one rank in its group's switches, as a state machine.

The rank knows which maps are in force and for which attempts its engine must hold.
It compares that with the engine's status and gives one order at a time until they
agree; it reports to the coordinator only what a status has confirmed. An attempt whose
outcome is not known stays held: the rank asks the coordinator, its peers and the log.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from .rank_engine import EngineView
from .rank_join import RankJoin
from .rank_knowledge import GroupView
from .rank_reports import RankReport, SentReports
from .roster import roster_digest, roster_of
from .switch_types import (
    Arm,
    Armed,
    ArmRefused,
    Attempt,
    AttemptId,
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
)

if TYPE_CHECKING:
    from .group_records import GroupState
    from .switch_types import AnySwitchMessage, EngineMapStatus, GroupMap, RankAction

COORDINATOR_RANK = 0


@dataclass(slots=True, frozen=True)
class RankRules:
    """Periods of a rank.

    :param ask_s: period after which an open question is asked again.
    :param unknown_hold_s: how long the engine may hold for an unknown attempt before
        the rank joins anew.
    """

    ask_s: float = 0.2
    unknown_hold_s: float = 1.0


class SwitchParticipant:
    """Decides for the agent of one rank.

    :param ranks: number of ranks of the group.
    :param incarnation: number of this start of the agent.
    """

    __slots__ = (
        "joined",
        "superseded_by",
        "rank",
        "_ranks",
        "_rules",
        "_join",
        "_engine",
        "_staging",
        "_known",
        "_armed_for_digest",
        "_settling",
        "_reported",
        "_asked_at",
        "_asked_peer",
        "_unknown_since",
        "_asked_for_engine",
        "_known_for_engine",
    )

    def __init__(
        self, rank: int, ranks: int, incarnation: int, rules: RankRules
    ) -> None:
        self.joined = False
        self.superseded_by: int | None = None
        self.rank = rank
        self._ranks = ranks
        self._rules = rules
        self._join = RankJoin(rank, ranks, incarnation)
        self._engine = EngineView()
        self._staging: tuple[AttemptId, GroupMap] | None = None
        self._known = GroupView()
        self._armed_for_digest: dict[AttemptId, int] = {}
        self._settling: AttemptId | None = None
        self._reported = SentReports()
        self._asked_at = 0.0
        self._asked_peer = rank
        self._unknown_since: float | None = None
        self._asked_for_engine: int | None = None
        self._known_for_engine: int | None = None

    @property
    def incarnation(self) -> int:
        """Number under which this agent speaks."""
        return self._join.incarnation

    @property
    def superseded(self) -> bool:
        """Whether a newer agent of this rank has been heard of; this one is done."""
        return self.superseded_by is not None

    def start(self, status: EngineMapStatus | None, now: float) -> list[RankAction]:
        """Join the group; ``status`` was read from the engine after this start."""
        self._asked_at = now
        self._engine.start(status)
        self._asked_for_engine = self._engine.incarnation
        return [*self._join.start()]

    def found(self, state: GroupState) -> list[RankAction]:
        """Take the fold that ends with the start record of this agent's coordinator.

        Every earlier attempt has ended by that record, so this rank has joined.
        """
        queries: list[RankAction] = []
        if self.superseded_by is not None:
            queries += self._ask_anew(self.superseded_by)
            self.superseded_by = None
        self.joined = True
        self._known_for_engine = self._engine.incarnation
        self._engine.release_unknown()
        return queries + self.on_fold(state)

    def on_fold(self, state: GroupState) -> list[RankAction]:
        """Take a fold of the groups stream up to some record."""
        if self.superseded:
            return []
        self._known.take_fold(state, self.joined)
        return self._act()

    def on_status(
        self, status: EngineMapStatus | None, *, polled: bool = False
    ) -> list[RankAction]:
        """Take the engine's status, ``None`` if it cannot be had.

        :param polled: whether it was read without an order before it.
        """
        self._engine.take(status, polled)
        return [*self._ask_for_new_engine(), *self._act()]

    def _ask_for_new_engine(self) -> list[RankAction]:
        """Ask the peers when the engine has started anew.

        This agent may have been paused while the group went on under another one, so
        what it remembers must not be given to an engine that knows nothing.
        """
        engine = self._engine.incarnation
        known = engine is None or engine == self._known_for_engine
        if known or not self.joined or self.superseded or self._join.asking:
            return []
        return self._ask_anew(self.incarnation)

    def _ask_anew(self, newest: int) -> list[RankAction]:
        self._asked_for_engine = self._engine.incarnation
        return [*self._join.restart_above(newest)]

    def on_message(self, rank: int, message: AnySwitchMessage) -> list[RankAction]:
        """Take a message of the agent of ``rank``."""
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
                committed = self._known.outcomes.get(message.attempt)
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
        return self._act()

    def tick(self, now: float) -> list[RankAction]:
        """Ask again what is open."""
        if self.superseded:
            return []
        rejoin = self._rejoin_if_held_unknown(now)
        if rejoin or now - self._asked_at < self._rules.ask_s:
            return rejoin
        self._asked_at = now
        return [*self._open_queries(), *self._act()]

    def _open_queries(self) -> list[RankAction]:
        orders: list[RankAction] = [*self._join.queries()] if self._join.asking else []
        if not self._known.unsettled_by_id:
            return orders
        self._asked_peer = (self._asked_peer + 1) % self._ranks
        asked = sorted({COORDINATOR_RANK, self._asked_peer})
        for attempt_id in self._known.unsettled_by_id:
            orders += [Send(rank, OutcomeQuery(attempt_id)) for rank in asked]
        return [*orders, ReadGroupLog()]

    def _rejoin_if_held_unknown(self, now: float) -> list[RankAction]:
        unknown = self.joined and self._engine.holds_unknown(self._known.held_for)
        if not unknown or self._join.asking:
            self._unknown_since = None
            return []
        if self._unknown_since is None:
            self._unknown_since = now
        if now - self._unknown_since < self._rules.unknown_hold_s:
            return []
        self._unknown_since = None
        self._asked_at = now
        self._engine.suspect_holds()
        return self._ask_anew(self.incarnation)

    def _answer_join(self, rank: int, query: JoinQuery) -> list[RankAction]:
        refusal = self._join.refusal(rank, query.incarnation)
        if refusal is not None:
            return [Send(rank, refusal)]
        self._join.note(rank, query.incarnation)
        answer = JoinAnswer(
            asked_by=query.incarnation,
            incarnation=self.incarnation,
            joined=self.joined,
            epoch=self._known.epoch,
            maps=self._known.maps,
            unsettled=tuple(self._known.unsettled_by_id.values()),
            roster=roster_of(self._join.newest_by_rank),
        )
        return [Send(rank, answer)]

    def _on_join_answer(self, rank: int, answer: JoinAnswer) -> list[RankAction]:
        if not self._join.take_answer(rank, answer):
            return []
        self._known.take_answer(answer)
        if self._join.all_answered:
            self._finish_join()
        return self._act()

    def _finish_join(self) -> None:
        self.joined = self.joined or self._join.heard_joined
        if self.joined:
            self._join.finish()
            self._known_for_engine = self._asked_for_engine
            self._engine.release_unknown()
        else:
            self._join.start()

    def _on_join_refused(self, refused: JoinRefused) -> list[RankAction]:
        if refused.newest <= self.incarnation:
            return []
        if self.joined:
            self.superseded_by = refused.newest
            return []
        return self._ask_anew(refused.newest)

    def _on_stage(self, message: Stage) -> None:
        if message.attempt.epoch < self._known.epoch:
            return
        self._known.epoch = message.attempt.epoch
        self._staging = (message.attempt, message.group_map)
        self._reported.forget(message.attempt, Staged)
        self._reported.keep({message.attempt, *self._known.unsettled_by_id})

    def _on_arm(self, message: Arm) -> list[RankAction]:
        attempt = message.attempt
        if attempt.id.epoch < self._known.epoch or attempt.id in self._known.outcomes:
            return []
        if self._join.asking:
            return []
        if attempt.id not in self._known.unsettled_by_id:
            if self._engine.status is None:
                return []
            refusal = self._arm_refusal(attempt, self._engine.status)
            if refusal is not None:
                return [Send(COORDINATOR_RANK, refusal)]
            assert self._staging is not None
            whole = msgspec.structs.replace(attempt, group_map=self._staging[1])
            self._known.unsettled_by_id[attempt.id] = whole
        self._armed_for_digest[attempt.id] = message.roster_digest
        self._reported.forget(attempt.id, Armed, ArmRefused)
        return self._act()

    def _arm_refusal(
        self, attempt: Attempt, status: EngineMapStatus
    ) -> ArmRefused | None:
        other = next(iter(self._known.unsettled_by_id), None)
        staged = self._staging is not None and self._staging[0] == attempt.id
        if other is None and staged and status.next_step <= attempt.step:
            return None
        return ArmRefused(attempt.id, self.incarnation, status.next_step, other)

    def _on_outcome(self, message: Outcome) -> list[RankAction]:
        if message.committed and not self._known.explains(message.attempt):
            return self._ask_anew(self.incarnation)
        self._known.settle(message.attempt, message.committed)
        self._settling = message.attempt
        self._reported.forget(message.attempt, Settled)
        return self._act()

    def _act(self) -> list[RankAction]:
        self._engine.void(self._known.ended_steps)
        self._known.ended_steps.clear()
        self._armed_for_digest = {
            attempt_id: digest
            for attempt_id, digest in self._armed_for_digest.items()
            if attempt_id in self._known.unsettled_by_id
        }
        if not self.joined or self.superseded:
            return []
        staging = self._staging[1] if self._staging is not None else None
        is_known = self._engine.incarnation == self._known_for_engine
        maps = self._known.maps if is_known else ()
        order = self._engine.next_order(self._known.held_for, maps, staging)
        orders: list[RankAction] = [
            Send(COORDINATOR_RANK, report)
            for report in self._reports()
            if self._reported.is_new(report)
        ]
        if order is not None:
            orders.append(self._engine.give(order, max(self._known.epoch, 0)))
        return orders

    def _reports(self) -> list[RankReport]:
        status = self._engine.status
        if status is None:
            return []
        return [
            *self._staged_report(status),
            *self._armed_reports(status),
            *self._settled_report(status),
        ]

    def _staged_report(self, status: EngineMapStatus) -> list[RankReport]:
        if self._staging is None:
            return []
        attempt_id, group_map = self._staging
        is_new = attempt_id not in self._known.outcomes
        is_open = is_new and attempt_id not in self._known.unsettled_by_id
        took_last = (
            not self._known.maps or status.next_step >= self._known.maps[0].from_step
        )
        if not is_open or not took_last:
            return []
        if group_map.digest not in status.staged_digests:
            return []
        return [Staged(attempt_id, self.incarnation, status.next_step)]

    def _armed_reports(self, status: EngineMapStatus) -> list[RankReport]:
        step_by_id = {
            attempt_id: self._known.unsettled_by_id[attempt_id].step
            for attempt_id in self._armed_for_digest
        }
        armed: list[RankReport] = [
            self._armed(attempt_id, self._armed_for_digest[attempt_id])
            for attempt_id, step in step_by_id.items()
            if step in status.held_steps
        ]
        too_late = [
            ArmRefused(attempt_id, self.incarnation, status.next_step)
            for attempt_id, step in step_by_id.items()
            if step not in status.held_steps and status.next_step > step
        ]
        return armed + too_late

    def _armed(self, attempt_id: AttemptId, digest: int) -> Armed:
        newest = self._join.newest_by_rank
        roster = () if roster_digest(newest) == digest else roster_of(newest)
        return Armed(attempt_id, self.incarnation, roster)

    def _settled_report(self, status: EngineMapStatus) -> list[RankReport]:
        attempt_id = self._settling
        if attempt_id is None or attempt_id not in self._known.outcomes:
            return []
        if self._join.asking:
            return []
        if not self._engine.has_settled(self._known.held_for, self._known.maps):
            return []
        return [Settled(attempt_id, self.incarnation, status.next_step)]


__all__ = ["COORDINATOR_RANK", "RankRules", "SwitchParticipant"]
