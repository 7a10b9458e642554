"""Steps for membership from direct heartbeats."""

from __future__ import annotations

from typing import Any

from behave import given, step, then, when
from hypothesis.stateful import run_state_machine_as_test

from corianderrelay.state.heartbeat_pacing import HeartbeatPacing
from corianderrelay.state.members import ListedInstance, Members

from tests.machines.members_machine import MembersMachine
from tests.machines.settings import machine_settings


@then("membership holds its invariants in {examples:d} runs of {steps:d} steps")
def step_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        MembersMachine, settings=machine_settings(examples, steps)
    )


@then("membership heartbeats {peers:d} peers every {period:f} s")
def step_period(context: Any, peers: int, period: float) -> None:
    assert round(HeartbeatPacing().period_for(peers), 3) == period


@given("membership knows runner-0 as incarnation {incarnation:d}")
def step_known(context: Any, incarnation: int) -> None:
    context.members = Members()
    context.members.seed([ListedInstance("runner-0", "127.0.0.1", 1, "a")], 0.0)
    assert context.members.stream_opened("runner-0", 1, incarnation, 0.0)


@then("membership rejects a stream of incarnation {incarnation:d}")
def step_stream_rejected(context: Any, incarnation: int) -> None:
    assert not context.members.stream_opened("runner-0", 2, incarnation, 0.0)


@step("membership accepts a stream of incarnation {incarnation:d}")
def step_stream_accepted(context: Any, incarnation: int) -> None:
    assert context.members.stream_opened("runner-0", 3, incarnation, 0.0)


@when("membership is notified that incarnation {incarnation:d} is leaving")
def step_leaving_received(context: Any, incarnation: int) -> None:
    context.members.leaving_received("runner-0", incarnation)


@then("membership reports runner-0 as {member_status}")
def step_member_status(context: Any, member_status: str) -> None:
    assert context.members.member_status("runner-0", 0.1).value == member_status
