"""Steps for the ledger of lost attempts."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.crash_ledger import (
    CrashLedger,
    LostAttempt,
    Verdict,
)

_REQUESTS = "PQR"
_RUNNERS = "abcd"
_HELD_S = 10.0  # a hold is shorter, a quarantine longer


def _ledger(context: Any) -> CrashLedger:
    if not hasattr(context, "ledger"):
        context.ledger, context.now = CrashLedger(), 0.0
    ledger: CrashLedger = context.ledger
    return ledger


def _parse_lost(request: str, text: str) -> list[LostAttempt]:
    words = (each.split() for each in text.split(", "))
    return [
        LostAttempt(request, runner, int(number), Verdict[verdict.upper()])
        for runner, _, number, verdict in words
    ]


def _state(ledger: CrashLedger, request: str, now: float) -> str:
    held_s = ledger.held_s(request, now)
    if held_s is None:
        return "may run"
    return "is held" if held_s < _HELD_S else "is quarantined"


@given("lost attempts of request {request:w}: {lost}")
@when("request {request:w} has further lost attempts: {lost}")
def step_lost(context: Any, request: str, lost: str) -> None:
    for each in _parse_lost(request, lost):
        _ledger(context).merge(each, context.now)


@given("request {request:w} is quarantined by another entry for {seconds:d} s")
def step_learned(context: Any, request: str, seconds: int) -> None:
    _ledger(context).quarantine(request, float(seconds), context.now)


@when("request {request:w} is completed")
def step_completed(context: Any, request: str) -> None:
    assert context.ledger.clear(request, context.now)


@when("{seconds:d} s pass")
def step_time(context: Any, seconds: int) -> None:
    context.now += seconds
    context.ledger.expire(context.now)


@then("request {request:w} {result}")
def step_result(context: Any, request: str, result: str) -> None:
    assert _state(context.ledger, request, context.now) == result


def _random_lost(random: Random) -> LostAttempt:
    return LostAttempt(
        random.choice(_REQUESTS),
        random.choice(_RUNNERS),
        random.randint(1, 3),
        random.choice(list(Verdict)),
    )


@then(
    "{count:d} random sets of lost attempts, in any order, "
    "give the same holds everywhere"
)
def step_orders(context: Any, count: int) -> None:
    random = Random(19)
    for _ in range(count):
        lost_attempts = [_random_lost(random) for _ in range(random.randint(1, 12))]
        states = set()
        for _ in range(4):
            ledger = CrashLedger()
            repeated = random.choices(lost_attempts, k=4)
            arrivals = random.sample(lost_attempts, len(lost_attempts)) + repeated
            for lost in arrivals:
                ledger.merge(lost, 0.0)
            states.add(tuple(_state(ledger, request, 1.0) for request in _REQUESTS))
        assert len(states) == 1, (lost_attempts, states)


@when("{count:d} requests lose an attempt")
def step_many(context: Any, count: int) -> None:
    context.requests = [f"request-{number}" for number in range(count)]
    for request in context.requests:
        _ledger(context).merge(LostAttempt(request, "a", 1), context.now)


@then("the ledger knows at most {count:d} requests, and the newest is among them")
def step_bounded(context: Any, count: int) -> None:
    known = [each for each in context.requests if context.ledger.rounds(each)]
    assert len(known) <= count and known[-1] == context.requests[-1], len(known)


@then("{count:d} updates of at most {size:d} records name all of them")
def step_updates(context: Any, count: int, size: int) -> None:
    updates = [context.ledger.next_shared(context.now) for _ in range(count)]
    assert max(map(len, updates)) <= size
    named = {lost.fingerprint for update in updates for lost in update}
    assert named == set(context.requests), named


@then("an update names none of them")
def step_no_update(context: Any) -> None:
    updates = [context.ledger.next_shared(context.now) for _ in context.requests]
    assert set(updates) == {()}, updates
