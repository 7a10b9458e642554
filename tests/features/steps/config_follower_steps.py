"""Steps for following the configuration stream and publishing to it."""

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
_INVALID_DOCUMENT = Document(
    workspaces_by_name={"kits": Workspace(key_digests=["a" * 64], services=["none"])}
)


def _advance(context: Any, seconds: float) -> None:
    for _ in range(int(seconds / 0.25)):
        context.clock.advance(0.25)


def _start_follower(context: Any) -> None:
    follower = ConfigFollower(
        context.log,
        context.clock,
        f"process-{len(context.followers)}",
        _RETENTION_S,
        lambda: _WALL_START_S + float(context.clock.seconds()),
        lambda active: context.activated.append(active.version),
        lambda verdict: None,
    )
    follower.start()
    context.followers.append(follower)


def _publish(
    context: Any, number: int, base: int, document: Document = _DOCUMENT
) -> None:
    outcome: list[int | RelayError] = []
    follower = context.followers[number - 1]
    nonce = f"nonce-{len(context.outcomes)}"
    published = follower.publish(base, document, f"operator-{number}", nonce)
    published.addCallbacks(
        outcome.append, lambda failure: outcome.append(failure.value)
    )
    context.outcomes.append(outcome)


@given("{number:d} configuration followers of one log")
def step_followers(context: Any, number: int) -> None:
    context.clock = Clock()
    context.faults = LogFaults(retention_s=_RETENTION_S)
    context.log = VirtualLog(context.clock, context.faults)
    context.followers = []
    context.activated = []
    context.outcomes = []
    for _ in range(number):
        _start_follower(context)
    _advance(context, 6)


@given("the response to the next append is lost")
def step_lose_response(context: Any) -> None:
    context.faults.lose_next_answers = 1


@given("the log becomes unavailable after follower 1 has read all records")
def step_outage(context: Any) -> None:
    context.faults.outage = True


@when("follower {number:d} publishes a document based on version {base:d}")
def step_publish(context: Any, number: int, base: int) -> None:
    _publish(context, number, base)
    _advance(context, 3)


@when("follower {number:d} publishes an invalid document")
def step_publish_invalid(context: Any, number: int) -> None:
    _publish(context, number, 0, _INVALID_DOCUMENT)


@when("both followers publish a document based on version 0 concurrently")
def step_race(context: Any) -> None:
    _publish(context, 1, 0)
    _publish(context, 2, 0)
    _advance(context, 3)


@when("{times:d} retention periods pass")
def step_pass_retention(context: Any, times: int) -> None:
    _advance(context, times * _RETENTION_S)


@when("another follower starts")
def step_another_follower(context: Any) -> None:
    _start_follower(context)
    _advance(context, 3)


@when("the log becomes unavailable and another follower starts")
def step_start_in_outage(context: Any) -> None:
    context.faults.outage = True
    _start_follower(context)
    _advance(context, 3)


@when("that follower receives the version of follower {number:d}")
def step_receive_version(context: Any, number: int) -> None:
    context.followers[-1].adopt(context.followers[number - 1].fold.active_version)


@then("the publication ends as version {version:d}")
def step_published(context: Any, version: int) -> None:
    assert context.outcomes[-1] == [version], context.outcomes


@then("the publication ends with an {kind} error")
def step_publication_failed(context: Any, kind: str) -> None:
    (error,) = context.outcomes[-1]
    assert isinstance(error, RelayError) and error.kind == kind, error


@then("one publication is active and the other fails, naming version 1 and its author")
def step_race_outcome(context: Any) -> None:
    (winner,), (loser,) = context.outcomes
    assert winner == 1, winner
    assert isinstance(loser, ConflictError), loser
    assert "version 1 by operator-1" in loser.message, loser.message


@then("all followers have version {version:d}")
def step_all_have(context: Any, version: int) -> None:
    versions = [follower.fold.version for follower in context.followers]
    assert versions == [version] * len(versions), versions


@then("each follower activated version {version:d} once")
def step_activated_once(context: Any, version: int) -> None:
    assert context.activated == [version] * len(context.followers), context.activated
