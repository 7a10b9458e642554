"""Steps for the entries that are listed to a caller."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.entry_directory import (
    EntryAddress,
    EntryDirectory,
    select_entries,
)

_SEED = 1


@given("{count:d} entries spread over 3 zones")
def step_entries(context: Any, count: int) -> None:
    context.entries = [
        EntryAddress(f"entry-{number}", f"10.0.0.{number}:8080", "abc"[number % 3])
        for number in range(count)
    ]
    context.directory = EntryDirectory()
    context.directory.replace(context.entries)


@when('{callers:d} callers of zone "{zone}" request up to {limit:d} entries')
def step_callers_request(context: Any, callers: int, zone: str, limit: int) -> None:
    random = Random(_SEED)
    context.zone = zone
    context.listed = [
        select_entries(context.entries, zone, limit, random) for _ in range(callers)
    ]


@then("each caller gets {named:d} entries, those of its zone first")
def step_zone_first(context: Any, named: int) -> None:
    for listed in context.listed:
        local = [entry.zone == context.zone for entry in listed]
        assert len(listed) == named, listed
        assert local == sorted(local, reverse=True), listed


@then("each caller gets at least one entry of another zone")
def step_other_zone(context: Any) -> None:
    for listed in context.listed:
        assert any(entry.zone != context.zone for entry in listed), listed


@then("the entries listed first are spread over the zone")
def step_spread(context: Any) -> None:
    first = {listed[0].instance_id for listed in context.listed}
    local = {e.instance_id for e in context.entries if e.zone == context.zone}
    # 200 random choices do not reach all of 110 entries, but must reach 60 of them.
    assert first <= local and len(first) >= min(len(local), 60), first


@when('the entry "{entry_id}" is reported leaving at {now:d} s')
def step_leaving(context: Any, entry_id: str, now: int) -> None:
    context.leaving = entry_id
    context.directory.mark_leaving([entry_id], float(now))


@then("it is not listed at {early:g} s and is listed at {late:g} s")
def step_listed_again(context: Any, early: float, late: float) -> None:
    own = context.entries[0]
    listed_ids = [
        {entry.instance_id for entry in context.directory.entries(own, False, now)}
        for now in (early, late)
    ]
    assert context.leaving not in listed_ids[0]
    assert context.leaving in listed_ids[1]
