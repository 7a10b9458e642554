"""Steps for the ledger of suspected parts; three entries exchange their records."""

from __future__ import annotations

import itertools
from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.crash_ledger import Verdict
from corianderrelay_entry.state.direct.part_ledger import PartLedger, PartLoss

_ENTRY_COUNT = 3
_HOUR_S = 3600.0
_STEP_S = 1.0


def _entries(context: Any) -> list[PartLedger]:
    if not hasattr(context, "entries"):
        context.entries = [PartLedger() for _ in range(_ENTRY_COUNT)]
        context.now, context.numbers = 0.0, itertools.count()
    entries: list[PartLedger] = context.entries
    return entries


def _exchange(context: Any) -> None:
    """Send all updates twice, as an entry may add to what it receives."""
    entries = _entries(context)
    for sender, receiver in itertools.product(entries * 2, entries):
        for loss in sender.next_shared(context.now):
            receiver.merge(loss, context.now)


def _lose(context: Any, life: str, parts: str, fingerprint: str, verdict: str) -> None:
    entry = _entries(context)[next(context.numbers) % _ENTRY_COUNT]
    for part in parts.split():
        loss = PartLoss(part, life, fingerprint, Verdict[verdict.upper()])
        entry.merge(loss, context.now)


def _wait_s(entry: PartLedger, parts: str, now: float) -> float:
    hold = entry.hold(parts.split(), now)
    return 0.0 if hold is None else hold.wait_s


@given("requests with these parts were answered: {parts}")
def step_were_answered(context: Any, parts: str) -> None:
    if parts != "-":
        _entries(context)[0].on_answered(parts.split(), context.now)


@given("runners ended under requests with these parts: {lost}")
@when("runners ended under requests with these parts: {lost}")
def step_lost(context: Any, lost: str) -> None:
    _entries(context)
    for each in lost.split(", "):
        life, _, words = each.partition(": ")
        parts, _, fingerprint = words.partition(" by ")
        verdicts = [word for word in parts.split() if word.islower()]
        named = " ".join(word for word in parts.split() if not word.islower())
        fingerprint = fingerprint or f"r{next(context.numbers)}"
        _lose(context, life, named, fingerprint, (verdicts or ["ended"])[0])
    _exchange(context)


@given("a request with parts {parts} is answered at entry {number:d}")
@when("a request with parts {parts} is answered at entry {number:d}")
def step_answered(context: Any, parts: str, number: int) -> None:
    _entries(context)[number - 1].on_answered(parts.split(), context.now)
    _exchange(context)


@when("a trial with parts {parts} starts at entry {number:d}")
def step_trial(context: Any, parts: str, number: int) -> None:
    entry = context.entries[number - 1]
    assert entry.hold(parts.split(), context.now) is None
    assert entry.start_trial(parts.split(), context.now)
    _exchange(context)


@when("the entries run for {seconds:d} s")
def step_time(context: Any, seconds: int) -> None:
    context.now += seconds
    for entry in context.entries:
        entry.expire(context.now)


@given("the log names part {part} as held for {seconds:d} s")
def step_stored(context: Any, part: str, seconds: int) -> None:
    for entry in _entries(context):
        entry.hold_for(part, float(seconds), context.now)


@then("a request with parts {parts} may run at every entry")
def step_may_run(context: Any, parts: str) -> None:
    step_waits_everywhere(context, parts, 0)


@then("a request with parts {parts} waits {seconds:d} s at every entry")
@then("a request with parts {parts} waits {seconds:d} s")
def step_waits_everywhere(context: Any, parts: str, seconds: int) -> None:
    waits = [_wait_s(entry, parts, context.now) for entry in context.entries]
    assert waits == [float(seconds)] * _ENTRY_COUNT, waits


@then("{count:d} runners end in an hour if each trial crashes one")
def step_trials(context: Any, count: int) -> None:
    ended = 1
    while context.now < _HOUR_S:
        context.now += _STEP_S
        for entry in context.entries:
            entry.expire(context.now)
        if all(_wait_s(entry, "D", context.now) == 0.0 for entry in context.entries):
            ended += 1
            context.entries[ended % _ENTRY_COUNT].start_trial(["D"], context.now)
            _lose(context, f"life {ended}", "D", f"trial {ended}", "ended")
            _exchange(context)
    assert ended == count, ended


def _random_loss(random: Random) -> PartLoss:
    return PartLoss(
        random.choice("XYD"),
        random.choice("abc"),
        random.choice("PQR"),
        random.choice(list(Verdict)),
        random.random() < 0.3,
        random.randint(0, 1),
    )


@then("{count:d} random sets of losses, in any order, give the same waits everywhere")
def step_agree(context: Any, count: int) -> None:
    random = Random(22)
    for _ in range(count):
        losses = [_random_loss(random) for _ in range(random.randint(1, 10))]
        waits = []
        for _ in range(_ENTRY_COUNT):
            entry = PartLedger()
            for loss in random.sample(losses * 2, len(losses) * 2):
                entry.merge(loss, 0.0)
            requests = itertools.chain("XYD", ("X D", "X Y D"))
            waits.append([_wait_s(entry, parts, 0.0) for parts in requests])
        assert waits[0] == waits[1] == waits[2], (losses, waits)


@when("runners end under {count:d} requests, each with a part of its own")
def step_many(context: Any, count: int) -> None:
    _entries(context)
    for number in range(count):
        loss = PartLoss(f"p{number}", f"life {number}", f"r{number}", Verdict.ENDED)
        context.entries[0].merge(loss, float(number) / count)
    context.now, context.newest = 1.0, f"p{count - 1}"


@then("the ledger holds at most {count:d} parts, and the newest is among them")
def step_bounded(context: Any, count: int) -> None:
    suspects = context.entries[0].suspects()
    assert len(suspects) <= count, len(suspects)
    assert context.newest in suspects


@then("updates have at most {count:d} records")
def step_updates(context: Any, count: int) -> None:
    shared = context.entries[0].next_shared(context.now)
    assert 0 < len(shared) <= count, len(shared)


@given("an entry that delays trials by {delay_s:g} s")
def step_delayed_entry(context: Any, delay_s: float) -> None:
    context.delayed = PartLedger(delay_s)


@when("a runner ends there under a request with part {part:w}")
def step_ends_there(context: Any, part: str) -> None:
    context.delayed.merge(PartLoss(part, "a", "r", Verdict.ENDED), 0.0)


@then("a request with part {part:w} waits {seconds:g} s there")
def step_waits_there(context: Any, part: str, seconds: float) -> None:
    assert _wait_s(context.delayed, part, 0.0) == seconds
