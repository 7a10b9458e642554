"""Steps for following and publishing configuration."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from corianderrelay.coordination.config_follower import ConfigFollower
from corianderrelay.state.document import Document, Service, ServiceKind, Workspace
from corianderrelay.state.errors import ConflictError, RelayError

from tests.standins.log_store import LogFaults
from tests.virtual_log import VirtualLog

_RETENTION_S = 600.0
_WALL_START_S = 1e9
_DOCUMENT = Document(services_by_name={"shop": Service(kind=ServiceKind.PLAIN)})
_FAULTY = Document(
    workspaces_by_name={"kits": Workspace(key_digests=["a" * 64], services=["none"])}
)


def _run(context: Any, seconds: float) -> None:
    for _ in range(int(seconds / 0.25)):
        context.clock.advance(0.25)


def _start_follower(context: Any) -> None:
    follower = ConfigFollower(
        context.log,
        context.clock,
        f"process-{len(context.followers)}",
        _RETENTION_S,
        lambda: _WALL_START_S + float(context.clock.seconds()),
        lambda held: context.taken.append(held.version),
        lambda verdict: None,
    )
    follower.start()
    context.followers.append(follower)


def _publish(
    context: Any, number: int, base: int, document: Document = _DOCUMENT
) -> None:
    told: list[int | RelayError] = []
    follower = context.followers[number - 1]
    nonce = f"nonce-{len(context.outcomes)}"
    published = follower.publish(base, document, f"operator-{number}", nonce)
    published.addCallbacks(told.append, lambda failure: told.append(failure.value))
    context.outcomes.append(told)


@given("{number:d} configuration followers of one log")
def step_followers(context: Any, number: int) -> None:
    context.clock = Clock()
    context.faults = LogFaults(retention_s=_RETENTION_S)
    context.log = VirtualLog(context.clock, context.faults)
    context.followers = []
    context.taken = []
    context.outcomes = []
    for _ in range(number):
        _start_follower(context)
    _run(context, 6)


@given("the log loses the answer to the next append")
def step_lose_answer(context: Any) -> None:
    context.faults.lose_next_answers = 1


@given("the log goes out while follower 1 has read all")
def step_outage(context: Any) -> None:
    context.faults.outage = True


@when("follower {number:d} publishes a document based on version {base:d}")
def step_publish(context: Any, number: int, base: int) -> None:
    _publish(context, number, base)
    _run(context, 3)


@when("follower {number:d} publishes a faulty document")
def step_publish_faulty(context: Any, number: int) -> None:
    _publish(context, number, 0, _FAULTY)


@when("both followers publish a document based on version 0 at once")
def step_race(context: Any) -> None:
    _publish(context, 1, 0)
    _publish(context, 2, 0)
    _run(context, 3)


@when("{times:d} retention times pass")
def step_pass_retention(context: Any, times: int) -> None:
    _run(context, times * _RETENTION_S)


@when("a further follower starts")
def step_further_follower(context: Any) -> None:
    _start_follower(context)
    _run(context, 3)


@when("the log goes out and a further follower starts")
def step_start_in_outage(context: Any) -> None:
    context.faults.outage = True
    _start_follower(context)
    _run(context, 3)


@when("that follower hears of the version that follower {number:d} holds")
def step_hear(context: Any, number: int) -> None:
    context.followers[-1].adopt(context.followers[number - 1].fold.active_version)


@then("the publication ends as version {version:d}")
def step_published(context: Any, version: int) -> None:
    assert context.outcomes[-1] == [version], context.outcomes


@then("the publication ends with an {kind} error")
def step_refused(context: Any, kind: str) -> None:
    (error,) = context.outcomes[-1]
    assert isinstance(error, RelayError) and error.kind == kind, error


@then("one publication is in force and the other names version 1 and its author")
def step_raced(context: Any) -> None:
    (winner,), (loser,) = context.outcomes
    assert winner == 1, winner
    assert isinstance(loser, ConflictError), loser
    assert "version 1 by operator-1" in loser.message, loser.message


@then("all followers hold version {version:d}")
def step_all_hold(context: Any, version: int) -> None:
    held = [follower.fold.version for follower in context.followers]
    assert held == [version] * len(held), held


@then("each follower took version {version:d} once")
def step_taken_once(context: Any, version: int) -> None:
    assert context.taken == [version] * len(context.followers), context.taken
