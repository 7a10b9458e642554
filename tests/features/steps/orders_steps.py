"""Steps that send orders to a running system of processes."""

from __future__ import annotations

import itertools
import json
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import then, when

from demo.processes import fetch
from demo.system import KIT_SHOP_KEY
from tests.waiting import wait_until

_order_numbers = itertools.count(1)


def _create_order(context: Any) -> None:
    number = next(_order_numbers)
    context.order_key = f"order-{number}-{time.monotonic_ns()}"
    context.order_body = json.dumps({"kit": f"frames-{number}"}).encode()


def _send_order(context: Any, entry: int, body: bytes | None = None) -> Any:
    headers = {
        "Authorization": f"Bearer {KIT_SHOP_KEY}",
        "Idempotency_Key": context.order_key,
        "Content_Type": "application/json",
    }
    url = f"{context.system.entries[entry]}/services/orders/orders"
    return fetch(url, "POST", body or context.order_body, **headers)


def _set_faults(url: str, **faults: Any) -> None:
    fetch(f"{url}/control", "POST", json.dumps(faults).encode())


def _fetch_executions(context: Any) -> list[Any]:
    answer = fetch(f"{context.system.service_url}/executions")[2]
    sent_body = json.loads(context.order_body)
    executions = json.loads(answer)["executions"]
    return [run for run in executions if run["body"] == sent_body]


def _parse_error(answer: Any) -> Any:
    return json.loads(answer[2])["error"]


@when("an order is sent {times:d} times to each entry concurrently with one key")
def step_send_at_once(context: Any, times: int) -> None:
    _create_order(context)
    entries = list(range(len(context.system.entries))) * times
    with ThreadPoolExecutor(len(entries)) as pool:
        context.answers = list(
            pool.map(lambda entry_index: _send_order(context, entry_index), entries)
        )


@when("an order is sent with the key of a different order")
def step_send_other_body(context: Any) -> None:
    _create_order(context)
    assert _send_order(context, 0)[0] == 201
    context.answers = [_send_order(context, 1, b'{"kit":"another"}')]


@when(
    "an order is sent during a log service outage and retried with its key afterwards"
)
def step_send_in_outage(context: Any) -> None:
    _create_order(context)
    _set_faults(context.system.log_url, outage=True)
    try:
        wait_until(
            lambda: _send_order(context, 0)[0] == 503, "the entry detects the outage"
        )
        context.answers = [_send_order(context, 0)]
    finally:
        _set_faults(context.system.log_url, outage=False)
    wait_until(
        lambda: _send_order(context, 0)[0] == 201, "the log service is available again"
    )
    context.answers.append(_send_order(context, 1))


@when("an order is sent while the log service drops an append response")
def step_send_with_lost_append_response(context: Any) -> None:
    _create_order(context)
    _set_faults(context.system.log_url, lose_next_answers=1)
    context.answers = [_send_order(context, 0)]


@when("an order is sent whose endpoint drops the response, and retried with its key")
def step_send_with_lost_endpoint_response(context: Any) -> None:
    _create_order(context)
    _set_faults(context.system.service_url, lose_next_answers=1)
    context.answers = [_send_order(context, 0), _send_order(context, 1)]


@when("an order's entry is killed during the order, and another entry gets its key")
def step_kill_entry(context: Any) -> None:
    _create_order(context)
    _set_faults(context.system.service_url, delay_s=2.0)
    entry = context.system.processes_named("entry-0")[0]
    with ThreadPoolExecutor(1) as pool:
        pending_request = pool.submit(_send_order, context, 0)
        wait_until(
            lambda: bool(_fetch_executions(context)), "the endpoint runs the order"
        )
        entry.kill()
        assert pending_request.exception() is not None
    _set_faults(context.system.service_url, delay_s=0.0)
    context.answers = [_send_order(context, 1)]


@then("each caller gets the answer of that order")
def step_own_answer(context: Any) -> None:
    (execution,) = _fetch_executions(context)
    for status, _, body in context.answers:
        assert status == 201, body
        assert json.loads(body)["id"] == execution["number"], body


@then("that order ran once")
def step_run_once(context: Any) -> None:
    assert len(_fetch_executions(context)) == 1, _fetch_executions(context)


@then("the order is refused with the error kind {kind} and ran={ran}")
def step_order_refused(context: Any, kind: str, ran: str) -> None:
    (answer,) = context.answers
    error = _parse_error(answer)
    assert (error["kind"], error["ran"]) == (kind, ran), error


@then("the first is refused as not run with Retry-After, and the second is answered")
def step_refused_then_answered(context: Any) -> None:
    first, second = context.answers
    assert first[0] == 503 and _parse_error(first)["ran"] == "no", first
    assert int(first[1]["retry-after"]) > 0, first[1]
    assert second[0] == 201, second


@then("both callers get an unknown outcome")
def step_unknown_outcome(context: Any) -> None:
    ran_values = [_parse_error(answer)["ran"] for answer in context.answers]
    assert ran_values == ["unknown", "unknown"], ran_values
