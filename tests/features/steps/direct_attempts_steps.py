"""Steps for the attempts of direct requests."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.attempt_actions import (
    AbortResponse,
    CancelAttempt,
    FinishResponse,
    RefuseRequest,
    StartAttempt,
    StartResponse,
    WriteResponse,
)
from corianderrelay_entry.state.direct.attempts import DirectAttempts
from corianderrelay_entry.state.direct.call import DirectCall, RunnerHead
from corianderrelay_entry.state.direct.catalog import RequestKind, Route
from corianderrelay_entry.state.direct.event_buffer import EventBuffer

from tests.machines.silent_streams import run_random_stream

_DEADLINE_S = 8.0
_RUNNERS = [f"runner-{number}" for number in range(6)]


class _Picker:
    """Picks the first runner that is not excluded; the retry budget is unlimited."""

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        return next((each for each in _RUNNERS if each not in excluded), None)

    def pick_for_takeover(self, excluded: frozenset[str], now: float) -> str | None:
        """Return the first runner that is not excluded."""
        return self.pick(excluded, now)

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
        self.in_flight: list[str] = []  # the runners of the attempts, newest last
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
                    self.in_flight.append(action.runner_id)
                case CancelAttempt():
                    self.cancelled += 1
                    self.end_attempt(action.runner_id)
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

    def end_attempt(self, runner_id: str) -> None:
        """Record that an attempt is not in flight any more."""
        if runner_id in self.in_flight:
            self.in_flight.remove(runner_id)

    def play_outcome(self, outcome: str, now: float = 0.1, runner_id: str = "") -> None:
        """Simulate the outcome of an attempt, by default of the newest one."""
        name, _, status = outcome.partition(" ")
        head = RunnerHead(int(status or 200), signed=True)
        runner_id = runner_id or self.in_flight[-1]
        attempts = self.attempts
        match name:
            case "complete":
                self.apply_actions(attempts.head(runner_id, head, now))
                self.apply_actions(attempts.data(runner_id, b"body", now))
                self.end_attempt(runner_id)
                self.apply_actions(attempts.response_ended(runner_id, now))
            case "unsigned":
                head.signed = False
                self.apply_actions(attempts.head(runner_id, head, now))
            case "encoded":
                head.encoded = True
                self.apply_actions(attempts.head(runner_id, head, now))
            case "rejected":
                head.signed, head.not_run = False, True
                self.apply_actions(attempts.head(runner_id, head, now))
            case "disconnected":
                self.end_attempt(runner_id)
                self.apply_actions(attempts.connection_lost(runner_id, now, "reset"))
            case "unreachable":
                self.end_attempt(runner_id)
                self.apply_actions(attempts.connect_failed(runner_id, now, "refused"))
            case "stalled":
                self.apply_actions(attempts.stalled(now))
            case "timeout":
                self.apply_actions(attempts.deadline_passed(_DEADLINE_S))

    def send_events(
        self, first: int, last: int, now: float, then: bytes = b"", runner_id: str = ""
    ) -> None:
        """Let a runner send a head, events and further bytes."""
        runner_id = runner_id or self.in_flight[-1]
        head = RunnerHead(200, signed=True)
        self.apply_actions(self.attempts.head(runner_id, head, now))
        events = _events(first, last) + then
        self.apply_actions(self.attempts.data(runner_id, events, now))

    def end_stream(self, now: float) -> None:
        """Let the newest attempt's runner end its answer."""
        runner_id = self.in_flight[-1]
        self.end_attempt(runner_id)
        self.apply_actions(self.attempts.response_ended(runner_id, now))


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
    caller.send_events(first, last, 0.1, b"id: %d\nda" % partial)
    if end == "ends":
        caller.end_stream(0.3)
    elif end == "disconnects":
        caller.play_outcome("disconnected", 0.3)


@when(
    "a runner sends events {first:d} to {last:d} and {count:d} bytes of event {next:d}"
)
def step_long_event(context: Any, first: int, last: int, count: int, next: int) -> None:
    partial = b"id: %d\ndata: " % next + b"x" * count
    context.caller.send_events(first, last, 0.1, partial)


@when("a runner sends events {first:d} to {last:d} and ends the stream")
def step_remaining_events(context: Any, first: int, last: int) -> None:
    context.caller.send_events(first, last, 0.4)
    context.caller.end_stream(0.6)


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
    caller.send_events(first, last, 0.1)
    context.disconnected_at = caller.in_flight[-1]
    caller.apply_actions(caller.attempts.client_disconnected())


@then("the attempt is cancelled and no other action follows")
def step_cancelled(context: Any) -> None:
    caller = context.caller
    assert caller.cancelled == 1
    late = caller.attempts.connection_lost(context.disconnected_at, 0.3, "late")
    caller.apply_actions(late)
    caller.apply_actions(caller.attempts.deadline_passed(9.0))
    assert len(caller.sent_attempts) == 1 and not caller.aborted


