"""Types of a group's map switches: maps, attempts, messages, actions, engine orders.

A rank is identified by its number within the group. Step numbers are those of the
group and start at 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct

NonNegativeInt = Annotated[int, Meta(ge=0)]


class GroupMap(Struct, array_like=True, frozen=True):
    """An encoded expert map with its version and digest.

    :param version: version of the map, incremented by each committed switch.
    :param digest: digest of the placement; engines identify the map by it.
    :param body: the encoded placement, which the switch passes on without decoding.
    """

    version: NonNegativeInt
    digest: str
    body: bytes = b""


class SwitchAttemptId(Struct, array_like=True, frozen=True, order=True):
    """Identifier of one attempt to switch maps.

    :param epoch: offset of the coordinator's start record in the ``groups`` stream.
    :param number: sequence number of the attempt at that coordinator, from 1.
    """

    epoch: int
    number: NonNegativeInt


class SwitchAttempt(Struct, array_like=True, frozen=True):
    """An attempt to use ``group_map`` from ``step`` on; attempts never share a step."""

    id: SwitchAttemptId
    step: NonNegativeInt
    group_map: GroupMap


class CommittedMap(Struct, array_like=True, frozen=True):
    """A map that is used from ``from_step`` on, and the attempt that committed it."""

    group_map: GroupMap
    from_step: NonNegativeInt
    attempt: SwitchAttemptId


def maps_after_commit(
    attempt: SwitchAttempt, maps: tuple[CommittedMap, ...]
) -> tuple[CommittedMap, ...]:
    """Return the committed map of ``attempt`` and its predecessor, newest first.

    The first map of a group applies from step 0 on, because a group runs no step
    before it has a map.
    """
    from_step = attempt.step if maps else 0
    return (CommittedMap(attempt.group_map, from_step, attempt.id), *maps[:1])


class SwitchMessage(Struct, array_like=True, frozen=True, tag_field="type"):
    """Base of the messages between the agents of one group."""


class Stage(SwitchMessage, tag="stage", frozen=True):
    """Coordinator to rank: load the map's weights without using them yet."""

    attempt: SwitchAttemptId
    group_map: GroupMap


class Staged(SwitchMessage, tag="staged", frozen=True):
    """Rank to coordinator: the weights are loaded.

    :param next_step: first step that the engine has not started.
    """

    attempt: SwitchAttemptId
    incarnation: NonNegativeInt
    next_step: NonNegativeInt


class Arm(SwitchMessage, tag="arm", frozen=True):
    """Coordinator to rank: make the engine hold before the attempt's step.

    The map is sent without its body, because the rank has received it with ``Stage``.

    :param roster_digest: digest of the incarnations from which the coordinator has
        received ``Staged``.
    """

    attempt: SwitchAttempt
    roster_digest: int


class RankIncarnation(Struct, array_like=True, frozen=True):
    """The newest incarnation of a rank's agent that the sender knows."""

    rank: NonNegativeInt
    incarnation: NonNegativeInt


class Armed(SwitchMessage, tag="armed", frozen=True):
    """Rank to coordinator: the engine holds before the attempt's step.

    :param roster: the incarnations that the rank knows; sent only when their digest
        differs from that of the ``Arm`` message.
    """

    attempt: SwitchAttemptId
    incarnation: NonNegativeInt
    roster: tuple[RankIncarnation, ...] = ()


class ArmRefused(SwitchMessage, tag="arm_refused", frozen=True):
    """Rank to coordinator: the engine does not hold before the attempt's step.

    :param unsettled: another attempt with unknown outcome for which the engine still
        holds, if any.
    """

    attempt: SwitchAttemptId
    incarnation: NonNegativeInt
    next_step: NonNegativeInt
    unsettled: SwitchAttemptId | None = None


class Outcome(SwitchMessage, tag="outcome", frozen=True):
    """The outcome of an attempt; it never changes once any process knows it."""

    attempt: SwitchAttemptId
    committed: bool


class OutcomeQuery(SwitchMessage, tag="outcome_query", frozen=True):
    """Rank to any rank: request the outcome of an attempt."""

    attempt: SwitchAttemptId


class Settled(SwitchMessage, tag="settled", frozen=True):
    """Rank to coordinator: the engine has applied the attempt's outcome."""

    attempt: SwitchAttemptId
    incarnation: NonNegativeInt
    next_step: NonNegativeInt


