"""Steps for requests that must not be repeated."""

from __future__ import annotations

from typing import Any

from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machines.claims_machine import ClaimsMachine


@when("the claims machine runs {examples:d} examples of up to {steps:d} steps")
def step_run_claims_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        ClaimsMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(HealthCheck),
        ),
    )
    context.machine_passed = True


@then("the claims machine found no broken promise")
def step_no_broken_promise(context: Any) -> None:
    assert context.machine_passed
