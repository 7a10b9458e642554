"""Steps for draining a process."""

from __future__ import annotations

from typing import Any

from behave import given, then
from hypothesis.stateful import run_state_machine_as_test

from corianderrelay.state.drain import Drain, StopProcess

from tests.machines.drain_machine import DrainMachine
from tests.machines.settings import machine_settings


@then("drain holds its invariants in {examples:d} runs of {steps:d} steps")
def step_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(DrainMachine, settings=machine_settings(examples, steps))


@given(
    "drain begun at 0 s with a linger time of {linger:g} s "
    "and a deadline of {deadline:g} s"
)
def step_begun(context: Any, linger: float, deadline: float) -> None:
    context.drain = Drain(linger, deadline)
    context.drain.on_signal("SIGTERM", 0, 0.0)


@then("drain at {now:g} s with {count:d} open requests continues")
def step_continues(context: Any, now: float, count: int) -> None:
    assert context.drain.check_exit(count, now) is None


@then(
    "drain at {now:g} s with {count:d} open requests "
    "stops as {reason}, aborting {aborted:d}"
)
def step_stops(context: Any, now: float, count: int, reason: str, aborted: int) -> None:
    assert context.drain.check_exit(count, now) == StopProcess(reason, aborted)


@then("drain on a second signal with {count:d} open requests aborts {aborted:d}")
def step_second_signal(context: Any, count: int, aborted: int) -> None:
    order = context.drain.on_signal("SIGTERM", count, 1.0)
    assert isinstance(order, StopProcess)
    assert order.cut_off == aborted
