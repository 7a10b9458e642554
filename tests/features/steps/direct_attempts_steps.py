"""Steps for the attempts of direct requests."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.attempts import (
    AbortResponse,
    CancelAttempt,
    DirectAttempts,
    FinishResponse,
    RefuseRequest,
    StartAttempt,
    StartResponse,
    WriteResponse,
)
from corianderrelay_entry.state.direct.call import DirectCall, RunnerHead
from corianderrelay_entry.state.direct.catalog import RequestKind, Route
from corianderrelay_entry.state.direct.event_buffer import EventBuffer

_DEADLINE_S = 8.0
_RUNNERS = [f"runner-{number}" for number in range(6)]


class _Picker:
    """Picks the first runner that is not excluded; the retry budget is unlimited."""

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        return next((each for each in _RUNNERS if each not in excluded), None)

    def spend_retry(self, now: float) -> bool:
        return True

    def retry_after_s(self, now: float) -> float:
        """Return a fixed delay."""
        return 0.1


class DirectCaller:
    """Records what the caller and the runners receive by the actions of a request."""

    def __init__(self, kind: RequestKind, attempts: int) -> None:
        self.route = Route(
            "r",
            "h",
            "/p/",
            kind,
            (("s", 1.0),),
            attempts,
            _DEADLINE_S,
            0.5,
            resumable=kind is RequestKind.STREAM,
        )
        call = DirectCall("id", b"POST", b"/p/x", "h", [], b"", None, 0.0)
        self.attempts = DirectAttempts(call, self.route, _Picker(), _DEADLINE_S)
        self.sent_attempts: list[StartAttempt] = []
        self.cancelled = 0
        self.status: int | None = None
        self.retry_after_s: float | None = None
        self.data = b""
        self.complete = False
        self.aborted = False

    def apply_actions(self, actions: list[Any]) -> None:
        """Record the effects of actions."""
        for action in actions:
            match action:
                case StartAttempt():
                    self.sent_attempts.append(action)
                case CancelAttempt():
                    self.cancelled += 1
                case StartResponse():
                    assert self.status is None, "the response started twice"
                    self.status = action.head.status
                    if action.body is not None:
                        self.data, self.complete = action.body, True
                case WriteResponse():
                    self.data += action.data
                case FinishResponse():
                    self.complete = True
                case RefuseRequest():
                    assert (
                        self.status is None
                    ), "the request was refused after the response started"
                    self.status = action.status
                    self.retry_after_s = action.retry_after_s
                case AbortResponse():
                    self.aborted = True

    def play_outcome(self, outcome: str, now: float = 0.1) -> None:
        """Simulate the outcome of the current attempt."""
        name, _, status = outcome.partition(" ")
        head = RunnerHead(int(status or 200), signed=True)
        match name:
            case "complete":
                self.apply_actions(self.attempts.head(head, now))
                self.apply_actions(self.attempts.data(b"body", now))
                self.apply_actions(self.attempts.response_ended(now))
            case "unsigned":
                head.signed = False
                self.apply_actions(self.attempts.head(head, now))
            case "encoded":
                head.encoded = True
                self.apply_actions(self.attempts.head(head, now))
            case "rejected":
                head.signed, head.not_run = False, True
                self.apply_actions(self.attempts.head(head, now))
            case "disconnected":
                self.apply_actions(self.attempts.connection_lost(now, "reset"))
            case "unreachable":
                self.apply_actions(self.attempts.connect_failed(now, "refused"))
            case "stalled":
                self.apply_actions(self.attempts.stalled(now))
            case "timeout":
                self.apply_actions(self.attempts.deadline_passed(_DEADLINE_S))


def _events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(first, last + 1))


@given("a direct request of kind {kind:w} with at most {attempts:d} attempts")
def step_request(context: Any, kind: str, attempts: int) -> None:
    context.caller = DirectCaller(RequestKind(kind), attempts)
    context.caller.apply_actions(context.caller.attempts.start(0.0))


@when("its attempts end as follows: {outcomes}")
def step_outcomes(context: Any, outcomes: str) -> None:
    for outcome in outcomes.split(", "):
        context.caller.play_outcome(outcome)


@then("the caller receives {response} after {sent:d} sent attempts")
def step_response(context: Any, response: str, sent: int) -> None:
    status, _, retry_delay = response.partition(" ")
    caller = context.caller
    assert caller.status == int(status), caller.status
    assert caller.attempts.sends == sent, caller.attempts.sends
    assert (caller.retry_after_s is not None) == bool(retry_delay)


@when(
    "a runner sends events {first:d} to {last:d} and half of event {partial:d}, "
    "and {end}"
)
def step_partial_stream(
    context: Any, first: int, last: int, partial: int, end: str
) -> None:
    caller = context.caller
    caller.apply_actions(caller.attempts.head(RunnerHead(200, signed=True), 0.1))
    caller.apply_actions(
        caller.attempts.data(_events(first, last) + b"id: %d\nda" % partial, 0.2)
    )
    if end == "ends":
        caller.apply_actions(caller.attempts.response_ended(0.3))
    else:
        caller.apply_actions(caller.attempts.connection_lost(0.3, "reset"))


@when(
    "a runner sends events {first:d} to {last:d} and {count:d} bytes of event {next:d}"
)
def step_long_event(context: Any, first: int, last: int, count: int, next: int) -> None:
    caller = context.caller
    caller.apply_actions(caller.attempts.head(RunnerHead(200, signed=True), 0.1))
    partial = b"id: %d\ndata: " % next + b"x" * count
    caller.apply_actions(caller.attempts.data(_events(first, last) + partial, 0.2))


@when("a runner sends events {first:d} to {last:d} and ends the stream")
def step_remaining_events(context: Any, first: int, last: int) -> None:
    caller = context.caller
    caller.apply_actions(caller.attempts.head(RunnerHead(200, signed=True), 0.4))
    caller.apply_actions(caller.attempts.data(_events(first, last), 0.5))
    caller.apply_actions(caller.attempts.response_ended(0.6))


@then("the request is retried after event {last:d}")
def step_resumed(context: Any, last: int) -> None:
    assert context.caller.sent_attempts[-1].resume_after == str(last)


@then("the caller has events {first:d} to {last:d}, once each, and a complete response")
def step_complete_stream(context: Any, first: int, last: int) -> None:
    assert context.caller.data == _events(first, last)
    assert context.caller.complete


@then("the caller's connection is closed after event {last:d}")
def step_closed(context: Any, last: int) -> None:
    caller = context.caller
    assert caller.aborted and not caller.complete
    assert caller.data == _events(1, last)


@when("the caller disconnects after events {first:d} to {last:d}")
def step_disconnects(context: Any, first: int, last: int) -> None:
    caller = context.caller
    caller.apply_actions(caller.attempts.head(RunnerHead(200, signed=True), 0.1))
    caller.apply_actions(caller.attempts.data(_events(first, last), 0.2))
    caller.apply_actions(caller.attempts.client_disconnected())


@then("the attempt is cancelled and no other action follows")
def step_cancelled(context: Any) -> None:
    caller = context.caller
    assert caller.cancelled == 1
    caller.apply_actions(caller.attempts.connection_lost(0.3, "late"))
    caller.apply_actions(caller.attempts.deadline_passed(9.0))
    assert len(caller.sent_attempts) == 1 and not caller.aborted


_OUTCOMES_THAT_RUN = {"complete", "unsigned", "encoded", "timeout", "stalled"}


def _run_random_request(random: Random) -> None:
    kind = random.choice(list(RequestKind)[:2])
    caller = DirectCaller(kind, random.choice([1, 2, 3]))
    caller.apply_actions(caller.attempts.start(0.0))
    runs = 0
    possible_runs = 0
    while not caller.attempts.finished:
        statuses = ["200", "500", "503", "404"]
        outcome = random.choice(
            [
                f"complete {random.choice(statuses)}",
                "unsigned 200",
                "encoded 200",
                f"rejected {random.choice(['503', '421', '429'])}",
                "disconnected",
                "unreachable",
                "stalled",
                "timeout",
            ]
        )
        name = outcome.partition(" ")[0]
        if name == "stalled" and not caller.attempts.in_flight:
            continue
        if name in _OUTCOMES_THAT_RUN:
            runs += 1
        possible_runs += name == "disconnected"
        before = len(caller.sent_attempts)
        caller.play_outcome(outcome)
        if name == "stalled" and len(caller.sent_attempts) == before:
            runs -= 1  # not retried; the attempt continues
    if kind is RequestKind.ONCE:
        assert runs + possible_runs <= 1, "a request ran twice"
    if caller.status in (408, 421, 429, 503):
        assert (
            runs + possible_runs == 0
        ), "refused as not run, but the request may have run"
    assert caller.attempts.sends <= caller.route.attempts


@then(
    "{count:d} random direct requests run at most once unless retryable, "
    "and refusals are correct"
)
def step_random(context: Any, count: int) -> None:
    random = Random(5)
    for _ in range(count):
        _run_random_request(random)


@then("{count:d} event streams, split anywhere, yield the same complete events")
def step_split_events(context: Any, count: int) -> None:
    random = Random(7)
    stream = _events(1, 30).replace(b"x7\n", b"x7\r\n")
    for _ in range(count):
        split_offsets = sorted(
            random.sample(range(1, len(stream)), random.randint(0, 40))
        )
        buffer = EventBuffer()
        complete = b"".join(
            buffer.add(stream[start:end])
            for start, end in zip([0, *split_offsets], [*split_offsets, len(stream)])
        )
        assert (
            complete == stream and buffer.last_event_id == "30" and buffer.events == 30
        )
