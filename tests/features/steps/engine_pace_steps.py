"""Steps for an agent that respects the limits of its endpoint."""

from __future__ import annotations

import itertools
from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from corianderrelay.state.errors import RelayError
from corianderrelay_agent.coordination.attempt_scheduler import AttemptScheduler
from corianderrelay_agent.coordination.keyed_attempts import KeyedAttempts
from corianderrelay_agent.state.attempt import AttemptOrder
from corianderrelay_agent.state.engine_pace import (
    EnginePace,
    EngineStatement,
    parse_limit,
)
from corianderrelay_agent.state.key_guard import KeyGuard, KeyGuardLimits
from corianderrelay_agent.state.settings import EndpointSettings

_ANSWER_S = 0.1
_DEADLINE_S = 2.0
_STEP_S = 0.1
_WINDOW_S = 4.0


class _Call:
    def cancel(self) -> None:
        pass


class _Engine:
    """Answers each call after 0.1 s and states a limit."""

    def __init__(self, clock: Clock, limit_per_s: float | None) -> None:
        self._clock = clock
        self._limit_per_s = limit_per_s
        self.starts: list[float] = []

    def start_call(self, call: Any, sink: Any) -> _Call:
        self.starts.append(self._clock.seconds())
        self._clock.callLater(_ANSWER_S, self._answer, sink)
        return _Call()

    def _answer(self, sink: Any) -> None:
        sink.on_statement(EngineStatement(self._limit_per_s))
        sink.on_head(200, "text/plain")
        sink.on_end()


class _Entry:
    def __init__(self) -> None:
        self.refusals: list[tuple[str, RelayError]] = []

    def send_refused(self, attempt_id: str, error: RelayError) -> None:
        self.refusals.append((attempt_id, error))

    def send_accepted(self, attempt: Any) -> None:
        pass

    def send_chunk(self, attempt: Any, chunk: Any) -> None:
        pass

    def send_done(self, attempt: Any) -> None:
        pass


@given("an agent whose {source} limits it to {limit:g} requests a second")
def step_agent(context: Any, source: str, limit: float) -> None:
    context.limit = limit
    context.clock = Clock()
    by_operator = source == "operator"
    context.engine = _Engine(context.clock, None if by_operator else limit)
    endpoint = EndpointSettings(
        url="http://127.0.0.1:1",
        service="kit",
        requests_per_s=limit if by_operator else None,
    )
    guard = KeyGuard(1, KeyGuardLimits(ticket_lifetime_s=5.0))
    context.scheduler = AttemptScheduler(
        context.engine,
        endpoint,
        context.clock,
        KeyedAttempts(guard, context.clock.seconds),
        lambda: None,
    )
    context.pace = EnginePace(limit if by_operator else None, 0.0)


@when("{entries:d} entries submit {per_s:d} attempts a second each for {length_s:d} s")
def step_submit(context: Any, entries: int, per_s: int, length_s: int) -> None:
    context.length_s = length_s
    context.entries = {f"entry-{number}": _Entry() for number in range(entries)}
    for name, entry in context.entries.items():
        context.scheduler.on_entry_connected(entry, name)
    numbers = itertools.count()
    for _ in range(length_s * per_s):
        for name in context.entries:
            order = AttemptOrder(
                attempt_id=f"attempt-{next(numbers)}",
                request_id="r",
                workspace="w",
                service="kit",
                method="GET",
                path="/",
                content_type="",
                body=b"",
                deadline_s=context.clock.seconds() + _DEADLINE_S,
            )
            context.scheduler.submit(order, name)
        context.clock.advance(1.0 / per_s)


@then("in any 4 s at most 1.5 times the limit and 5 attempts start")
def step_window(context: Any) -> None:
    # The first answer that states the limit comes after the first attempts.
    starts = [at for at in context.engine.starts if at > _ANSWER_S]
    most = max(sum(at <= each < at + _WINDOW_S for each in starts) for at in starts)
    assert most <= 1.5 * _WINDOW_S * context.limit + 5, starts


@then("nine tenths of the limit are used")
def step_used(context: Any) -> None:
    expected = 0.9 * context.limit * context.length_s - 1
    assert len(context.engine.starts) >= expected, context.engine.starts


@then("each refused attempt is told when it can start, and has not run")
def step_refused(context: Any) -> None:
    refusals = [each for entry in context.entries.values() for each in entry.refusals]
    assert refusals
    for _, error in refusals:
        assert error.retry_after_s is not None and error.retry_after_s > 0.0, error
    submitted = 2 * 10 * context.length_s
    assert len(refusals) + len(context.engine.starts) <= submitted


@when("an answer states a limit of {limit:g} requests a second")
def step_states(context: Any, limit: float) -> None:
    assert context.pace.on_statement(EngineStatement(limit), 1.0, 2.0)


@when("an answer to {which} attempt states no limit")
def step_states_none(context: Any, which: str) -> None:
    started_at = 1.9 if which == "an earlier" else 2.1
    context.pace.on_statement(EngineStatement(), started_at, 3.0)


@then("the agent's limit is {limit:g}")
def step_limit(context: Any, limit: float) -> None:
    assert context.pace.limit_per_s == limit, context.pace.limit_per_s


@then("the text {text} is no limit of an engine")
def step_unreadable(context: Any, text: str) -> None:
    assert parse_limit(text) is None


@when(
    "an answer asks for {first_s:g} s of rest at {first_at:g} s and another one for "
    "{second_s:g} s at {second_at:g} s"
)
def step_rests(
    context: Any, first_s: float, first_at: float, second_s: float, second_at: float
) -> None:
    context.pace.on_statement(EngineStatement(None, first_s), 9.0, first_at)
    context.pace.on_statement(EngineStatement(None, second_s), 9.0, second_at)
    context.pace.on_statement(EngineStatement(), 9.0, second_at)
    context.now = second_at


@when("it starts at {at_s:g} s")
def step_starts(context: Any, at_s: float) -> None:
    context.pace.on_started(at_s)
    context.started_at = context.now = at_s


@when("the engine accepts it at {at_s:g} s")
def step_accepts(context: Any, at_s: float) -> None:
    assert context.pace.on_statement(EngineStatement(), context.started_at, at_s)
    context.now = at_s


@then("the next attempt may start at {at_s:g} s")
def step_may_start(context: Any, at_s: float) -> None:
    starts_at = context.now + context.pace.wait_s(0, context.now)
    assert abs(starts_at - at_s) < 1e-6, starts_at
