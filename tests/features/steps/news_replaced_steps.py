"""Steps for drawn restores of the log in the model of news."""

from __future__ import annotations

from typing import Any

from behave import then, when

from tests.machines.replaced_log_simulation import ReplacedLogSimulation


@when("{entries:d} entries play the drawn restores of seed {seed:d}")
def step_play(context: Any, entries: int, seed: int) -> None:
    context.violations = ReplacedLogSimulation(entries, seed).run()


@then("the newest version is in force in time or not used, and none comes back")
def step_no_violation(context: Any) -> None:
    assert not context.violations, "\n".join(context.violations[:5])
