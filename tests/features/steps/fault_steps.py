"""Steps that make processes die, freeze and fall silent."""

from __future__ import annotations

import json
import random
import signal
import time
from collections import Counter
from http.client import HTTPException
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.system import temporary_folder
from tests.harness.processes import RUNNERS, FaultSystem, expected_text, text_of
from tests.waiting import wait_until

_SEED = 20261204
_STEP_S = 0.03
_ORDER_S = 0.3
_SPREAD_S = 0.6
_ANSWER_LIMIT_S = 60.0


@given("a system of processes that can fail")
def step_system(context: Any) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.faults = FaultSystem(Path(folder), _STEP_S)
    context.cleanup.callback(context.faults.kill)
    context.faults.start()
    wait_until(lambda: context.faults.ready(RUNNERS), "the entries know all runners")
    context.orders = {}


def _spread_orders(context: Any, count: int) -> None:
    """Begin orders at entry-0 at fixed random times, so that each is elsewhere."""
    context.faults.control(context.faults.service_url, delay_s=_ORDER_S)
    pauses = random.Random(_SEED)
    for number in range(count):
        key = f"2026-12-04-order-{number}"
        context.orders[key] = [context.faults.order(0, key)]
        time.sleep(pauses.uniform(0, 2 * _SPREAD_S / count))


def _answer(call: Any) -> tuple[int, dict[str, str], bytes] | None:
    """Return a call's answer; ``None`` if its connection was cut."""
    try:
        answered: tuple[int, dict[str, str], bytes] = call.result(_ANSWER_LIMIT_S)
    except (OSError, HTTPException):
        return None
    return answered


@when("entry-0 is killed amid {count:d} orders")
def step_kill_entry(context: Any, count: int) -> None:
    _spread_orders(context, count)
    context.faults.named("entry-0").kill()


@when("entry-0 is frozen amid {count:d} orders")
def step_freeze_entry(context: Any, count: int) -> None:
    _spread_orders(context, count)
    context.faults.freeze("entry-0")


@when("the callers repeat their orders at the other entry")
def step_repeat(context: Any) -> None:
    repeats = {key: context.faults.order(1, key) for key in context.orders}
    for key, call in repeats.items():
        assert _answer(call) is not None, "the other entry cut a connection"
        context.orders[key].append(call)


@when("entry-0 is woken and its callers are answered")
def step_wake(context: Any) -> None:
    context.faults.thaw("entry-0")
    for calls in context.orders.values():
        _answer(calls[0])


@then("no order ran twice, and none that was told not to have run ran")
def step_at_most_once(context: Any) -> None:
    executions = context.faults.executions(context.faults.service_url)
    runs_by_key = Counter(execution["body"]["item"] for execution in executions)
    assert runs_by_key, "no order ran at all: the test shows nothing"
    assert max(runs_by_key.values()) == 1, runs_by_key
    for key, calls in context.orders.items():
        answers = [answer for answer in map(_answer, calls) if answer is not None]
        ran = [_ran(answer) for answer in answers]
        told_not_run = "no" in ran and "yes" not in ran
        assert not (told_not_run and runs_by_key[key]), (key, answers)
        assert "yes" not in ran or runs_by_key[key], (key, answers)


def _ran(answer: tuple[int, dict[str, str], bytes]) -> str:
    status, _, body = answer
    return "yes" if status < 400 else str(json.loads(body)["error"]["ran"])


def _stream(context: Any, count: int) -> None:
    """Begin answers at both entries and wait until each engine is giving some."""
    prompts = [f"Which frames fit hive {number}?" for number in range(count)]
    context.chats = {
        prompt: context.faults.chat(number % 2, prompt)
        for number, prompt in enumerate(prompts)
    }
    wait_until(lambda: _running(context) == count, "all answers have begun")


def _running(context: Any) -> int:
    executions = [
        execution
        for url in context.faults.engine_urls
        for execution in context.faults.executions(url)
    ]
    return sum(1 for execution in executions if execution["emitted"] > 0)


@when("{count:d} answers stream and agent-0 is killed")
def step_kill_agent(context: Any, count: int) -> None:
    _stream(context, count)
    context.faults.named("agent-0").kill()


@when("{count:d} answers stream and the connections to agent-0 fall silent")
def step_hush(context: Any, count: int) -> None:
    _stream(context, count)
    context.faults.hush("agent-0")


@when("{count:d} answers stream and entry-0 and agent-0 are told to stop")
def step_drain(context: Any, count: int) -> None:
    _stream(context, count)
    for name in ("entry-0", "agent-0"):
        context.faults.named(name).signal(signal.SIGTERM)


@then("each caller has its own whole answer")
def step_whole(context: Any) -> None:
    for prompt, call in context.chats.items():
        answer = _answer(call)
        assert answer is not None, f"cut: {prompt}"
        assert answer[0] == 200, answer
        assert text_of(answer[2]) == expected_text(prompt), prompt


@then("the drained processes end with status 0")
def step_drained(context: Any) -> None:
    statuses = [context.faults.named(name).wait() for name in ("entry-0", "agent-0")]
    assert statuses == [0, 0], statuses


@when("the log is out and a caller sends an order and a chat")
def step_log_out(context: Any) -> None:
    context.faults.control(context.faults.log_url, outage=True)
    context.refused = context.faults.order(0, "2026-12-04-out").result(_ANSWER_LIMIT_S)
    context.chats = {"Is it sunny?": context.faults.chat(0, "Is it sunny?")}


@then("the order is refused as not run with Retry-After, and the chat is answered")
def step_refused(context: Any) -> None:
    status, headers, body = context.refused
    assert status == 503, context.refused
    assert json.loads(body)["error"]["ran"] == "no", body
    assert int(headers["retry-after"]) > 0, headers
    step_whole(context)
    assert context.faults.executions(context.faults.service_url) == []


@then("the same order runs once when the log is back")
def step_log_back(context: Any) -> None:
    context.faults.control(context.faults.log_url, outage=False)

    def order_is_taken() -> bool:
        status, _, _ = context.faults.order(0, "2026-12-04-out").result(_ANSWER_LIMIT_S)
        return bool(status < 400)

    wait_until(order_is_taken, "the order is taken")
    assert len(context.faults.executions(context.faults.service_url)) == 1


@when("the log loses the answers to its next {count:d} appends and an order is sent")
def step_lose_appends(context: Any, count: int) -> None:
    context.faults.control(context.faults.log_url, lose_next_answers=count)
    context.answer = context.faults.order(0, "2026-12-04-lost").result(_ANSWER_LIMIT_S)


@then("the order ran once and its caller has the answer")
def step_ran_once(context: Any) -> None:
    assert context.answer[0] < 300, context.answer
    assert len(context.faults.executions(context.faults.service_url)) == 1
