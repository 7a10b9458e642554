"""Steps that run the operators' commands against a running system."""

from __future__ import annotations

import json
from typing import Any

from behave import then, when
from click.testing import CliRunner

from corianderrelay_entry.cli import main

from demo.processes import fetch
from demo.system import KIT_SHOP_KEY
from tests.features.steps.whole_path_steps import chat_body, send_chat
from tests.waiting import wait_until

_UNREACHABLE_URL = "http://127.0.0.1:1"


def _run(
    context: Any,
    command: str,
    *flags: str,
    entry: int = 0,
    overrides: dict[str, str] | None = None,
) -> Any:
    options = {
        "--operators-url": context.system.operator_urls[entry],
        "--token-file": str(context.system.folder / "operators.token"),
    } | (overrides or {})
    option_arguments = [part for pair in options.items() for part in pair]
    return CliRunner().invoke(main, [command, *flags, *option_arguments])


@when("an operator requests the status of an entry")
def step_status(context: Any) -> None:
    context.shown = _run(context, "status")
    context.shown_json = _run(context, "status", "--json")


@then("the text and the JSON list every runner")
def step_lists_runners(context: Any) -> None:
    assert context.shown.exit_code == 0, context.shown.output
    runners = json.loads(context.shown_json.output)["runners"]
    names = {runner["instance_id"] for runner in runners}
    assert names == set(context.system.agent_ports), names
    assert all(name in context.shown.output for name in names), context.shown.output


@when("an operator requests the status with {fault}")
def step_failing_status(context: Any, fault: str) -> None:
    wrong_token = context.system.folder / "wrong.token"
    wrong_token.write_text("guessed")
    overrides = {
        "a wrong token": {"--token-file": str(wrong_token)},
        "a wrong address": {"--operators-url": _UNREACHABLE_URL},
        "no token file": {"--token-file": "/nowhere/token"},
    }[fault]
    context.result = _run(context, "status", overrides=overrides)


@then('the command exits with {code:d} and prints "{text}"')
def step_command_exits(context: Any, code: int, text: str) -> None:
    assert context.result.exit_code == code, context.result.output
    assert text in context.result.output, context.result.output


def _entry_ids(entry: str) -> list[str]:
    reply = json.loads(fetch(f"{entry}/v1/entries")[2])
    return sorted(listed["instance_id"] for listed in reply["entries"])


def _all_list(context: Any, entry_ids: list[str]) -> bool:
    return all(_entry_ids(entry) == entry_ids for entry in context.system.entries)


@when("an operator drains the second entry")
def step_drain(context: Any) -> None:
    wait_until(
        lambda: _all_list(context, ["entry-0", "entry-1"]), "both entries are listed"
    )
    result = _run(context, "drain", entry=1)
    assert result.exit_code == 0, result.output


@then("both entries list only the first one to callers")
def step_only_first(context: Any) -> None:
    wait_until(
        lambda: _all_list(context, ["entry-0"]), "a draining entry is no longer listed"
    )


@then("the second entry still answers a chat completion")
def step_still_answers(context: Any) -> None:
    entry = context.system.entries[1]
    status, _, body = send_chat(entry, chat_body("Hi", stream=False), KIT_SHOP_KEY)
    assert status == 200, body
