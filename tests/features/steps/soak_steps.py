"""Steps for the short soak test."""

from __future__ import annotations

from typing import Any

from behave import then

from tests.soak.soak import run_seed


@then("the soak with seed {seed:d} violates no guarantee in {seconds:d} s of faults")
def step_soak(context: Any, seed: int, seconds: int) -> None:
    violations, summary = run_seed(seed, seconds)
    assert not violations, "\n".join([summary, *violations])
