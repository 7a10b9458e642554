"""Steps for the detection of stalled runners."""

from __future__ import annotations

from typing import Any

from behave import given, step, then, when

from corianderrelay_entry.state.runner_progress import RunnerProgress

_RUNNER = "A"


@given("runner A has sent a chunk at {seconds:d} s and answers")
def step_answers(context: Any, seconds: int) -> None:
    context.progress = RunnerProgress()
    context.progress.record_chunk(_RUNNER, float(seconds))
    context.answering, context.occupied = {_RUNNER}, {_RUNNER}
    context.blocked = set()


@given("a request without a chunk runs at runner A")
def step_without_chunk(context: Any) -> None:
    context.progress = RunnerProgress()
    context.answering, context.occupied, context.blocked = set(), {_RUNNER}, set()


@when("another rank of the group of runner A is down")
def step_blocked(context: Any) -> None:
    context.blocked = {_RUNNER}


@when("the rank is back")
def step_unblocked(context: Any) -> None:
    context.blocked = set()


@when("all requests that have received a chunk have left runner A")
def step_chunked_left(context: Any) -> None:
    context.answering = set()


@when("all requests have left runner A")
def step_all_left(context: Any) -> None:
    context.answering, context.occupied = set(), set()


@when("a request without a chunk runs at runner A")
def step_occupied(context: Any) -> None:
    context.occupied = {_RUNNER}


@when("runner A sends a chunk at {seconds:d} s")
def step_chunk(context: Any, seconds: int) -> None:
    context.progress.record_chunk(_RUNNER, float(seconds))
    context.answering = {_RUNNER}


def _stalled(context: Any, now: float) -> list[str]:
    stalled: list[str] = context.progress.find_stalled(
        context.answering, context.occupied, context.blocked, now
    )
    return stalled


@step("runner A is stalled at {seconds:g} s")
def step_stalled(context: Any, seconds: float) -> None:
    assert _stalled(context, seconds) == [_RUNNER]


@then("no runner is stalled at {seconds:g} s")
def step_not_stalled(context: Any, seconds: float) -> None:
    assert _stalled(context, seconds) == []