class JoinQuery(SwitchMessage, tag="join_query", frozen=True):
    """Rank to every other rank: announce an incarnation and request the active maps."""

    incarnation: NonNegativeInt


class JoinAnswer(SwitchMessage, tag="join_answer", frozen=True):
    """Answer to a join query.

    :param querying_incarnation: incarnation that sent the query.
    :param incarnation: incarnation that answers.
    :param joined: whether the answering rank has joined and so knows the active maps.
    :param epoch: highest epoch that the answering rank knows.
    :param maps: the latest committed map and its predecessor, newest first.
    :param unsettled: attempts with unknown outcome for which the rank's engine holds.
    :param roster: the newest incarnations that the answering rank knows.
    """

    querying_incarnation: NonNegativeInt
    incarnation: NonNegativeInt
    joined: bool
    epoch: int
    maps: tuple[CommittedMap, ...] = ()
    unsettled: tuple[SwitchAttempt, ...] = ()
    roster: tuple[RankIncarnation, ...] = ()


class JoinRefused(SwitchMessage, tag="join_refused", frozen=True):
    """Answer to a join query or report from an incarnation that is out of date.

    :param newest: the newest known incarnation of the receiving rank.
    """

    newest: NonNegativeInt


class PopularityReport(SwitchMessage, tag="popularity", frozen=True):
    """Rank to coordinator: the tokens that each expert received in an interval.

    :param interval_ms: length of the interval.
    """

    interval_ms: NonNegativeInt
    tokens_by_expert: tuple[NonNegativeInt, ...]


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
    """Action: send a message to the agent of a rank."""

    rank: int
    message: AnySwitchMessage


@dataclass(slots=True, frozen=True)
class AppendBeginRecord:
    """Action: append the attempt's begin record, fold the log and report the result."""

    attempt: SwitchAttempt


@dataclass(slots=True, frozen=True)
class AppendCommitRecord:
    """Action: append the attempt's commit, fold the log and report the outcome."""

    attempt: SwitchAttemptId


@dataclass(slots=True, frozen=True)
class ReadGroupLog:
    """Action: fold the ``groups`` stream up to its end and report the state."""


CoordinatorAction = Send | AppendBeginRecord | AppendCommitRecord


@dataclass(slots=True, frozen=True)
class StageOrder:
    """Engine order: load the weights of a map in addition to those in use."""

    group_map: GroupMap


@dataclass(slots=True, frozen=True)
class HoldOrder:
    """Engine order: do not start ``step``; holds before other steps stay."""

    step: int


@dataclass(slots=True, frozen=True)
class SwitchOrder:
    """Engine order: use the staged map from ``step`` on and release the hold there."""

    step: int
    digest: str


@dataclass(slots=True, frozen=True)
class ReleaseOrder:
    """Engine order: release the hold before ``step`` without changing the map."""

    step: int


MapOrder = StageOrder | HoldOrder | SwitchOrder | ReleaseOrder


@dataclass(slots=True, frozen=True)
class SendEngineOrder:
    """Action: send an order to the engine, then read and report its status.

    :param fence: fencing number; an engine that checks it rejects lower numbers.
    """

    order: MapOrder
    fence: int


RankAction = Send | SendEngineOrder | ReadGroupLog


@dataclass(slots=True, frozen=True)
class EngineMapStatus:
    """The status that an engine reports about its maps.

    :param incarnation: number that changes at each restart of the engine.
    :param next_step: first step that the engine has not started.
    :param held_steps: steps before which the engine holds.
    :param staged_digests: digests of the maps whose weights are loaded.
    :param digest_by_step: digest of each map that was ordered, by its first step.
    """

    incarnation: int
    next_step: int
    held_steps: frozenset[int]
    staged_digests: frozenset[str]
    digest_by_step: dict[int, str]


__all__ = [
    "AnySwitchMessage",
    "AppendBeginRecord",
    "AppendCommitRecord",
    "Arm",
    "ArmRefused",
    "Armed",
    "SwitchAttempt",
    "SwitchAttemptId",
    "CoordinatorAction",
    "EngineMapStatus",
    "GroupMap",
    "HoldOrder",
    "JoinAnswer",
    "JoinQuery",
    "JoinRefused",
    "MapOrder",
    "SendEngineOrder",
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
