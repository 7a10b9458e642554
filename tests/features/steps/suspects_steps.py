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


@then("the suspects machine passes {examples:d} runs of {steps:d} steps")
def step_machine_passes(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        SuspectsMachine, settings=machine_settings(examples, steps)
    )


def _count_fingerprints(first: str, second: str) -> int:
    bodies = (first, second)
    return len({fingerprint("kits", "chat", body.encode()) for body in bodies})


@then("there is one fingerprint for {first} and {second}")
def step_one_fingerprint(context: Any, first: str, second: str) -> None:
    assert _count_fingerprints(first, second) == 1


@then("there are two fingerprints for {first} and {second}")
def step_two_fingerprints(context: Any, first: str, second: str) -> None:
    assert _count_fingerprints(first, second) == 2


@given("requests kit and crash that were running when one engine died")
def step_requests_in_death(context: Any) -> None:
    context.ledger = SuspectLedger()
    context.ledger.apply(0, DeathRecord("kit", "runner-0/1/1"))
    context.ledger.apply(1, DeathRecord("crash", "runner-0/1/1"))


@when("the trial of {name} ends with {outcome}")
def step_trial(context: Any, name: str, outcome: str) -> None:
    end = TrialEndRecord(name, "nonce", TrialOutcome(outcome), "runner-1/1/1")
    context.ledger.apply(2, TrialRecord(name, "nonce", "entry-0"))
    context.ledger.apply(3, end)


@when("an operator lifts the quarantine of {name}")
def step_lift(context: Any, name: str) -> None:
    context.ledger.apply(4, LiftRecord(name, "operator"))


@then("the suspect status of {name} is {status}")
def step_suspect_status(context: Any, name: str, status: str) -> None:
    assert context.ledger.status(name).value == status


@when("the settled death is reported again for kit")
def step_death_reported_again(context: Any) -> None:
    context.ledger.apply(5, DeathRecord("kit", "runner-0/1/1"))


@given("a suspect guard that holds kit with number {number:d}")
def step_guard(context: Any, number: int) -> None:
    context.guard = SuspectGuard("runner-0/1")
    context.guard.hold("kit", number)


@then("the suspect guard admits kit only for a trial")
def step_admits_only_trial(context: Any) -> None:
    assert not context.guard.admit("kit", alone=False)
    assert context.guard.admit("kit", alone=True)


@when("the suspect guard receives a late release of kit, cleared at {offset:d}")
def step_release(context: Any, offset: int) -> None:
    context.guard.release("kit", offset, ())


@then("the suspect guard admits kit")
def step_admits(context: Any) -> None:
    assert context.guard.admit("kit", alone=False)
