"""Steps that check that answers arrive complete while processes fail."""

from __future__ import annotations

import itertools
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.processes import fetch
from demo.system import KIT_SHOP_KEY, DemoSystem, temporary_folder
from tests.standins.engine_model import model_answer
from tests.standins.silent_proxy import SilentProxy
from tests.waiting import wait_until

_RUNNER_COUNT = 4
_ENGINE_STEP_S = "0.03"
_ANSWER_TOKENS = 90
_FAULT_DELAY_S = 1.0
_PAUSE_S = 5.0
_START_TIMEOUT_S = 20.0
_REQUESTS_PER_ENTRY = 15
_MAX_REQUESTS = 60
_GROUP_RANKS = 2


def _chat_body(number: int) -> bytes:
    prompt = f"{number}: which frames fit?"
    chat = {
        "model": "kit-model",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": _ANSWER_TOKENS,
        "min_tokens": _ANSWER_TOKENS,
        "stream": True,
    }
    return json.dumps(chat).encode()


def _send_chat(entry: str, number: int) -> tuple[int, bytes]:
    url = f"{entry}/v1/chat/completions"
    status, _, body = fetch(
        url, "POST", _chat_body(number), Authorization=f"Bearer {KIT_SHOP_KEY}"
    )
    return status, body


def _parse_answer_text(answer: bytes) -> str:
    events = [line[6:] for line in answer.decode().splitlines() if line[:6] == "data: "]
    assert events and events[-1] == "[DONE]", events[-1:]
    choices = [json.loads(event)["choices"][0] for event in events[:-1]]
    final_choices = [choice for choice in choices if choice["finish_reason"]]
    assert len(final_choices) == 1, f"got {len(final_choices)} final events, not 1"
    return "".join(choice["delta"].get("content", "") for choice in choices)


class _ProxiedSystem(DemoSystem):
    """Registers agent-1 behind a proxy that can silence its open connections."""

    proxy: SilentProxy

    def _register(self, name: str, role: str, zone: str, port: int) -> None:
        if name == "agent-1":
            self.proxy = SilentProxy(port)
            port = self.proxy.port
        super()._register(name, role, zone, port)


def _start_load(
    context: Any, system: DemoSystem, callers: int, group_ranks: int = 0
) -> None:
    context.system = system
    context.cleanup.callback(system.kill)
    system.engine_options = ["--step-s", _ENGINE_STEP_S]
    # Without a group each engine steps alone; in a group, a failed rank blocks all.
    system.group_ranks = group_ranks
    system.start()
    wait_until(lambda: system.ready(_RUNNER_COUNT), "the entries list all runners")
    pool = context.cleanup.enter_context(ThreadPoolExecutor(_MAX_REQUESTS))
    numbers = itertools.count()
    context.answers = [
        _submit_chat(pool, system, next(numbers)) for _ in range(callers)
    ]
    # Runners are chosen at random; agent-1 must be in use when the fault occurs. On a
    # busy machine it takes seconds until the first requests run.
    give_up_at = time.monotonic() + _START_TIMEOUT_S
    while not _count_running_at_engine_1(system):
        assert time.monotonic() < give_up_at, "agent-1 was never chosen"
        if len(context.answers) < _MAX_REQUESTS:
            context.answers.append(_submit_chat(pool, system, next(numbers)))
        time.sleep(_FAULT_DELAY_S / 10)


def _submit_chat(pool: ThreadPoolExecutor, system: DemoSystem, number: int) -> Any:
    entry = system.entries[number % len(system.entries)]
    return pool.submit(_send_chat, entry, number)


def _count_running_at_engine_1(system: DemoSystem) -> int:
    executions = json.loads(fetch(f"{system.engine_urls[1]}/executions")[2])
    states = [execution["state"] for execution in executions["executions"]]
    return states.count("running")


@given("{callers:d} callers that stream answers through both entries")
def step_callers(context: Any, callers: int) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    _start_load(context, DemoSystem(Path(folder)), callers)


