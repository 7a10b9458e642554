"""Steps for the bytes of answers that an agent keeps."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from corianderrelay.state.errors import RelayError
from corianderrelay_agent.coordination.attempt_scheduler import AttemptScheduler
from corianderrelay_agent.coordination.keyed_attempts import KeyedAttempts
from corianderrelay_agent.state.attempt import AttemptOrder
from corianderrelay_agent.state.key_guard import KeyGuard, KeyGuardLimits
from corianderrelay_agent.state.settings import EndpointSettings

_TOKEN_EVENT = b'data: {"content":"x"}\n\n'
_PIECE_BYTES = 65_536


class _Call:
    def __init__(self, sink: Any) -> None:
        self.sink = sink
        self.paused = self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False


class _Engine:
    def __init__(self) -> None:
        self.calls: list[_Call] = []

    def start_call(self, call: Any, sink: Any) -> _Call:
        self.calls.append(_Call(sink))
        return self.calls[-1]


class _Entry:
    def __init__(self) -> None:
        self.failed: list[str] = []

    def send_accepted(self, attempt: Any) -> None:
        pass

    def send_chunk(self, attempt: Any, chunk: Any) -> None:
        pass

    def send_failed(self, attempt: Any, error: RelayError) -> None:
        self.failed.append(attempt.order.attempt_id)


@given("an agent with {count:d} running attempts")
def step_agent(context: Any, count: int) -> None:
    clock = Clock()
    context.engine, context.entry = _Engine(), _Entry()
    endpoint = EndpointSettings(url="http://127.0.0.1:1", service="kit", slots=count)
    guard = KeyGuard(1, KeyGuardLimits(ticket_lifetime_s=5.0))
    context.scheduler = AttemptScheduler(
        context.engine,
        endpoint,
        clock,
        KeyedAttempts(guard, clock.seconds),
        lambda: None,
    )
    context.scheduler.on_entry_connected(context.entry, "entry")
    for number in range(count):
        order = AttemptOrder(
            attempt_id=f"attempt-{number}",
            request_id="r",
            workspace="w",
            service="kit",
            method="GET",
            path="/",
            content_type="",
            body=b"",
            deadline_s=60.0,
        )
        context.scheduler.submit(order, "entry")


def _send(call: _Call, size: int, *, tokens: bool) -> None:
    call.sink.on_head(200, "text/event-stream" if tokens else "text/plain")
    sent = 0
    while sent < size and not call.cancelled:
        piece = min(_PIECE_BYTES, size - sent)
        filler = b": " + b"x" * (piece - len(_TOKEN_EVENT) - 3) + b"\n"
        call.sink.on_data(filler + _TOKEN_EVENT if tokens else b"x" * piece)
        sent += piece


@when("the endpoint sends {size:d} bytes with tokens in each answer")
def step_send_tokens(context: Any, size: int) -> None:
    for call in context.engine.calls:
        _send(call, size, tokens=True)


@when("the endpoint sends {size:d} bytes without a token in the first answer")
def step_send_plain(context: Any, size: int) -> None:
    _send(context.engine.calls[0], size, tokens=False)


@when("the endpoint sends {size:d} acknowledged bytes with tokens in the first answer")
def step_send_acknowledged(context: Any, size: int) -> None:
    attempt = context.scheduler.find_attempt("attempt-0")
    for _ in range(size // _PIECE_BYTES):
        _send(context.engine.calls[0], _PIECE_BYTES, tokens=True)
        context.scheduler.acknowledge("attempt-0", attempt.next_sequence - 1)


@then("all answers are paused")
def step_paused(context: Any) -> None:
    assert all(call.paused for call in context.engine.calls)


@when("the entry acknowledges {size:d} bytes of the first answer")
def step_acknowledge(context: Any, size: int) -> None:
    attempt = context.scheduler.find_attempt("attempt-0")
    context.scheduler.acknowledge("attempt-0", attempt.next_sequence - 2)
    assert attempt.unacknowledged_bytes <= attempt.next_sequence * _PIECE_BYTES - size


@then("the first answer is read on, and the others are paused")
def step_resumed(context: Any) -> None:
    first, *others = context.engine.calls
    assert not first.paused and all(call.paused for call in others)


@then("the first attempt fails and its call is cancelled")
def step_failed(context: Any) -> None:
    assert context.entry.failed == ["attempt-0"], context.entry.failed
    assert context.engine.calls[0].cancelled


@then("the other attempts go on")
def step_others(context: Any) -> None:
    _, *others = context.engine.calls
    assert not any(call.cancelled for call in others)


@then("no attempt has failed")
def step_none_failed(context: Any) -> None:
    assert not context.entry.failed and not context.engine.calls[0].paused


@then("the attempts that are left keep at most {limit:d} bytes")
def step_kept(context: Any, limit: int) -> None:
    kept = context.scheduler.attempts_by_id.values()
    assert sum(attempt.unacknowledged_bytes for attempt in kept) <= limit
    assert context.entry.failed and len(kept) >= 60, len(kept)
