"""Steps for a balancer whose group gets a new rank."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from corianderrelay_entry.coordination.direct.decision_log import DecisionLog
from corianderrelay_entry.coordination.direct.group_balancer import GroupBalancer
from corianderrelay_entry.state.direct.runner_list import RunnerList

from tests.harness.answering_ranks import (
    ENGINE,
    NEW_RANK,
    SERVICE,
    AnsweringRanks,
    rank_runner,
)

_TICK_S = 0.05


def _run(context: Any, seconds: float, *, may_switch: bool = False) -> None:
    for _ in range(round(seconds / _TICK_S)):
        context.clock.advance(_TICK_S)
        context.balancer.tick(ENGINE, may_switch, may_discover=True)


def _members(context: Any) -> list[str]:
    (group,) = context.balancer._groups_by_name.values()
    return list(group.members)


@given("a balancer that has found a group of {count:d} ranks")
def step_found(context: Any, count: int) -> None:
    context.clock, context.runners = Clock(), RunnerList()
    context.streams_per_rank = 0
    names = [f"rank {number}" for number in range(count)]
    for name in names:
        context.runners.put(rank_runner(name))
    context.ranks = AnsweringRanks(names)
    context.balancer = GroupBalancer(
        "entry",
        SERVICE,
        context.runners,
        context.ranks,
        context.clock,
        Random(1),
        DecisionLog(context.clock.seconds),
        lambda: 0.0,
        lambda: 0.0,
        lambda runner_id: context.streams_per_rank,
    )
    _run(context, 3.0)
    assert _members(context) == names


@when("rank {number:d} is replaced, and its first report is of the {epoch:w} epoch")
def step_replaced(context: Any, number: int, epoch: str) -> None:
    context.runners.remove(context.ranks.names[number], context.clock.seconds())
    context.runners.put(rank_runner(NEW_RANK))
    context.ranks.names[number] = NEW_RANK
    context.ranks.epoch_by_name[NEW_RANK] = 2 if epoch == "new" else 1
    _run(context, _TICK_S)


@when("all ranks report the new epoch")
def step_new_epoch(context: Any) -> None:
    context.ranks.epoch_by_name = dict.fromkeys(context.ranks.names, 2)


@when("the balancer runs for {seconds:d} s")
def step_run(context: Any, seconds: int) -> None:
    _run(context, seconds)


@then("it has found the group with the new rank")
def step_found_again(context: Any) -> None:
    assert _members(context) == context.ranks.names, _members(context)


@then("it asks no rank that it knows for its group any more")
def step_asks_none(context: Any) -> None:
    before = dict(context.ranks.asked)
    _run(context, 5.0)
    assert context.ranks.asked == before, (before, context.ranks.asked)


@when("it is elected, with streams on all ranks, for {seconds:d} s")
def step_elected(context: Any, seconds: int) -> None:
    context.streams_per_rank = 3
    _run(context, seconds, may_switch=True)


@then("it has read the counts of {count:d} ranks")
def step_counts_read(context: Any, count: int) -> None:
    assert len(context.ranks.counts_read) == count, context.ranks.counts_read
