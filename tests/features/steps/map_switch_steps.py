"""Steps for switches of a group's expert map."""

from __future__ import annotations

from typing import Any

from behave import then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machines.map_switch_machine import MapSwitchMachine


@when("the map switch state machine runs {examples:d} examples of {steps:d} steps")
def step_run_machine(context: Any, examples: int, steps: int) -> None:
    machine_settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.explicit, Phase.generate],
    )
    run_state_machine_as_test(MapSwitchMachine, settings=machine_settings)
    context.machine_ran = True


@then("every step used a single map and the group recovered from all faults")
def step_machine_passed(context: Any) -> None:
    assert context.machine_ran
