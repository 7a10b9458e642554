"""Steps for an entry that judges the runners of lost attempts."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from corianderrelay_entry.coordination.direct.crash_watch import CrashWatch
from corianderrelay_entry.coordination.direct.decision_log import DecisionLog
from corianderrelay_entry.coordination.direct.open_direct_call import OpenAttempt
from corianderrelay_entry.coordination.direct.ports import ProbeResult
from corianderrelay_entry.state.direct.crash_ledger import LostAttempt, runner_life
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner, RunnerList

_RUNNER_A = RegisteredRunner("A", "s", "10.0.0.1", 1, "z", 6, started_ms=1)
_RESTARTED_A = RegisteredRunner("A", "s", "10.0.0.1", 1, "z", 6, started_ms=2)


class _Probe:
    """Gives each probe the same result."""

    result = ProbeResult.UNANSWERED

    def identify(self, runner: RegisteredRunner) -> Deferred[ProbeResult]:
        return succeed(self.result)


class _Opened:
    """The fields of an open request that the watch uses."""

    shared_parts = ()

    def __init__(self, fingerprint: str) -> None:
        self.fingerprint = fingerprint


@given("an entry that knows runner A")
def step_entry(context: Any) -> None:
    context.clock, context.runners = Clock(), RunnerList()
    context.probe, context.shared = _Probe(), []
    context.runners.put(_RUNNER_A)
    context.watch = CrashWatch(
        context.runners,
        context.probe,
        context.clock,
        Random(1),
        DecisionLog(context.clock.seconds),
        lambda: context.shared.append(True),
    )


@when(
    "an attempt of request {request:w} at runner A is lost and a probe finds {result}"
)
def step_lost(context: Any, request: str, result: str) -> None:
    context.probe.result = ProbeResult(result)
    relay: Any = None
    opened: Any = _Opened(request)
    attempt = OpenAttempt(relay, opened, _RUNNER_A, context.clock.seconds())
    context.watch.on_sent(attempt)
    context.watch.on_attempt_lost(attempt)
    assert context.shared, "the other entries were not told"
    context.request, context.life = request, runner_life("A", 1)


@when("{seconds:d} s later a probe finds {result}")
def step_later(context: Any, seconds: int, result: str) -> None:
    context.probe.result = ProbeResult(result)
    context.clock.advance(seconds)
    context.watch.tick()


@when("runner A is not registered")
def step_removed(context: Any) -> None:
    context.runners.remove("A", context.clock.seconds())
    context.watch.tick()


@when("runner A has started again")
def step_restarted(context: Any) -> None:
    context.runners.put(_RESTARTED_A)
    context.watch.tick()


@when("the runner list cannot be read")
def step_unreadable(context: Any) -> None:
    context.runners.on_log_unavailable()


@when("the runner list can be read again")
def step_readable(context: Any) -> None:
    context.runners.on_log_available(context.clock.seconds())
    context.watch.tick()


@then("no verdict on it is known")
def step_no_verdict(context: Any) -> None:
    assert context.watch.ledger.rounds(context.request) == 1


@when("another entry reports a lost attempt of request {request:w} at runner B")
def step_reported(context: Any, request: str) -> None:
    context.request, context.life = request, runner_life("B", 1)
    context.watch.receive([LostAttempt(request, context.life, 1)], [])
    context.clock.advance(1.0)
    context.watch.tick()


@then("the verdict on it is {verdict}")
def step_verdict(context: Any, verdict: str) -> None:
    shared = context.watch.ledger.next_shared(context.clock.seconds())
    verdicts = [
        lost.verdict.name.lower()
        for lost in shared
        if (lost.fingerprint, lost.runner_life) == (context.request, context.life)
    ]
    assert verdicts == [verdict], shared
