"""Steps for the queueing of a group's requests by workspace share."""

from __future__ import annotations

import heapq
from typing import Any

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from corianderrelay.state.document import Share
from corianderrelay.state.shares import ShareQueue, WaitingRequest

from tests.machines.settings import machine_settings
from tests.machines.shares_machine import SharesMachine

_TOKENS = 10
_TOKENS_PER_S_PER_SLOT = 10.0


@then("the shares state machine passes {examples:d} examples of {steps:d} steps")
def step_run_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(SharesMachine, settings=machine_settings(examples, steps))


@given("shares of {slots:d} slots for {count:d} workspaces with a quarter each")
def step_shares(context: Any, slots: int, count: int) -> None:
    shares = {str(name): Share(guaranteed=0.25) for name in range(count)}
    context.slots = slots
    context.shares = ShareQueue(slots, shares, slots * _TOKENS_PER_S_PER_SLOT)


@given("workspaces 0 to 2 wait with {count:d} requests each and fill the shares' slots")
def step_fill(context: Any, count: int) -> None:
    for index in range(3 * count):
        request = WaitingRequest(f"w{index}", str(index % 3), _TOKENS, 1e9)
        assert context.shares.submit(request, 0.0).is_ok()
    context.running = []
    while (request_or_none := context.shares.start_next(0.0)) is not None:
        context.running.append(request_or_none.request_id)
    assert context.shares.running >= context.slots - 1


@when("workspace 3 submits {count:d} requests while {freed:d} slots become free")
def step_submit_while_slots_free(context: Any, count: int, freed: int) -> None:
    for index in range(count):
        request = WaitingRequest(f"r{index}", "3", _TOKENS, 1e9)
        assert context.shares.submit(request, 1.0).is_ok()
    context.started = []
    for request_id in context.running[:freed]:
        context.shares.finish(request_id, None)
        context.started.append(context.shares.start_next(1.0).workspace)


@then("the shares start at least {least:d} requests of workspace 3 among those {n:d}")
def step_borrowed_slots_returned(context: Any, least: int, n: int) -> None:
    assert len(context.started) == n
    assert context.started.count("3") >= least, context.started


@when("{count:d} callers submit to the shares at once with {allowed:d} s to start")
def step_submit_at_once(context: Any, count: int, allowed: int) -> None:
    context.allowed_s = float(allowed)
    context.retries = []
    for index in range(count):
        request = WaitingRequest(f"c{index}", "0", _TOKENS, context.allowed_s)
        submitted = context.shares.submit(request, 0.0)
        if submitted.is_err():
            context.retries.append((submitted.unwrap_err().retry_after_s, index))


@then("the shares refuse some immediately and give each a time to retry")
def step_refused(context: Any) -> None:
    assert len(context.retries) >= 5, context.retries
    assert all(retry_after_s > 0.0 for retry_after_s, _ in context.retries)
    assert (
        max(context.retries)[0] <= 10.0
    ), "a time to retry exceeds the time that all requests take"


@then("the shares admit them when they retry and slots are freed at the known rate")
def step_retries_admitted(context: Any) -> None:
    ends: list[tuple[float, str]] = []

    def serve(until_s: float) -> None:
        now = 0.0
        while True:
            context.shares.drop_expired(now)
            while (request := context.shares.start_next(now)) is not None:
                ends_s = now + request.tokens / _TOKENS_PER_S_PER_SLOT
                heapq.heappush(ends, (ends_s, request.request_id))
            if not ends or ends[0][0] > until_s:
                return
            now, request_id = heapq.heappop(ends)
            context.shares.finish(request_id, None)

    for due_s, index in sorted(context.retries):
        serve(due_s)
        request = WaitingRequest(
            f"again{index}", "0", _TOKENS, due_s + context.allowed_s
        )
        submitted = context.shares.submit(request, due_s)
        assert submitted.is_ok(), (due_s, submitted)
