"""Steps that kill, pause and drain processes and silence connections."""

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
from tests.harness.fault_system import (
    LONG_ANSWER_PROMPT,
    RUNNER_COUNT,
    FaultSystem,
    expected_text,
    parse_answer_text,
)
from tests.waiting import wait_until

_PAUSE_SEED = 20261204
_ENGINE_STEP_S = 0.03
_ORDER_DURATION_S = 0.3
_ARRIVAL_SPAN_S = 0.6
_ANSWER_TIMEOUT_S = 60.0


@given("a running system for fault injection")
def step_system(context: Any) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.fault_system = FaultSystem(Path(folder), _ENGINE_STEP_S)
    context.cleanup.callback(context.fault_system.kill)
    context.fault_system.start()
    wait_until(
        lambda: context.fault_system.ready(RUNNER_COUNT), "the entries list all runners"
    )
    context.orders = {}


def _start_spaced_orders(context: Any, count: int) -> None:
    """Start orders at entry-0 at seeded random intervals.

    Each order is then at a different stage of processing when the fault occurs.
    """
    context.fault_system.set_faults(
        context.fault_system.service_url, delay_s=_ORDER_DURATION_S
    )
    pauses = random.Random(_PAUSE_SEED)
    for number in range(count):
        key = f"2026-12-04-order-{number}"
        context.orders[key] = [context.fault_system.start_order(0, key)]
        time.sleep(pauses.uniform(0, 2 * _ARRIVAL_SPAN_S / count))


def _wait_for_answer(future: Any) -> tuple[int, dict[str, str], bytes] | None:
    """Return a request's answer, or ``None`` if its connection broke."""
    try:
        answered: tuple[int, dict[str, str], bytes] = future.result(_ANSWER_TIMEOUT_S)
    except (OSError, HTTPException):
        return None
    return answered


@when("entry-0 is killed while {count:d} orders are in flight")
def step_kill_entry(context: Any, count: int) -> None:
    _start_spaced_orders(context, count)
    context.fault_system.process_named("entry-0").kill()


@when("entry-0 is paused while {count:d} orders are in flight")
def step_pause_entry(context: Any, count: int) -> None:
    _start_spaced_orders(context, count)
    context.fault_system.pause("entry-0")


@when("the callers retry their orders at the other entry")
def step_retry_orders(context: Any) -> None:
    retries = {key: context.fault_system.start_order(1, key) for key in context.orders}
    for key, future in retries.items():
        assert _wait_for_answer(future) is not None, "the retry got no answer"
        context.orders[key].append(future)


@when("entry-0 is resumed and its callers' requests end")
def step_resume_entry(context: Any) -> None:
    context.fault_system.resume("entry-0")
    for futures in context.orders.values():
        _wait_for_answer(futures[0])


@then("no order ran twice, and no order that was reported as not run ran")
def step_at_most_once(context: Any) -> None:
    executions = context.fault_system.executions(context.fault_system.service_url)
    runs_by_key = Counter(execution["body"]["item"] for execution in executions)
    assert runs_by_key, "no order ran, so the test proves nothing"
    assert max(runs_by_key.values()) == 1, runs_by_key
    for key, futures in context.orders.items():
        answers = [
            answer for answer in map(_wait_for_answer, futures) if answer is not None
        ]
        ran = [_parse_ran(answer) for answer in answers]
        reported_not_run = "no" in ran and "yes" not in ran
        assert not (reported_not_run and runs_by_key[key]), (key, answers)
        assert "yes" not in ran or runs_by_key[key], (key, answers)


def _parse_ran(answer: tuple[int, dict[str, str], bytes]) -> str:
    status, _, body = answer
    return "yes" if status < 400 else str(json.loads(body)["error"]["ran"])


def _start_streams(context: Any, count: int) -> None:
    """Start answers at both entries and wait until each has emitted tokens."""
    prompts = [f"Which frames fit hive {number}?" for number in range(count)]
    context.chats = {
        prompt: context.fault_system.start_chat(number % 2, prompt)
        for number, prompt in enumerate(prompts)
    }
    wait_until(
        lambda: _count_started_answers(context) == count, "all answers have started"
    )


def _count_started_answers(context: Any) -> int:
    executions = [
        execution
        for url in context.fault_system.engine_urls
        for execution in context.fault_system.executions(url)
    ]
    return sum(1 for execution in executions if execution["emitted"] > 0)


@when("{count:d} answers stream and agent-0 is killed")
def step_kill_agent(context: Any, count: int) -> None:
    _start_streams(context, count)
    context.fault_system.process_named("agent-0").kill()


@when("{count:d} answers stream and the open connections to agent-0 go silent")
def step_silence_connections(context: Any, count: int) -> None:
    _start_streams(context, count)
    context.fault_system.silence_connections("agent-0")


@when("{count:d} answers stream and entry-0 and agent-0 get SIGTERM")
def step_drain(context: Any, count: int) -> None:
    _start_streams(context, count)
    for name in ("entry-0", "agent-0"):
        context.fault_system.process_named(name).signal(signal.SIGTERM)


@then("each caller gets its own complete answer")
def step_complete_answers(context: Any) -> None:
    for prompt, future in context.chats.items():
        answer = _wait_for_answer(future)
        assert answer is not None, f"connection broke before the answer to: {prompt}"
        assert answer[0] == 200, answer
        assert parse_answer_text(answer[2]) == expected_text(prompt), prompt


@then("the drained processes exit with status 0")
def step_drained_exit(context: Any) -> None:
    statuses = [
        context.fault_system.process_named(name).wait()
        for name in ("entry-0", "agent-0")
    ]
    assert statuses == [0, 0], statuses


@when("the log service is unavailable and a caller sends an order and a chat")
def step_log_outage(context: Any) -> None:
    context.fault_system.set_faults(context.fault_system.log_url, outage=True)
    prompt = f"Is it sunny? {LONG_ANSWER_PROMPT}"
    chat = context.fault_system.start_chat(0, prompt)
    context.refused = context.fault_system.start_order(0, "2026-12-04-out").result(
        _ANSWER_TIMEOUT_S
    )
    assert not chat.done(), "the order's refusal took longer than a long answer"
    context.chats = {prompt: chat}


@then("the order is refused as not run with Retry-After, and the chat is answered")
def step_refused(context: Any) -> None:
    status, headers, body = context.refused
    assert status == 503, context.refused
    assert json.loads(body)["error"]["ran"] == "no", body
    assert int(headers["retry-after"]) > 0, headers
    step_complete_answers(context)
    assert context.fault_system.executions(context.fault_system.service_url) == []


@then("the same order runs once after the log service recovers")
def step_log_recovery(context: Any) -> None:
    context.fault_system.set_faults(context.fault_system.log_url, outage=False)

    def order_accepted() -> bool:
        status, _, _ = context.fault_system.start_order(0, "2026-12-04-out").result(
            _ANSWER_TIMEOUT_S
        )
        return bool(status < 400)

    wait_until(order_accepted, "the order is accepted")
    assert len(context.fault_system.executions(context.fault_system.service_url)) == 1


@when("the log service drops its next {count:d} append responses and an order is sent")
def step_drop_append_responses(context: Any, count: int) -> None:
    context.fault_system.set_faults(
        context.fault_system.log_url, lose_next_answers=count
    )
    context.answer = context.fault_system.start_order(0, "2026-12-04-lost").result(
        _ANSWER_TIMEOUT_S
    )


@then("the order runs once and its caller gets the answer")
def step_ran_once(context: Any) -> None:
    assert context.answer[0] < 300, context.answer
    assert len(context.fault_system.executions(context.fault_system.service_url)) == 1
