"""Steps for the HTTP adapter of engines and plain services."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when

from corianderrelay.state.errors import RelayError
from corianderrelay_agent.coordination.engine import EngineCall, EngineOrder
from corianderrelay_agent.state.engine_pace import EngineStatement
from corianderrelay_agent.transport.engine_http import HttpEngine

from tests.harness.reactor_loop import reactor, result_of, run_until, serve_stand_in
from tests.standins.engine_batch import EngineBatch
from tests.standins.engine_control import EngineControl
from tests.standins.engine_handler import EngineHandler, IndependentStepper
from tests.standins.engine_model import model_answer
from tests.standins.prefix_cache import PrefixCache
from tests.standins.service_core import ServiceCore
from tests.standins.service_handler import ServiceHandler

_CHAT_REQUEST = {"model": "m", "messages": [{"role": "user", "content": "frames?"}]}


class _Sink:
    def __init__(self) -> None:
        self.data = b""
        self.ends = 0
        self.errors: list[RelayError] = []

    def on_statement(self, statement: EngineStatement) -> None:
        self.statement = statement

    def on_head(self, status: int, content_type: str) -> None:
        self.status = status

    def on_data(self, data: bytes) -> None:
        self.data += data

    def on_end(self) -> None:
        self.ends += 1

    def on_failure(self, error: RelayError) -> None:
        self.errors.append(error)

    @property
    def ended(self) -> bool:
        return bool(self.ends or self.errors)


def _chat_call(**fields: Any) -> EngineCall:
    body = json.dumps(_CHAT_REQUEST | {"stream": True} | fields).encode()
    return EngineCall("POST", "/v1/chat/completions", "application/json", body)


def _connect_adapter(context: Any, handle: Any) -> None:
    url, context.close_standin = serve_stand_in(handle)
    context.engine = HttpEngine(reactor, url)
    context.cleanup.callback(lambda: result_of(context.engine.close()))
    context.cleanup.callback(context.close_standin)
    context.sink = _Sink()


@given("an engine stand-in")
def step_engine(context: Any) -> None:
    context.batch = EngineBatch(slots=4, step_s=0.002)
    control = EngineControl(context.batch, PrefixCache(), reactor)
    handler = EngineHandler(context.batch, control)
    handler.stepper = IndependentStepper(handler, context.batch, reactor)
    _connect_adapter(context, handler.handle)


@given("a plain service stand-in that drops its second answer")
def step_service(context: Any) -> None:
    context.service = ServiceCore()
    _connect_adapter(context, ServiceHandler(context.service, reactor).handle)


@given("the stand-in behind the adapter is stopped")
def step_stopped(context: Any) -> None:
    context.close_standin()


@when("the adapter requests a streamed answer")
def step_request_answer(context: Any) -> None:
    context.engine.start_call(_chat_call(), context.sink)
    run_until(lambda: context.sink.ended)


@then("the sink received the model's answer token by token and its end")
def step_answer(context: Any) -> None:
    events = [
        json.loads(line.removeprefix("data: "))
        for line in context.sink.data.decode().split("\n\n")
        if line and line != "data: [DONE]"
    ]
    deltas = [event["choices"][0]["delta"].get("content") for event in events]
    assert [delta for delta in deltas if delta] == model_answer(_CHAT_REQUEST), deltas
    assert context.sink.data.endswith(b"data: [DONE]\n\n")
    assert (context.sink.ends, context.sink.errors) == (1, [])


@when("the adapter cancels a long answer after its first bytes")
def step_cancel(context: Any) -> None:
    long_answer = _chat_call(max_tokens=100_000, min_tokens=100_000)
    running = context.engine.start_call(long_answer, context.sink)
    run_until(lambda: bool(context.sink.data))
    running.cancel()
    run_until(lambda: context.batch.executions[0].state == "cancelled")


@then("the engine stand-in has cancelled it and the sink receives no end")
def step_cancelled(context: Any) -> None:
    assert not context.sink.ended
    assert context.batch.idle


@when('the adapter calls "{method} {path}" twice on one connection')
def step_call_twice(context: Any, method: str, path: str) -> None:
    body = b"{}" if method == "POST" else b""
    call = EngineCall(method, path, "application/json", body)
    first = _Sink()
    context.engine.start_call(call, first)
    run_until(lambda: first.ended)
    context.service.faults.lose_next_answers = 1
    context.engine.start_call(call, context.sink)
    run_until(lambda: context.sink.ended)


@then("the sink received a failure that says the call ran: {ran}")
def step_failure(context: Any, ran: str) -> None:
    assert [error.ran.value for error in context.sink.errors] == [ran]
    assert context.sink.ends == 0


@then("the plain service stand-in has run the call {count:d} times")
def step_run_count(context: Any, count: int) -> None:
    assert len(context.service.executions) + context.service.reads == count


@when("the adapter sends orders with the fencing tokens {first:d} and {second:d}")
def step_orders(context: Any, first: int, second: int) -> None:
    context.error = None
    result_of(context.engine.send_order(EngineOrder("load_model", "m", first)))
    try:
        result_of(context.engine.send_order(EngineOrder("load_model", "m", second)))
    except RelayError as error:
        context.error = error


@then("the last order failed with {kind}")
def step_order_failed(context: Any, kind: str) -> None:
    assert context.error is not None and context.error.kind == kind, context.error
