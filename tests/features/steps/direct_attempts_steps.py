"""Steps for the sends of direct requests."""

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
    """Picks the first runner that is not excluded; repeats cost nothing."""

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        return next((each for each in _RUNNERS if each not in excluded), None)

    def take_retry(self, now: float) -> bool:
        return True


class DirectCaller:
    """Carries orders out and keeps what the caller and the runners see."""

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
        self.sends: list[StartAttempt] = []
        self.cancelled = 0
        self.status: int | None = None
        self.retry_after_s: float | None = None
        self.data = b""
        self.whole = False
        self.broken = False

    def take(self, orders: list[Any]) -> None:
        """Carry orders out."""
        for order in orders:
            match order:
                case StartAttempt():
                    self.sends.append(order)
                case CancelAttempt():
                    self.cancelled += 1
                case StartResponse():
                    assert self.status is None, "an answer begins twice"
                    self.status = order.head.status
                    if order.body is not None:
                        self.data, self.whole = order.body, True
                case WriteResponse():
                    self.data += order.data
                case FinishResponse():
                    self.whole = True
                case RefuseRequest():
                    assert self.status is None, "a refusal after an answer began"
                    self.status = order.status
                    self.retry_after_s = order.retry_after_s
                case AbortResponse():
                    self.broken = True

    def fare(self, fate: str, now: float = 0.1) -> None:
        """Let the present send fare so."""
        name, _, status = fate.partition(" ")
        head = RunnerHead(int(status or 200), signed=True)
        match name:
            case "whole":
                self.take(self.attempts.head(head, now))
                self.take(self.attempts.data(b"body", now))
                self.take(self.attempts.response_ended(now))
            case "unsigned":
                head.signed = False
                self.take(self.attempts.head(head, now))
            case "encoded":
                head.encoded = True
                self.take(self.attempts.head(head, now))
            case "rejected":
                head.signed, head.not_run = False, True
                self.take(self.attempts.head(head, now))
            case "broken":
                self.take(self.attempts.connection_lost(now, "reset"))
            case "unsent":
                self.take(self.attempts.not_sent(now, "refused"))
            case "stuck":
                self.take(self.attempts.stalled(now))
            case "late":
                self.take(self.attempts.deadline_passed(_DEADLINE_S))


def _events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(first, last + 1))


@given("a direct request of kind {kind:w} that may go to {attempts:d} runners")
def step_request(context: Any, kind: str, attempts: int) -> None:
    context.caller = DirectCaller(RequestKind(kind), attempts)
    context.caller.take(context.caller.attempts.start(0.0))


@when("its sends fare so: {fates}")
def step_fates(context: Any, fates: str) -> None:
    for fate in fates.split(", "):
        context.caller.fare(fate)


@then("the caller gets {answer} after {sends:d} sends")
def step_answer(context: Any, answer: str, sends: int) -> None:
    status, _, later = answer.partition(" ")
    caller = context.caller
    assert caller.status == int(status), caller.status
    assert caller.attempts.sends == sends, caller.attempts.sends
    assert (caller.retry_after_s is not None) == bool(later)


@when(
    "a runner sends events {first:d} to {last:d} and half of event {torn:d}, and {end}"
)
def step_torn(context: Any, first: int, last: int, torn: int, end: str) -> None:
    caller = context.caller
    caller.take(caller.attempts.head(RunnerHead(200, signed=True), 0.1))
    caller.take(caller.attempts.data(_events(first, last) + b"id: %d\nda" % torn, 0.2))
    if end == "ends":
        caller.take(caller.attempts.response_ended(0.3))
    else:
        caller.take(caller.attempts.connection_lost(0.3, "reset"))


@when("a runner sends events {first:d} to {last:d}, whole")
def step_whole(context: Any, first: int, last: int) -> None:
    caller = context.caller
    caller.take(caller.attempts.head(RunnerHead(200, signed=True), 0.4))
    caller.take(caller.attempts.data(_events(first, last), 0.5))
    caller.take(caller.attempts.response_ended(0.6))


@then("the request is sent again after event {last:d}")
def step_resumed(context: Any, last: int) -> None:
    assert context.caller.sends[-1].resume_after == str(last)


@then("the caller has events {first:d} to {last:d}, once each, and a whole answer")
def step_has(context: Any, first: int, last: int) -> None:
    assert context.caller.data == _events(first, last)
    assert context.caller.whole


@then("the caller's connection is closed after event {last:d}")
def step_closed(context: Any, last: int) -> None:
    caller = context.caller
    assert caller.broken and not caller.whole
    assert caller.data == _events(1, last)


@when("the caller leaves after events {first:d} to {last:d}")
def step_leaves(context: Any, first: int, last: int) -> None:
    caller = context.caller
    caller.take(caller.attempts.head(RunnerHead(200, signed=True), 0.1))
    caller.take(caller.attempts.data(_events(first, last), 0.2))
    caller.take(caller.attempts.client_disconnected())


@then("the send is cancelled and nothing else happens")
def step_cancelled(context: Any) -> None:
    caller = context.caller
    assert caller.cancelled == 1
    caller.take(caller.attempts.connection_lost(0.3, "late"))
    caller.take(caller.attempts.deadline_passed(9.0))
    assert len(caller.sends) == 1 and not caller.broken


_RAN = {"whole", "unsigned", "encoded", "late", "stuck"}


def _play_one(random: Random) -> None:
    kind = random.choice(list(RequestKind)[:2])
    caller = DirectCaller(kind, random.choice([1, 2, 3]))
    caller.take(caller.attempts.start(0.0))
    runs = 0
    maybe_runs = 0
    while not caller.attempts.finished:
        statuses = ["200", "500", "503", "404"]
        fate = random.choice(
            [
                f"whole {random.choice(statuses)}",
                "unsigned 200",
                "encoded 200",
                f"rejected {random.choice(['503', '421', '429'])}",
                "broken",
                "unsent",
                "stuck",
                "late",
            ]
        )
        name = fate.partition(" ")[0]
        if name == "stuck" and not caller.attempts.in_flight:
            continue
        if name in _RAN:
            runs += 1
        maybe_runs += name == "broken"
        before = len(caller.sends)
        caller.fare(fate)
        if name == "stuck" and len(caller.sends) == before:
            runs -= 1  # it was left where it is
    if kind is RequestKind.ONCE:
        assert runs + maybe_runs <= 1, "a request ran twice"
    if caller.status in (408, 421, 429, 503):
        assert runs + maybe_runs == 0, "a refusal says not run, and it may have"
    assert caller.attempts.sends <= caller.route.attempts


@then(
    "{count:d} random direct requests run at most once where they may, "
    "and refusals are true"
)
def step_random(context: Any, count: int) -> None:
    random = Random(5)
    for _ in range(count):
        _play_one(random)


@then("{count:d} streams of events, cut anywhere, give the same whole events")
def step_cut(context: Any, count: int) -> None:
    random = Random(7)
    stream = _events(1, 30).replace(b"x7\n", b"x7\r\n")
    for _ in range(count):
        cuts = sorted(random.sample(range(1, len(stream)), random.randint(0, 40)))
        frames = EventBuffer()
        whole = b"".join(
            frames.add(stream[start:end])
            for start, end in zip([0, *cuts], [*cuts, len(stream)])
        )
        assert whole == stream and frames.last_id == "30" and frames.events == 30