@given("{callers:d} callers that stream answers in a system with a lock-step group")
def step_group(context: Any, callers: int) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    _start_load(context, DemoSystem(Path(folder)), callers, _GROUP_RANKS)


@given("{callers:d} callers that stream answers with a proxy in front of agent-1")
def step_proxied(context: Any, callers: int) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    system = _ProxiedSystem(Path(folder))
    _start_load(context, system, callers)
    context.cleanup.callback(system.proxy.close)


@when("answers are in flight and the proxy's open connections go silent")
def step_silent(context: Any) -> None:
    time.sleep(_FAULT_DELAY_S)
    context.system.proxy.silence()


@when("answers are in flight and {name} is {fault}")
def step_inject_fault(context: Any, name: str, fault: str) -> None:
    time.sleep(_FAULT_DELAY_S)
    process = context.process = context.system.processes_named(name)[0]
    if fault == "killed":
        process.kill()
    elif fault == "paused":
        process.signal(signal.SIGSTOP)
        time.sleep(_PAUSE_S)
        process.signal(signal.SIGCONT)
    elif fault == "stalled":
        url = f"{context.system.engine_urls[1]}/control"
        fetch(url, "POST", json.dumps({"stalled": True}).encode())
    else:
        process.signal(signal.SIGTERM)
        context.executions = _count_executions(context)


def _count_executions(context: Any) -> int:
    time.sleep(0.3)
    url = f"{context.system.engine_urls[1]}/executions"
    return len(json.loads(fetch(url)[2])["executions"])


@then("all answers arrive complete and match the model's output")
def step_complete_answers(context: Any) -> None:
    for number, answer in enumerate(context.answers):
        status, body = answer.result(timeout=60)
        assert status == 200, (number, status, body)
        expected = "".join(model_answer(json.loads(_chat_body(number))))
        assert _parse_answer_text(body) == expected, number


def _sum_metric(context: Any, name: str, label: str = "") -> float:
    lines = [
        line
        for entry in context.system.entries
        for line in fetch(f"{entry}/metrics")[2].decode().splitlines()
        if line.startswith(name) and label in line
    ]
    return sum(float(line.split()[-1]) for line in lines)


def _count_recoveries(context: Any) -> float:
    further_attempts = _sum_metric(context, "entry_attempts_total", 'kind="further"')
    return further_attempts + _sum_metric(context, "entry_attaches_total")


@then("the entries made further attempts or reattached to streams")
def step_further_attempts_or_reattached(context: Any) -> None:
    assert _count_recoveries(context) > 0


@then("the entries reattached to streams and made no further attempts")
def step_only_reattached(context: Any) -> None:
    assert _sum_metric(context, "entry_attaches_total") > 0
    assert _sum_metric(context, "entry_attempts_total", 'kind="further"') == 0


@then("the entries made no further attempts and never reattached")
def step_no_recoveries(context: Any) -> None:
    assert _count_recoveries(context) == 0


@then("the process {name} exits with code {code:d}")
def step_exit(context: Any, name: str, code: int) -> None:
    assert context.process.wait(20) == code


@then("the entries send {name} no new requests")
def step_no_new_work(context: Any, name: str) -> None:
    before = context.executions
    entries = context.system.entries * _REQUESTS_PER_ENTRY
    with ThreadPoolExecutor(2 * _REQUESTS_PER_ENTRY) as pool:
        answers = list(pool.map(_send_chat, entries, range(100, 100 + len(entries))))
    assert {status for status, _ in answers} == {200}
    assert _count_executions(context) == before


@then("each entry reports {count:d} usable agents")
def step_usable_agents(context: Any, count: int) -> None:
    entries = len(context.system.entries)
    wait_until(
        lambda: _sum_metric(context, "entry_usable_agents") == entries * count,
        f"{count} usable agents at each entry",
    )