_OUTCOMES_WITHOUT_RUN = {"rejected", "unreachable"}


def _run_random_request(random: Random) -> None:
    kind = random.choice(list(RequestKind)[:2])
    caller = DirectCaller(kind, random.choice([1, 2, 3]))
    caller.apply_actions(caller.attempts.start(0.0))
    may_have_run = 0
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
        runner_id = random.choice(caller.in_flight)
        open_before = set(caller.in_flight)
        caller.play_outcome(outcome, runner_id=runner_id)
        ended = open_before - set(caller.in_flight)
        # A cancelled attempt may have run, as may one that ended without proof.
        proved = {runner_id} if name in _OUTCOMES_WITHOUT_RUN else set()
        may_have_run += len(ended - proved)
        if caller.status == 502:
            assert not caller.in_flight, "failed although an attempt was in flight"
    assert not caller.in_flight, "an attempt was not cancelled"
    if kind is RequestKind.ONCE:
        assert may_have_run <= 1, "a request ran twice"
    if caller.status in (408, 421, 429, 503):
        assert may_have_run == 0, "refused as not run, but the request may have run"
    assert caller.attempts.sends <= caller.route.attempts


@when("its runner sends nothing, and {count:d} takeovers are {outcome}")
def step_failed_takeovers(context: Any, count: int, outcome: str) -> None:
    caller = context.caller
    context.silent_runner = caller.in_flight[-1]
    for number in range(count):
        now = 0.8 + 0.25 * number
        caller.play_outcome("stalled", now)
        assert len(caller.in_flight) == 2, "no takeover was started"
        caller.play_outcome(outcome, now)
        assert caller.attempts.stalled(now + 0.2) == [], "a takeover without a pause"


@when("its runner sends nothing, and a takeover waits at another runner")
def step_waiting_takeover(context: Any) -> None:
    context.silent_runner = context.caller.in_flight[-1]
    context.caller.play_outcome("stalled", 1.8)


@then("the attempt at the silent runner is still in flight")
def step_still_in_flight(context: Any) -> None:
    caller = context.caller
    assert caller.in_flight == [context.silent_runner]
    assert not caller.attempts.finished


@when("the silent runner sends events {first:d} to {last:d} and ends the stream")
def step_silent_runner_goes_on(context: Any, first: int, last: int) -> None:
    caller = context.caller
    caller.send_events(first, last, 1.3, runner_id=context.silent_runner)
    caller.end_stream(1.4)


def _send_rest(caller: DirectCaller, runner_id: str, number: int, last: int) -> None:
    rest = (b"id: %d\ndata: x%d\n\n" % (number, number))[len(b"id: %d\nda" % number) :]
    events = rest + _events(number + 1, last)
    caller.apply_actions(caller.attempts.data(runner_id, events, 1.2))


@when("the silent runner sends the rest of event {number:d} to {last:d}")
def step_rest(context: Any, number: int, last: int) -> None:
    _send_rest(context.caller, context.silent_runner, number, last)


@when(
    "the silent runner sends the rest of event {number:d} to {last:d} "
    "and ends the stream"
)
def step_rest_and_end(context: Any, number: int, last: int) -> None:
    _send_rest(context.caller, context.silent_runner, number, last)
    context.caller.end_stream(1.3)


@when("the silent runner answers with {status:d}")
def step_silent_runner_answers(context: Any, status: int) -> None:
    caller = context.caller
    caller.play_outcome(f"complete {status}", 1.3, context.silent_runner)


@when("the takeover's runner sends events {first:d} to {last:d}")
def step_takeover_sends(context: Any, first: int, last: int) -> None:
    context.caller.send_events(first, last, 1.0)


@when("the connection to the silent runner is lost")
def step_silent_lost(context: Any) -> None:
    context.caller.play_outcome("disconnected", 1.0, context.silent_runner)


@then("only the attempt at the {which} runner is in flight")
def step_only(context: Any, which: str) -> None:
    in_flight = context.caller.in_flight
    assert len(in_flight) == 1
    assert (in_flight[0] == context.silent_runner) == (which == "silent")


@then("no further takeover is started")
def step_no_takeover(context: Any) -> None:
    assert context.caller.attempts.stalled(2.5) == []


@then(
    "{count:d} random streams with silent runners are never cut while a runner is left"
)
def step_random_streams(context: Any, count: int) -> None:
    random = Random(11)
    outcomes = [run_random_stream(DirectCaller, random) for _ in range(count)]
    assert outcomes.count("complete") > count / 4, outcomes.count("complete")
    assert outcomes.count("cut") > count / 50, outcomes.count("cut")


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
