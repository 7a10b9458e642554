"""Steps that change the configuration of a running system."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from behave import then, when
from click.testing import CliRunner

from corianderrelay_entry.cli import main

from demo.processes import Process, fetch
from tests.waiting import wait_until


def _run(context: Any, *arguments: str, entry: int = 0) -> Any:
    operators = ["--operators-url", context.system.operator_urls[entry]]
    token = ["--token-file", str(context.system.folder / "operators.token")]
    return CliRunner().invoke(main, [*arguments, *operators, *token])


def _show(context: Any, entry: int = 0) -> Any:
    return json.loads(_run(context, "config", "show", "--json", entry=entry).stdout)


def _write_changed(context: Any, display_name: str) -> Path:
    shown = _show(context)
    shown["document"]["workspaces"]["kit-shop"]["display_name"] = display_name
    path = Path(context.system.folder) / "changed.json"
    path.write_text(json.dumps(shown["document"]))
    return path


def _publish(context: Any, path: Path, base: int, author: str, entry: int) -> Any:
    arguments = [
        "config",
        "publish",
        str(path),
        "--base",
        str(base),
        "--author",
        author,
    ]
    return _run(context, *arguments, entry=entry)


@when("an operator publishes a changed document at the first entry")
def step_publish(context: Any) -> None:
    context.base = _show(context)["version"]
    path = _write_changed(context, "Changed kit shop")
    context.published = _publish(context, path, context.base, "operator-a", 0)


@then("the publish command prints the active version")
def step_published(context: Any) -> None:
    assert context.published.exit_code == 0, context.published.output
    assert f"version {context.base + 1} is active" in context.published.output


@then("every entry shows that version and its author")
def step_all_show(context: Any) -> None:
    entries = range(len(context.system.entries))
    wait_until(
        lambda: all(
            _show(context, number)["version"] > context.base for number in entries
        ),
        "all entries have the new version",
    )
    shown = [_show(context, number) for number in entries]
    expected = (context.base + 1, "operator-a")
    assert {(reply["version"], reply["author"]) for reply in shown} == {expected}, shown


@then("the history and the audit trail contain the change and its author")
def step_audited(context: Any) -> None:
    expected = "workspaces.kit-shop changed (display_name)"
    history = _run(context, "config", "history").stdout
    assert f"by operator-a: {expected}" in history, history
    wait_until(
        lambda: f"by operator-a: {expected}" in _run(context, "audit").stdout,
        "the audit trail shows the change",
    )
    shown = _run(context, "audit").stdout
    assert shown.count(f"version {context.base + 1} by operator-a") == 1, shown


@when("two operators publish changes based on the same version at two entries")
def step_conflicting_publications(context: Any) -> None:
    base = _show(context)["version"]
    path = _write_changed(context, "First of two")
    assert _publish(context, path, base, "operator-a", 0).exit_code == 0
    path = _write_changed(context, "Second of two")
    context.rejected = _publish(context, path, base, "operator-b", 1)


@then("the second fails with the change and the author of the first")
def step_second_fails(context: Any) -> None:
    output = context.rejected.output
    assert context.rejected.exit_code == 1, output
    assert "by operator-a: workspaces.kit-shop changed (display_name)" in output, output


@when("an operator validates a document with two errors")
def step_validate(context: Any) -> None:
    shown = _show(context)["document"]
    shown["workspaces"]["kit-shop"]["services"].append("absent")
    shown["services"]["assistant"]["group"] = "absent"
    path = Path(context.system.folder) / "faulty.json"
    path.write_text(json.dumps(shown))
    context.validated = CliRunner().invoke(main, ["config", "validate", str(path)])


@then("the command reports both errors and exits with 1")
def step_errors_reported(context: Any) -> None:
    output = context.validated.output
    assert context.validated.exit_code == 1, output
    assert "$.workspaces.kit-shop.services[" in output, output
    assert "$.services.assistant.group" in output, output


@when("an operator compares a changed document with the active one")
def step_diff(context: Any) -> None:
    path = _write_changed(context, "Only compared")
    context.shown_diff = _run(context, "config", "diff", str(path)).stdout


@then("the command prints the change")
def step_diff_printed(context: Any) -> None:
    expected = "workspaces.kit-shop changed (display_name)"
    assert context.shown_diff.strip() == expected, context.shown_diff


@when("an operator lists the audit records of drained entries")
def step_audit_kind(context: Any) -> None:
    context.shown_audit = _run(context, "audit", "--kind", "entry_drained")


@then("no configuration change is shown")
def step_audit_filtered(context: Any) -> None:
    assert context.shown_audit.exit_code == 0, context.shown_audit.output
    assert "config_" not in context.shown_audit.output, context.shown_audit.output


@when("the log becomes unavailable and an entry is killed and restarted")
def step_start_in_outage(context: Any) -> None:
    system = context.system
    context.base = _show(context)["version"]
    wait_until(
        lambda: {active["version"] for active in _agent_configs(context)}
        == {context.base},
        "all agents have the active version",
    )
    fetch(f"{system.log_url}/control", "POST", b'{"outage": true}')
    system.processes_named("entry-1")[0].kill()
    command = ["-m", "corianderrelay_entry.run", "serve", "--settings"]
    settings = str(Path(system.folder) / "entry-1.json")
    log_path = Path(system.folder) / "entry-1-again.log"
    process = Process("entry-1", [*command, settings], log_path)
    context.cleanup.callback(process.kill)
    port = process.wait_for_line("operators_port")["operators_port"]
    system.operator_urls[1] = f"http://127.0.0.1:{port}"


@then("the restarted entry gets the version that the others have")
def step_gets_config_in_outage(context: Any) -> None:
    wait_until(
        lambda: context.system.status(context.system.operator_urls[1])["config_version"]
        == context.base,
        "the restarted entry has the active version",
    )
    assert _show(context, 1) == _show(context, 0)


def _agent_configs(context: Any) -> list[dict[str, Any]]:
    """Return the last configuration that each agent has logged as active."""
    logs = [
        process.log_path.read_text()
        for process in context.system.processes_named("agent")
    ]
    activations = [
        [json.loads(line) for line in log.splitlines() if "config:in_force" in line]
        for log in logs
    ]
    return [records[-1] if records else {"version": 0} for records in activations]
