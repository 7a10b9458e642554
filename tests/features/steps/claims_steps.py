"""Steps for the fold of a claims stream and for the date check of keys."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from corianderrelay.state.claim_keys import check_key_date, key_date, scoped_key
from corianderrelay.state.claim_records import (
    AnyClaimRecord,
    ClaimRecord,
    Outcome,
    OutcomeRecord,
    ReleaseRecord,
    RememberedKeysRecord,
)
from corianderrelay.state.claims import ClaimFold

_KEY = scoped_key("kits", "shop", "key")
_NOW_S = 1_800_000_000.0


def _claim(nonce: str, *, dated: bool = True) -> ClaimRecord:
    return ClaimRecord(
        key=_KEY,
        digest="d",
        workspace="kits",
        service="shop",
        entry_id="entry",
        nonce=nonce,
        runner_id="runner",
        incarnation=1,
        ticket_id=1,
        dated=dated,
    )


def _record(fold: ClaimFold, description: str) -> AnyClaimRecord:
    kind, _, nonce = description.partition(" ")
    match kind:
        case "claim" | "undated":
            return _claim(nonce, dated=kind == "claim")
        case "release":
            return ReleaseRecord(_KEY, nonce, "entry")
        case "done" | "unknown":
            return OutcomeRecord(_KEY, nonce, "entry", Outcome(kind))
    return fold.build_remembered_keys_record(_NOW_S)


@when('the claims stream holds "{records}"')
def step_stream(context: Any, records: str) -> None:
    context.fold = ClaimFold()
    for offset, description in enumerate(records.split(", ")):
        context.fold.apply(offset, 0, _record(context.fold, description), 0.0)


@then("the key is claimed by {nonce}")
def step_claimed(context: Any, nonce: str) -> None:
    state = context.fold.get(_KEY)
    assert state.final_outcome is None, state
    assert state.claim.nonce == nonce, state
    assert [open_state.claim.nonce for open_state in context.fold.open_claims()] == [
        nonce
    ]


@then("the key is not run")
def step_not_run(context: Any) -> None:
    _check_final(context, Outcome.NOT_RUN)


@then("the key is done")
def step_done(context: Any) -> None:
    _check_final(context, Outcome.DONE)


@then("the key is unknown")
def step_unknown(context: Any) -> None:
    _check_final(context, Outcome.UNKNOWN)


def _check_final(context: Any, outcome: Outcome) -> None:
    state = context.fold.get(_KEY)
    assert state.final_outcome is outcome, state
    assert not list(context.fold.open_claims())


@given("a claims reader that starts at offset {offset:d}")
def step_reader(context: Any, offset: int) -> None:
    context.fold = ClaimFold(offset)


@when("it reads a record of the undated keys up to offset {covered:d}")
def step_remembered(context: Any, covered: int) -> None:
    context.fold.apply(20, 0, RememberedKeysRecord(covered, b"", _NOW_S), 0.0)


@when("retention drops the unread records before offset {offset:d}")
def step_dropped(context: Any, offset: int) -> None:
    context.fold.skip_to(offset)


@then("it does not have all undated keys")
def step_lacks_undated_keys(context: Any) -> None:
    assert not context.fold.has_all_undated_keys


@then("it has all undated keys")
def step_has_all_undated_keys(context: Any) -> None:
    assert context.fold.has_all_undated_keys


@when("it reads an undated claim and retention drops the record")
def step_retention(context: Any) -> None:
    context.fold.apply(0, 0, _claim("a", dated=False), 0.0)
    context.fold.evict_before(1)


@then("the key is retired")
def step_retired(context: Any) -> None:
    assert context.fold.get(_KEY) is None
    assert context.fold.is_retired(_KEY)
    assert context.fold.undated_key_count == 1


@then("a UUIDv7 key created {age:g} s ago is {answer} in a window of 100 s")
def step_date(context: Any, age: float, answer: str) -> None:
    created_ms = int((_NOW_S - age) * 1000)
    key = f"{created_ms:012x}"
    dated_s = key_date(f"{key[:8]}-{key[8:]}-7000-8000-000000000000")
    assert dated_s is not None and abs(dated_s - (_NOW_S - age)) < 0.01, dated_s
    assert check_key_date(dated_s, _NOW_S, 100.0).is_ok() is (answer == "accepted")
