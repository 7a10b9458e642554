"""Steps for the agent's key guard, which runs each idempotency key at most once."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from corianderrelay.state.attempt_outcome import RefusalReason
from corianderrelay.state.claim_messages import StartOrder, TombstoneRequest
from corianderrelay_agent.state.key_guard import KeyGuard, KeyGuardLimits

_LIMITS = KeyGuardLimits(
    ticket_lifetime_s=10.0, max_finished=900, max_answer_bytes=1000
)


def _start_order(key: str, claim: int, ticket: int, incarnation: int) -> StartOrder:
    return StartOrder(key, claim, incarnation, ticket)


def _admit(
    context: Any, start_order: StartOrder, now: float, busy: RefusalReason | None = None
) -> None:
    admitted = context.guard.admit(start_order, now, busy)
    refused = admitted.err()
    context.answers.append(refused.value if refused else "started")


def _tombstone(context: Any, order: TombstoneRequest, now: float) -> None:
    reply = context.guard.tombstone(order, now)
    state_by_flags = {(True, True): "forgotten", (True, False): "running"}
    context.answers.append(
        state_by_flags.get((reply.started, reply.forgotten), "not started")
    )


@given("a key guard of incarnation {incarnation:d} with tickets of 10 seconds")
def step_guard(context: Any, incarnation: int) -> None:
    context.guard = KeyGuard(incarnation, _LIMITS)
    context.incarnation = incarnation
    context.answers = []


@given('the guard issued a ticket for "{key}" at {now:g} s')
def step_ticket(context: Any, key: str, now: float) -> None:
    context.guard.grant_ticket(key, now).unwrap()


@given('the guard ran {others:d} other keys after claim 5 on "k" with ticket 1')
def step_ran_others(context: Any, others: int) -> None:
    context.guard.admit(_start_order("k", 5, 1, context.incarnation), 0.5).unwrap()
    context.guard.finish("k", 200, "text/plain", b"answer")
    for number in range(others):
        ticket = context.guard.grant_ticket(f"other-{number}", 1.0).unwrap()
        order = _start_order(
            f"other-{number}", 9, ticket.ticket_id, context.incarnation
        )
        context.guard.admit(order, 1.0).unwrap()
        context.guard.finish(order.key, 200, "text/plain", b"answer")


@when(
    'the guard receives a dispatch of claim {claim:d} on "{key}" '
    "with ticket {ticket:d} of incarnation {incarnation:d} at {now:g} s"
)
def step_dispatch(
    context: Any, claim: int, key: str, ticket: int, incarnation: int, now: float
) -> None:
    _admit(context, _start_order(key, claim, ticket, incarnation), now)


@when(
    'the busy guard receives a dispatch of claim {claim:d} on "{key}" '
    "with ticket 1 at {now:g} s"
)
def step_busy_dispatch(context: Any, claim: int, key: str, now: float) -> None:
    order = _start_order(key, claim, 1, context.incarnation)
    _admit(context, order, now, RefusalReason.OVERLOADED)


@when(
    'the guard receives a tombstone of claim {claim:d} on "{key}" '
    "with ticket {ticket:d} at {now:g} s"
)
def step_tombstone(context: Any, claim: int, key: str, ticket: int, now: float) -> None:
    _tombstone(context, TombstoneRequest(key, claim, ticket, context.incarnation), now)


@when(
    'the guard receives a tombstone of claim {claim:d} on "{key}" '
    "of incarnation {incarnation:d} at {now:g} s"
)
def step_tombstone_other(
    context: Any, claim: int, key: str, incarnation: int, now: float
) -> None:
    _tombstone(context, TombstoneRequest(key, claim, 1, incarnation), now)


@then('the guard answered "{answers}"')
def step_answers(context: Any, answers: str) -> None:
    assert context.answers == answers.split(", "), context.answers


@then("the guard keeps at most {keys:d} keys and {size:d} answer bytes")
def step_bounded(context: Any, keys: int, size: int) -> None:
    context.guard.grant_ticket("later", 100.0)
    assert len(context.guard) <= keys, len(context.guard)
    assert context.guard.kept_answer_bytes <= size, context.guard.kept_answer_bytes
