"""Steps for an agent that watches whether its engine is down."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from corianderrelay_agent.coordination.engine_watch import EngineWatch


class _Engine:
    """Is reachable or not, and counts the checks."""

    def __init__(self, reachable: bool) -> None:
        self.reachable = reachable
        self.checks = 0

    def check_reachable(self) -> Deferred[bool]:
        self.checks += 1
        return succeed(self.reachable)


@given("an agent whose engine is {state:w}")
def step_agent(context: Any, state: str) -> None:
    context.clock, context.engine = Clock(), _Engine(state == "up")
    engine: Any = context.engine
    context.watch = EngineWatch(engine, context.clock)


@when("a call fails")
def step_fails(context: Any) -> None:
    context.watch.on_call_failed()


@when("the engine is back and {seconds:d} s passes")
def step_back(context: Any, seconds: int) -> None:
    context.engine.reachable = True
    context.clock.advance(seconds)


@when("{count:d} calls fail and {seconds:d} s pass")
def step_many_fail(context: Any, count: int, seconds: int) -> None:
    for _ in range(count):
        context.watch.on_call_failed()
    context.clock.pump([0.5] * (seconds * 2))


@then("the engine counts as {state:w}")
def step_counts(context: Any, state: str) -> None:
    assert context.watch.up == (state == "up")


@then("the engine was checked {count:d} times")
def step_checked(context: Any, count: int) -> None:
    assert context.engine.checks == count, context.engine.checks
