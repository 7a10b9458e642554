"""Steps for the account of the bytes that an entry holds."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.coordination.direct.byte_account import ByteAccount
from corianderrelay_entry.coordination.direct.decision_log import DecisionLog
from corianderrelay_entry.state.direct.held_bytes import held_bytes_limit

_KINDS = ("growing", "known", "upload")


class _Holder:
    """Records what the account does with it."""

    def __init__(self, name: str, context: Any) -> None:
        self.holds_for = name
        self._context = context
        self.unsent_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        return self.unsent_bytes

    def drop_held(self) -> None:
        self._context.cut.append(self.holds_for)

    def on_room(self) -> None:
        self._context.continued.append(self.holds_for)


@given("an account of {limit:d} bytes")
def step_account(context: Any, limit: int) -> None:
    context.account = ByteAccount(limit, DecisionLog(lambda: 0.0))
    context.cut, context.continued, context.holders = [], [], {}


def _holder(context: Any, name: str) -> _Holder:
    holders: dict[str, _Holder] = context.holders
    return holders.setdefault(name, _Holder(name, context))


@then("a process with {memory_mb:d} MB of memory holds at most {limit:d} bytes")
def step_limit(context: Any, memory_mb: int, limit: int) -> None:
    assert held_bytes_limit(memory_mb) == limit


@when(
    "answers a, b, c without a known length hold {a:d}, {b:d} and {c:d} bytes",
)
def step_growing(context: Any, a: int, b: int, c: int) -> None:
    for name, size in zip("abc", (a, b, c)):
        context.account.hold(_holder(context, name), size)


@when("answer {name:w} without a known length holds {size:d} bytes")
def step_grows(context: Any, name: str, size: int) -> None:
    context.account.hold(_holder(context, name), size)


@then("{size:d} bytes are held and nothing was cut")
def step_held(context: Any, size: int) -> None:
    assert context.account.held_bytes == size and not context.cut


@then("answer {name:w} was cut and {size:d} bytes are held")
def step_cut(context: Any, name: str, size: int) -> None:
    assert context.cut == [name] and context.account.held_bytes == size


@then("answers {names} were cut")
def step_all_cut(context: Any, names: str) -> None:
    assert sorted(context.cut) == names.split(", "), context.cut


@when("an answer of {size:d} bytes asks for room")
def step_ask(context: Any, size: int) -> None:
    context.had_room = context.account.reserve_or_wait(_holder(context, "k"), size)


@then("it has room at once")
def step_has_room(context: Any) -> None:
    assert context.had_room


@when("answers of {first:d}, {second:d} and {third:d} bytes ask for room")
def step_ask_all(context: Any, first: int, second: int, third: int) -> None:
    context.had_room = [
        context.account.reserve_or_wait(_holder(context, name), size)
        for name, size in zip(("first", "second", "third"), (first, second, third))
    ]


@then("the first has room, and the others wait")
def step_waits(context: Any) -> None:
    assert context.had_room == [True, False, False] and not context.continued


@when("the {name:w} is released")
def step_release(context: Any, name: str) -> None:
    context.account.release(_holder(context, name))


@then("all have had room, in order")
def step_all_room(context: Any) -> None:
    assert context.continued == ["second", "third"], context.continued


@then("the third has room")
def step_third(context: Any) -> None:
    assert context.continued == ["third"], context.continued


@when("uploads of {first:d}, {second:d} and {third:d} bytes arrive")
def step_uploads(context: Any, first: int, second: int, third: int) -> None:
    context.admitted = [
        context.account.admit_upload(_holder(context, name), size)
        for name, size in zip(
            ("upload 1", "upload 2", "upload 3"), (first, second, third)
        )
    ]


@then("the third is refused")
def step_refused(context: Any) -> None:
    assert context.admitted == [True, True, False], context.admitted


@then("an upload of {size:d} bytes is admitted")
def step_admitted(context: Any, size: int) -> None:
    assert context.account.admit_upload(_holder(context, f"upload of {size}"), size)


@when("the first upload is released")
def step_release_upload(context: Any) -> None:
    context.account.release(_holder(context, "upload 1"))


@when("a caller has {size:d} unread bytes at {now:f} s")
def step_unread(context: Any, size: int, now: float) -> None:
    caller = _holder(context, "caller")
    caller.unsent_bytes = size
    context.account.watch_unread(caller, now)


@when("it reads {size:d} bytes by {now:f} s")
def step_reads(context: Any, size: int, now: float) -> None:
    _holder(context, "caller").unsent_bytes -= size
    context.account.tick(now)


@when("an answer without a known length holds {size:d} bytes at {now:f} s")
def step_grows_at(context: Any, size: int, now: float) -> None:
    context.cut.clear()
    context.account.tick(now)
    context.account.hold(_holder(context, "answer"), size)


@then("only that answer was cut")
def step_only_answer(context: Any) -> None:
    assert context.cut == ["answer"], context.cut


@then("only the caller was cut off")
def step_only_caller(context: Any) -> None:
    assert context.cut == ["caller"], context.cut


@then("{count:d} random accounts stay within their limit and end empty")
def step_random(context: Any, count: int) -> None:
    for seed in range(count):
        step_account(context, 1_000_000)
        _run_random_account(context, Random(seed))


def _run_random_account(context: Any, random: Random) -> None:
    account = context.account
    holders = {
        f"{kind} {number}": _Holder(f"{kind} {number}", context)
        for kind in _KINDS
        for number in range(12)
    }
    for _ in range(200):
        name = random.choice(list(holders))
        holder, size = holders[name], random.randint(70_000, 400_000)
        if random.random() < 0.4:
            account.release(holder)
        elif name.startswith("growing"):
            account.hold(holder, size)
        elif name.startswith("known"):
            account.release(holder)
            account.reserve_or_wait(holder, size)
        else:
            account.admit_upload(holder, size)
        assert 0 <= account.held_bytes <= 1_000_000, account.held_bytes
    for holder in holders.values():
        account.release(holder)
    assert account.held_bytes == 0
