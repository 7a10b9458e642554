"""Steps for the HTTP client of the log service."""

from __future__ import annotations

import json
from typing import Any

from behave import given, step, then, when

from corianderrelay.state.errors import RelayError
from corianderrelay.transport.log_http import HttpLogClient

from tests.harness.reactor_loop import reactor, result_of, serve_stand_in
from tests.standins.log_handler import LogHandler
from tests.standins.log_store import LogFaults, LogStore

_TIMEOUT_S = 0.5
_STREAM = "claims-0"


@given("a log client and a log stand-in")
def step_log(context: Any) -> None:
    context.log_store = LogStore(LogFaults())
    url, context.close_log = serve_stand_in(
        LogHandler(context.log_store, reactor).handle
    )
    context.log_client = HttpLogClient(reactor, url, _TIMEOUT_S)
    context.cleanup.callback(lambda: result_of(context.log_client.close()))
    context.cleanup.callback(context.close_log)


@step("the log stand-in has the fault {fault}")
def step_fault(context: Any, fault: str) -> None:
    for name, value in json.loads(fault).items():
        setattr(context.log_store.faults, name, value)


@given("the log stand-in is stopped")
def step_stopped(context: Any) -> None:
    context.close_log()


@when('the log client appends "{first}" and "{second}"')
def step_append(context: Any, first: str, second: str) -> None:
    for payload in (first, second):
        result_of(context.log_client.append(_STREAM, payload.encode()))


@then('the log client reads "{first}" at 0 and "{second}" at 1')
def step_read(context: Any, first: str, second: str) -> None:
    page = result_of(context.log_client.read(_STREAM, 0, 0.0))
    read = [(entry.offset, entry.payload.decode()) for entry in page.entries]
    assert read == [(0, first), (1, second)], read
    assert (page.first_offset, page.next_offset) == (0, 2)


@when('the log client waits for an entry while "{payload}" is appended')
def step_waiting_read(context: Any, payload: str) -> None:
    waiting = context.log_client.read(_STREAM, 0, 3600.0)
    result_of(context.log_client.append(_STREAM, payload.encode()))
    context.page = result_of(waiting)


@then('the waiting read returned "{payload}"')
def step_waiting_read_returned(context: Any, payload: str) -> None:
    assert [entry.payload.decode() for entry in context.page.entries] == [payload]


@when('the log client tries to append "{payload}"')
def step_try_append(context: Any, payload: str) -> None:
    context.error = None
    try:
        result_of(context.log_client.append(_STREAM, payload.encode()))
    except RelayError as error:
        context.error = error


@then("the append failed with {kind}")
def step_failed(context: Any, kind: str) -> None:
    assert context.error is not None, "the append succeeded"
    assert context.error.kind == kind, context.error
    assert context.error.retry_after_s is not None


@then("the log stand-in holds {count:d} entries")
def step_entry_count(context: Any, count: int) -> None:
    context.log_store.faults.outage = False
    page = context.log_store.read(_STREAM, 0, reactor.seconds()).unwrap()
    assert len(page.entries) == count, page


@then("the log client's page begins at offset {offset:d} and is empty")
def step_page_empty(context: Any, offset: int) -> None:
    page = result_of(context.log_client.read(_STREAM, 0, 0.0))
    assert (page.first_offset, page.next_offset) == (offset, offset)
    assert not page.entries
