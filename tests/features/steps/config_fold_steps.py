"""Steps for the fold of the config stream."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from corianderrelay.state.config_fold import ActiveVersion, ConfigFold, RejectReason
from corianderrelay.state.config_records import (
    AnyConfigRecord,
    ConfigRecord,
    RefreshRecord,
    decode_config_record,
    encode_config_record,
)
from corianderrelay.state.document import Document

from tests.machines.config_machine import ConfigMachine
from tests.machines.settings import machine_settings


def _edit(version: int, base: int, nonce: str = "") -> ConfigRecord:
    return ConfigRecord(
        version=version,
        base=base,
        document=Document(),
        author="operator",
        time_s=1.0,
        nonce=nonce or f"nonce-{version}",
    )


def _peer_version(version: int, as_of: int) -> ActiveVersion:
    return ActiveVersion(version, Document(), "operator", 1.0, as_of)


def _refresh(version: int, as_of: int) -> RefreshRecord:
    return RefreshRecord(
        version=version,
        document=Document(),
        author="operator",
        time_s=1.0,
        as_of=as_of,
        written_s=2.0,
    )


@when("the configuration machine runs {examples:d} examples of up to {steps:d} steps")
def step_run_config_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        ConfigMachine,
        settings=machine_settings(examples, steps),
    )
    context.machine_passed = True


@then("the configuration machine found no violated invariant")
def step_config_machine_passed(context: Any) -> None:
    assert context.machine_passed


@given(
    "a configuration stream with versions 1 to 3, a refresh as of 1 and a stale edit"
)
def step_config_stream(context: Any) -> None:
    records: list[AnyConfigRecord] = [_edit(1, 0), _edit(2, 1), _edit(3, 2)]
    context.records = [*records, _edit(3, 2, "late"), _refresh(2, as_of=1)]


@when("a reader starts at the {ordinal} record")
def step_late_reader(context: Any, ordinal: str) -> None:
    start = {"third": 2, "fourth": 3}[ordinal]
    context.fold = ConfigFold()
    context.fold.skip_to(start)
    context.verdicts = [
        verdict
        for offset in range(start, len(context.records))
        for verdict in context.fold.apply(offset, context.records[offset])
    ]


@then("that reader holds version 3 and has rejected the stale edit")
def step_late_reader_reaches_same_verdicts(context: Any) -> None:
    assert context.fold.version == 3, context.fold.version
    reasons = [verdict.reason for verdict in context.verdicts]
    assert reasons == [None, RejectReason.STALE_BASE], reasons


@then("that reader holds no version and validates no record")
def step_late_reader_has_no_base(context: Any) -> None:
    assert context.fold.version == 0, context.fold.version
    assert not context.fold.can_validate
    assert context.verdicts == [], context.verdicts


@given("a configuration reader that holds version {version:d}")
def step_reader_holds(context: Any, version: int) -> None:
    context.fold = ConfigFold()
    for number in range(1, version + 1):
        context.fold.apply(number - 1, _edit(number, number - 1))


@when("a peer sends that reader version {version:d}")
def step_peer_sends_version(context: Any, version: int) -> None:
    context.fold.adopt(_peer_version(version, version - 1))


@then("that reader still holds version {version:d}")
def step_reader_still_holds(context: Any, version: int) -> None:
    assert context.fold.version == version, context.fold.version


@then("a configuration record of {payload_name} is malformed")
def step_record_is_malformed(context: Any, payload_name: str) -> None:
    encoded = encode_config_record(_edit(1, 0))
    text = msgspec.json.encode(_edit(1, 0))
    payloads = {
        "nothing": b"",
        "invalid JSON": b"{no",
        "compressed invalid JSON": zlib.compress(b"no"),
        "a truncated record": encoded[:-5],
        "17 compressed MB": zlib.compress(b" " * 17 * 1024 * 1024 + text),
        "a document with an unknown field": text.replace(
            b'"document":{}', b'"document":{"x":1}'
        ),
    }
    error = decode_config_record(payloads[payload_name]).unwrap_err()
    assert error.kind == "bad_frame" and error.remedy, error


@then("a configuration record is decoded from its encoding and from plain JSON")
def step_decode_encoded_and_plain(context: Any) -> None:
    record = _edit(1, 0)
    assert decode_config_record(encode_config_record(record)).unwrap() == record
    assert decode_config_record(msgspec.json.encode(record)).unwrap() == record
