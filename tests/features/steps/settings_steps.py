"""Steps that run ``check-settings`` on valid and invalid settings."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when
from click.testing import CliRunner

from corianderrelay_entry.cli import main

_REMOVED = "(removed)"


def _valid_settings(folder: Path) -> dict[str, Any]:
    token_file = folder / "token"
    token_file.write_text("secret-token")
    return {
        "instance_id": "entry-0",
        "zone": "oslo-a",
        "callers": {"port": 0},
        "operators": {"port": 0, "token_file": str(token_file)},
        "platform": {
            "log_url": "http://127.0.0.1:1",
            "instances_url": "http://127.0.0.1:1",
        },
        "limits": {},
        "timing": {},
    }


def _set_value(settings: dict[str, Any], path: str, value: str) -> None:
    *parents, key = path.split(".")
    for parent in parents:
        settings = settings[parent]
    if value == _REMOVED:
        del settings[key]
    else:
        settings[key] = json.loads(value)


def _run_check(context: Any, changes: list[tuple[str, str]], text: str = "") -> None:
    folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    settings = _valid_settings(folder)
    for path, value in changes:
        _set_value(settings, path, value)
    settings_file = folder / "settings.json"
    settings_file.write_text(text or json.dumps(settings))
    context.result = CliRunner().invoke(
        main, ["check-settings", "--settings", str(settings_file)]
    )


@when("the entry's settings are checked unchanged")
def step_check_valid(context: Any) -> None:
    _run_check(context, [])


@when("the entry's settings are checked with {path} set to {value}")
def step_check_changed(context: Any, path: str, value: str) -> None:
    _run_check(context, [(path, value)])


@when("the entry's settings are checked with three faults")
def step_check_three(context: Any) -> None:
    _run_check(context, [("zone", "1"), ("callers.port", "-1"), ("limits.extra", "1")])


@when("a settings file with the text {text} is checked")
def step_check_text(context: Any, text: str) -> None:
    _run_check(context, [], text)


@then('the check exits with {code:d} and prints "{text}"')
def step_prints(context: Any, code: int, text: str) -> None:
    assert context.result.exit_code == code, context.result.output
    assert text in context.result.output, context.result.output


@then("the check exits with {code:d} and reports the fault {fault}")
def step_reports_fault(context: Any, code: int, fault: str) -> None:
    assert context.result.exit_code == code, context.result.output
    assert "invalid_settings" in context.result.output, context.result.output
    assert fault in context.result.output, context.result.output
    assert "secret-token" not in context.result.output


@then("the check exits with {code:d} and reports all three")
def step_reports_three(context: Any, code: int) -> None:
    step_reports_fault(context, code, "has 3 fault(s)")
    for path in ("$.zone", "$.callers.port", "$.limits.extra"):
        assert path in context.result.output, context.result.output
