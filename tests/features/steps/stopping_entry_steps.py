"""Steps for an entry with agents that is stopped while requests are open."""

from __future__ import annotations

import json
import signal
import threading
import time
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.system import KIT_SHOP_KEY, DemoSystem, temporary_folder
from tests.features.steps.whole_path_steps import chat_body, send_chat
from tests.waiting import wait_until

_RUNNERS = 4
_SLOW_STEP_S = 2.0
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


@given("entries with a drain deadline of {deadline:d} s, and engines that need longer")
def step_entries(context: Any, deadline: int) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.system = system = DemoSystem(Path(folder))
    context.cleanup.callback(system.kill)
    system.engine_options = ["--step-s", str(_SLOW_STEP_S)]
    system.entry_timing |= {"drain_deadline_s": deadline, "entries_ttl_s": 1.0}
    system.start()
    wait_until(lambda: system.ready(_RUNNERS), "the entries list all runners")


def _ask(context: Any) -> tuple[int, Any]:
    body = chat_body("Which frames fit?", stream=False)
    status, _, answer = send_chat(context.system.entries[1], body, KIT_SHOP_KEY)
    return status, json.loads(answer)


@when(
    "entry-1 is stopped while a caller waits, and another caller asks {seconds:d} s "
    "later"
)
def step_stopped(context: Any, seconds: int) -> None:
    process = context.system.processes_named("entry-1")[0]
    answers: list[tuple[int, Any]] = []
    first = threading.Thread(target=lambda: answers.append(_ask(context)))
    first.start()
    time.sleep(1.0)
    process.signal(signal.SIGTERM)
    time.sleep(seconds)
    context.later = _ask(context)
    first.join()
    context.first = answers[0]
    process.wait()


@then("the other caller is told that its request has not run")
def step_not_run(context: Any) -> None:
    status, body = context.later
    assert (status, body["error"]["ran"]) == (_UNAVAILABLE, "no"), context.later


@then("the first caller is told that its request may have run")
def step_may_have_run(context: Any) -> None:
    status, body = context.first
    assert (status, body["error"]["ran"]) == (_BAD_GATEWAY, "unknown"), context.first
