"""Steps for when and where takeovers of silent attempts start."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from corianderrelay_entry.state.direct.attempt import Attempt
from corianderrelay_entry.state.direct.catalog import RequestKind, Route
from corianderrelay_entry.state.direct.silence import Silence
from corianderrelay_entry.state.direct.takeover_limits import TakeoverLimits

_SERVICE = "assistant"
_RUNNER = "runner-0"
_SLOTS = 6


@given(
    "a {kind:w} attempt sent at {sent_s:f} s with an objective of {objective_s:f} s, "
    "{started}"
)
def step_attempt(
    context: Any, kind: str, sent_s: float, objective_s: float, started: str
) -> None:
    services = ((_SERVICE, 1.0),)
    context.route = Route(
        "r", "h", "/p/", RequestKind(kind), services, 2, 8.0, objective_s
    )
    context.attempt = Attempt(_RUNNER, "", sent_s)
    context.started = started == "started"
    context.silence = Silence()


@when("its service makes progress at {now:f} s")
def step_progress(context: Any, now: float) -> None:
    context.silence.on_progress(_SERVICE, now)


@then("at {now:f} s it is {verdict}")
def step_silent(context: Any, now: float, verdict: str) -> None:
    is_silent = context.silence.is_too_long(
        context.attempt, context.route, _SERVICE, context.started, now
    )
    assert is_silent == (verdict == "silent")


@given(
    "{count:d} full runners of 6 slots, each with {silent:d} streams that fall silent "
    "together"
)
def step_full_runners(context: Any, count: int, silent: int) -> None:
    context.limits = TakeoverLimits()
    context.running_by_id = {f"runner-{number}": _SLOTS for number in range(count)}
    context.silent = silent * count


@when("takeovers are sent wherever they may have a place")
def step_send(context: Any) -> None:
    for number in range(context.silent):
        for runner_id, running in context.running_by_id.items():
            own = number % len(context.running_by_id)
            if runner_id != f"runner-{own}" and context.limits.may_have_place(
                runner_id, _SLOTS, running, 1.0
            ):
                context.running_by_id[runner_id] += 1
                break


@then("each runner has got {count:d} takeover")
def step_got(context: Any, count: int) -> None:
    assert set(context.running_by_id.values()) == {_SLOTS + count}


@given(
    "a runner of {slots:d} slots that rejected a takeover at {at_s:f} s while "
    "{running:d} requests ran"
)
def step_rejected(context: Any, slots: int, at_s: float, running: int) -> None:
    context.limits = TakeoverLimits()
    context.limits.on_rejected(_RUNNER, running, at_s)


@when("the runner starts again")
def step_restarted(context: Any) -> None:
    context.limits.evict_runner(_RUNNER)


@then("with {running:d} requests at {now:f} s it {verdict} another takeover")
def step_may(context: Any, running: int, now: float, verdict: str) -> None:
    may = context.limits.may_have_place(_RUNNER, _SLOTS, running, now)
    assert may == (verdict == "may get")
