"""What a switch of a group's expert map is made of: maps, attempts, messages, orders.

A rank is named by its number within the group. Steps are counted from 0 by the group.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0)]


class GroupMap(Struct, array_like=True, frozen=True):
    """An expert map as the switch handles it.

    :param version: number of the map; it grows with each switch.
    :param digest: digest of the placement, by which engines name the map.
    :param body: the encoded placement, opaque to the switch.
    """

    version: Count
    digest: str
    body: bytes = b""


class AttemptId(Struct, array_like=True, frozen=True, order=True):
    """Names one attempt to switch.

    :param epoch: offset of the coordinator's start record in the groups stream.
    :param number: count of the attempts of that coordinator.
    """

    epoch: int
    number: Count


class Attempt(Struct, array_like=True, frozen=True):
    """An attempt to use ``group_map`` from ``step`` on; no two share a step."""

    id: AttemptId
    step: Count
    group_map: GroupMap


class CommittedMap(Struct, array_like=True, frozen=True):
    """A map in force from ``from_step`` on, and the attempt that put it there."""

    group_map: GroupMap
    from_step: Count
    attempt: AttemptId


def maps_after_commit(
    attempt: Attempt, maps: tuple[CommittedMap, ...]
) -> tuple[CommittedMap, ...]:
    """Return the map of a committed attempt and the one before it, newest first.

    The first map of a group is used from step 0 on: no step was run without it.
    """
    from_step = attempt.step if maps else 0
    return (CommittedMap(attempt.group_map, from_step, attempt.id), *maps[:1])


class SwitchMessage(Struct, array_like=True, frozen=True, tag_field="type"):
    """Base of the messages between the agents of one group."""


class Stage(SwitchMessage, tag="stage", frozen=True):
    """Coordinator to rank: have the map's weights loaded, without using them."""

    attempt: AttemptId
    group_map: GroupMap


class Staged(SwitchMessage, tag="staged", frozen=True):
    """Rank to coordinator: the weights are loaded; the engine is at ``next_step``."""

    attempt: AttemptId
    incarnation: Count
    next_step: Count


class Arm(SwitchMessage, tag="arm", frozen=True):
    """Coordinator to rank: have the engine hold before the attempt's step.

    The map travels without its body, which the rank has staged.

    :param roster_digest: digest of the incarnations that the coordinator counts on.
    """

    attempt: Attempt
    roster_digest: int


class RankIncarnation(Struct, array_like=True, frozen=True):
    """The newest incarnation of a rank's agent that the sender has heard of."""

    rank: Count
    incarnation: Count


class Armed(SwitchMessage, tag="armed", frozen=True):
    """Rank to coordinator: the engine holds before the attempt's step.

    :param roster: the incarnations known, sent when their digest is another than the
        coordinator's.
    """

    attempt: AttemptId
    incarnation: Count
    roster: tuple[RankIncarnation, ...] = ()


class ArmRefused(SwitchMessage, tag="arm_refused", frozen=True):
    """Rank to coordinator: the engine does not hold for this attempt.

    :param unsettled: another attempt for which the rank still holds, if any.
    """

    attempt: AttemptId
    incarnation: Count
    next_step: Count
    unsettled: AttemptId | None = None


class Outcome(SwitchMessage, tag="outcome", frozen=True):
    """How an attempt has ended; it never changes once it is known to anybody."""

    attempt: AttemptId
    committed: bool


class OutcomeQuery(SwitchMessage, tag="outcome_query", frozen=True):
    """Rank to any rank: has this attempt ended, and how?"""

    attempt: AttemptId


class Settled(SwitchMessage, tag="settled", frozen=True):
    """Rank to coordinator: the engine has taken the attempt's outcome."""

    attempt: AttemptId
    incarnation: Count
    next_step: Count


class JoinQuery(SwitchMessage, tag="join_query", frozen=True):
    """Rank to every other rank: this incarnation starts; what is in force?"""

    incarnation: Count


