"""Steps for the group-commit appender."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet.defer import DeferredList

from corianderrelay.coordination.group_commit import GroupCommit
from corianderrelay.state.append_payload import RecordReader

from tests.harness.reactor_loop import reactor, result_of
from tests.machines.group_commit_machine import GroupCommitMachine
from tests.machines.settings import machine_settings

_STREAM = "claims-0"


@when("the group commit machine runs {examples:d} examples of {steps:d} steps")
def step_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        GroupCommitMachine,
        settings=machine_settings(examples, steps),
    )
    context.machine_ran = True


@when("the group commit machine delays an append until just before its retry")
def step_delayed_append(context: Any) -> None:
    machine = GroupCommitMachine()
    machine.submit(index=0, count=1)
    machine.lose_answer(index=0, effect="late")
    machine.answer(index=0, delayed_first=False)
    machine.answer(index=0, delayed_first=True)
    machine.acknowledged_records_are_at_reported_position()
    machine.teardown()
    context.machine_ran = True


@then("the group commit machine found no fault")
def step_machine_passed(context: Any) -> None:
    assert context.machine_ran


@given("a group commit on a log stand-in")
def step_group_commit(context: Any) -> None:
    context.execute_steps("Given a log client and a log stand-in")
    context.commit = GroupCommit(context.log_client, reactor, _STREAM, "tester")


@when("{count:d} records are appended together")
def step_append(context: Any, count: int) -> None:
    context.sent = [f"record {index}".encode() for index in range(count)]
    positions = [context.commit.append(record) for record in context.sent]
    context.results = result_of(DeferredList(positions, consumeErrors=True))


@then("the group commit returns the position of each record, in {count:d} appends")
def step_positions(context: Any, count: int) -> None:
    page = context.log_store.read(_STREAM, 0, reactor.seconds()).unwrap()
    assert len(page.entries) == count, page
    reader = RecordReader()
    record_by_position = {
        read.position: read.record
        for offset, data in page.entries
        for read in reader.read(offset, data).unwrap()
    }
    read_back = [record_by_position[position] for _, position in context.results]
    assert read_back == context.sent, read_back


@when("one more record is appended")
def step_one_more(context: Any) -> None:
    context.rejected_record = context.commit.append(b"one more")


@then("the group commit rejects it without calling the log, with a retry time")
def step_rejected(context: Any) -> None:
    errors: list[Any] = []
    context.rejected_record.addErrback(errors.append)
    assert errors, "the record was not rejected at once"
    assert errors[0].value.kind == "log_unavailable"
    assert errors[0].value.retry_after_s > 0
