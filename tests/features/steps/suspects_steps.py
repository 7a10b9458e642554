"""Steps for requests that crash engines."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from corianderrelay.state.fingerprint import fingerprint
from corianderrelay.state.suspect_guard import SuspectGuard
from corianderrelay.state.suspect_records import (
    DeathRecord,
    LiftRecord,
    TrialEndRecord,
    TrialOutcome,
    TrialRecord,
)
from corianderrelay.state.suspects import SuspectLedger

from tests.machines.settings import machine_settings
from tests.machines.suspects_machine import SuspectsMachine


@then("suspects survive {examples:d} runs of {steps:d} steps")
def step_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        SuspectsMachine, settings=machine_settings(examples, steps)
    )


def _count(first: str, second: str) -> int:
    bodies = (first, second)
    return len({fingerprint("kits", "chat", body.encode()) for body in bodies})


@then("suspects have one fingerprint for {first} and {second}")
def step_same(context: Any, first: str, second: str) -> None:
    assert _count(first, second) == 1


@then("suspects have two fingerprints for {first} and {second}")
def step_other(context: Any, first: str, second: str) -> None:
    assert _count(first, second) == 2


@given("suspects kit and crash that ran when one engine died")
def step_died(context: Any) -> None:
    context.ledger = SuspectLedger()
    context.ledger.apply(0, DeathRecord("kit", "runner-0/1/1"))
    context.ledger.apply(1, DeathRecord("crash", "runner-0/1/1"))


@when("suspects {name} ends its trial with {outcome}")
def step_trial(context: Any, name: str, outcome: str) -> None:
    end = TrialEndRecord(name, "nonce", TrialOutcome(outcome), "runner-1/1/1")
    context.ledger.apply(2, TrialRecord(name, "nonce", "entry-0"))
    context.ledger.apply(3, end)


@when("suspects {name} is lifted by an operator")
def step_lift(context: Any, name: str) -> None:
    context.ledger.apply(4, LiftRecord(name, "operator"))


@then("suspects have {name} as {standing}")
def step_standing(context: Any, name: str, status: str) -> None:
    assert context.ledger.status(name).value == status


@when("suspects kit is reported again for the settled death")
def step_again(context: Any) -> None:
    context.ledger.apply(5, DeathRecord("kit", "runner-0/1/1"))


@given("suspects guard that holds kit with number {number:d}")
def step_guard(context: Any, number: int) -> None:
    context.guard = SuspectGuard("runner-0/1")
    context.guard.hold("kit", number)


@then("suspects guard refuses kit but for a trial")
def step_refuses(context: Any) -> None:
    assert not context.guard.admit("kit", alone=False)
    assert context.guard.admit("kit", alone=True)


@when("suspects guard is told late that kit was cleared at {offset:d}")
def step_release(context: Any, offset: int) -> None:
    context.guard.release("kit", offset, ())


@then("suspects guard admits kit")
def step_admits(context: Any) -> None:
    assert context.guard.admit("kit", alone=False)