class JoinAnswer(SwitchMessage, tag="join_answer", frozen=True):
    """Answer to a join query.

    :param asked_by: incarnation that asked.
    :param incarnation: incarnation that answers.
    :param joined: whether the answering rank knows what is in force.
    :param epoch: highest epoch that it has heard of.
    :param maps: the map in force and the one before it, newest first.
    :param unsettled: attempts for which it holds, outcome unknown.
    :param roster: the newest incarnations that it has heard of.
    """

    querying_incarnation: Count
    incarnation: Count
    joined: bool
    epoch: int
    maps: tuple[CommittedMap, ...] = ()
    unsettled: tuple[Attempt, ...] = ()
    roster: tuple[RankIncarnation, ...] = ()


class JoinRefused(SwitchMessage, tag="join_refused", frozen=True):
    """Answer to a join query or report of an incarnation that is not the newest."""

    newest: Count


class PopularityReport(SwitchMessage, tag="popularity", frozen=True):
    """Rank to coordinator: the tokens that each expert received lately."""

    interval_ms: Count
    tokens_by_expert: tuple[Count, ...]


AnySwitchMessage = (
    Stage
    | Staged
    | Arm
    | Armed
    | ArmRefused
    | Outcome
    | OutcomeQuery
    | Settled
    | JoinQuery
    | JoinAnswer
    | JoinRefused
    | PopularityReport
)


@dataclass(slots=True, frozen=True)
class Send:
    """Order: send a message to the agent of a rank."""

    rank: int
    message: AnySwitchMessage


@dataclass(slots=True, frozen=True)
class AppendBegun:
    """Order: append that the attempt begins, then fold and report."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class AppendDecision:
    """Order: append the commit of the attempt, then fold and report its outcome."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class ReadGroupLog:
    """Order: fold the groups stream up to its end and report the state."""


CoordinatorAction = Send | AppendBegun | AppendDecision


@dataclass(slots=True, frozen=True)
class StageOrder:
    """Engine order: load the weights of a map beside those in use."""

    group_map: GroupMap


@dataclass(slots=True, frozen=True)
class HoldOrder:
    """Engine order: do not start ``step``; it never lifts another hold."""

    step: int


@dataclass(slots=True, frozen=True)
class SwitchOrder:
    """Engine order: use the staged map from ``step`` on and lift the hold there."""

    step: int
    digest: str


@dataclass(slots=True, frozen=True)
class ReleaseOrder:
    """Engine order: lift the hold before ``step`` and keep the map."""

    step: int


MapOrder = StageOrder | HoldOrder | SwitchOrder | ReleaseOrder


@dataclass(slots=True, frozen=True)
class OrderEngine:
    """Order: give the engine this order, then read its status and report it."""

    order: MapOrder
    fence: int


RankAction = Send | OrderEngine | ReadGroupLog


@dataclass(slots=True, frozen=True)
class EngineMapStatus:
    """What an engine says of its maps.

    :param incarnation: changes when the engine starts anew.
    :param next_step: first step that the engine has not started.
    :param held_steps: steps before which it holds.
    :param staged_digests: maps whose weights are loaded.
    :param digest_by_step: the maps ordered, by the step from which they are used.
    """

    incarnation: int
    next_step: int
    held_steps: frozenset[int]
    staged_digests: frozenset[str]
    digest_by_step: dict[int, str]


__all__ = [
    "AnySwitchMessage",
    "AppendBegun",
    "AppendDecision",
    "Arm",
    "ArmRefused",
    "Armed",
    "Attempt",
    "AttemptId",
    "CoordinatorAction",
    "EngineMapStatus",
    "GroupMap",
    "HoldOrder",
    "JoinAnswer",
    "JoinQuery",
    "JoinRefused",
    "MapOrder",
    "OrderEngine",
    "Outcome",
    "OutcomeQuery",
    "CommittedMap",
    "PopularityReport",
    "RankIncarnation",
    "RankAction",
    "ReadGroupLog",
    "ReleaseOrder",
    "Send",
    "Settled",
    "Stage",
    "StageOrder",
    "Staged",
    "SwitchMessage",
    "SwitchOrder",
    "maps_after_commit",
]
