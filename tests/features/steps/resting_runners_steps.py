"""Steps for runners that ask for rest or state that they leave."""

from __future__ import annotations

import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.system import temporary_folder
from tests.features.steps.stated_limits_steps import ask
from tests.harness.platform_system import PlatformSystem

_SENDING_S = 0.3  # requests that cross an answer, and the answer's way to the entry
_CONFIG_S = 1.0  # within this time all entries follow a new configuration
_RUNNER = "i-0"


@given("{entries:d} entries and 3 runners")
def step_system(context: Any, entries: int) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.system = PlatformSystem(Path(folder), entries=entries)
    context.cleanup.callback(context.system.close)
    context.statuses = []
    context.host_by_request = {}
    context.retry_after_s = []
    context.system.start()
    # Callers without keys are served also while the store is away.
    public = {"Public": True}
    context.system.publish_configuration(stream=public, stock=public)
    time.sleep(_CONFIG_S)


@when("the store falls silent")
def step_silent(context: Any) -> None:
    context.system.store.mode = "silent"


def _reject(context: Any, runner_id: str, rest: str) -> None:
    fleet = context.system.fleet
    with fleet.lock:
        fleet.rejecting.add(runner_id)
        fleet.stated_headers[runner_id] = {"Retry-After": rest}


@when("a runner rejects all requests and asks for rest: {rest}")
def step_rejects(context: Any, rest: str) -> None:
    context.rest_s = float(rest)
    _reject(context, _RUNNER, rest)


@when("all runners reject all requests and ask for rest: {rest}")
def step_all_reject(context: Any, rest: str) -> None:
    context.rest_s = float(rest)
    for runner in context.system.runners:
        _reject(context, runner.runner_id, rest)


@when("it rejects no request any more")
def step_rejects_no_more(context: Any) -> None:
    with context.system.fleet.lock:
        context.system.fleet.rejecting.clear()
        context.system.fleet.stated_headers.clear()


@given("callers ask for {path:S} at all entries for {length_s:g} s")
@when("callers ask for {path:S} at all entries for {length_s:g} s")
def step_ask(context: Any, path: str, length_s: float) -> None:
    context.path = path
    ask(context, context.system.hosts, length_s, lambda: None)


@when("a runner states in its {answers} that it leaves")
def step_leaves(context: Any, answers: str) -> None:
    fleet = context.system.fleet
    with fleet.lock:
        arrivals_by_runner = fleet.arrivals_by_runner
        # Entries send plain requests to the fastest runners only.
        context.runner = max(
            arrivals_by_runner, key=lambda runner: len(arrivals_by_runner[runner])
        )
        fleet.stated_headers[context.runner] = {"Server-Leaving": "1"}
        if answers == "rejections":
            fleet.rejecting.add(context.runner)


def _times_by_host(
    context: Any, records: list[tuple[str, str, float]], runner_id: str
) -> dict[str, list[float]]:
    """Return the times of one runner's requests or answers by entry."""
    times: defaultdict[str, list[float]] = defaultdict(list)
    for runner, request_id, at in records:
        host = context.host_by_request.get(request_id)
        if runner == runner_id and host is not None and at >= context.asked_from:
            times[host].append(at)
    return times


def _assert_rests(context: Any, runner_id: str) -> None:
    fleet = context.system.fleet
    sent = _times_by_host(context, fleet.sent, runner_id)
    answered = _times_by_host(context, fleet.answered, runner_id)
    assert answered, "the runner got no request"
    for host, answers in answered.items():
        for at in answers:
            within = [
                each - at
                for each in sent[host]
                if at + _SENDING_S < each < at + context.rest_s
            ]
            assert not within, (host, within)
        # One request after each rest; the entry's two callers may come together first.
        rests = (answers[-1] - answers[0]) / context.rest_s
        assert len(answers) <= 2 + rests, answers


@then("each entry sends it one request at most in each {seconds:g} s")
def step_rests(context: Any, seconds: float) -> None:
    _assert_rests(context, _RUNNER)


@then("each entry sends each runner one request at most in each {seconds:g} s")
def step_all_rest(context: Any, seconds: float) -> None:
    for runner in context.system.runners:
        _assert_rests(context, runner.runner_id)


@then("all callers of running entries are served")
def step_served(context: Any) -> None:
    assert set(context.statuses) == {200}, context.statuses


@then(
    "every refused caller is told a time within {most_s:g} s, and its request did "
    "not run"
)
def step_refused(context: Any, most_s: float) -> None:
    assert set(context.statuses) == {503}, context.statuses
    assert not context.system.fleet.runs
    told_s = context.retry_after_s
    assert told_s and max(told_s) <= most_s and min(told_s) > 0.0, told_s
    # Callers that come early in a rest are not told to come back during it.
    assert max(told_s) > most_s / 2, told_s


@then("it gets a fifth of the requests of the last {length_s:g} s")
def step_share(context: Any, length_s: float) -> None:
    since = time.monotonic() - length_s
    recent = [runner for runner, _, at in context.system.fleet.sent if at >= since]
    assert recent.count(_RUNNER) >= len(recent) / 5, (
        recent.count(_RUNNER),
        len(recent),
    )


@then(
    "it gets no request of an entry later than {late_s:g} s after its first answer "
    "there"
)
def step_left(context: Any, late_s: float) -> None:
    fleet = context.system.fleet
    sent = _times_by_host(context, fleet.sent, context.runner)
    answered = _times_by_host(context, fleet.answered, context.runner)
    assert answered, "the runner got no request"
    for host, answers in answered.items():
        late = [at - answers[0] for at in sent[host] if at > answers[0] + late_s]
        assert not late, (host, late)


@then("it gets no request at all from {since_s:g} s on")
def step_no_request(context: Any, since_s: float) -> None:
    since = context.asked_from + since_s
    late = [
        at
        for at in context.system.fleet.arrivals_by_runner[context.runner]
        if at > since
    ]
    assert not late, late
