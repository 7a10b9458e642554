"""Steps for the register of an entry's latest requests."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from corianderrelay.state.call import Call
from corianderrelay_entry.state.open_request import OpenRequest, RequestPhase
from corianderrelay_entry.state.request_register import RequestRegister


def _request(number: int, body_bytes: int) -> OpenRequest:
    call = Call(
        request_id=f"request-{number}",
        workspace="kit-shop",
        service="assistant",
        method="POST",
        path="/v1/chat/completions",
        content_type="application/json",
        body=bytes(body_bytes),
        deadline_s=60.0,
        prompt_prefix=bytes(body_bytes),
    )
    return OpenRequest(call, 0.0)


def _find(context: Any, number: int, workspace: str = "kit-shop") -> Any:
    return context.register.find(f"request-{number}", workspace)


@given("a full register of {count:d} requests with bodies of {size:d} bytes")
def step_register(context: Any, count: int, size: int) -> None:
    context.register = RequestRegister(count)
    context.requests = [_request(number, size) for number in range(count)]
    for request in context.requests:
        context.register.add(request)


@when("the registered requests end")
def step_end(context: Any) -> None:
    for request in context.requests:
        request.end(RequestPhase.DONE)


@when("{count:d} further requests are registered")
def step_further(context: Any, count: int) -> None:
    first = len(context.requests)
    for number in range(first, first + count):
        context.register.add(_request(number, 10))


@then("the register finds each request without its body")
def step_no_body(context: Any) -> None:
    found = [_find(context, number) for number in range(len(context.requests))]
    assert [one.phase for one in found] == [RequestPhase.DONE] * len(found)
    kept = [len(one.call.body) + len(one.call.prompt_prefix) for one in found]
    assert sum(kept) == 0, kept


@then("the register finds only the latest 3, and none for another workspace")
def step_latest(context: Any) -> None:
    found = [number for number in range(5) if _find(context, number) is not None]
    assert found == [2, 3, 4], found
    assert _find(context, 4, "street-library") is None
