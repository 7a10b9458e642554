"""Steps for expert map switches of a lock-step group of real processes."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import msgpack
from behave import given, then, when

from corianderrelay.state.audit import AuditKind, decode_audit_records

from demo.processes import fetch
from demo.system import temporary_folder
from tests.harness.group_system import EXPERTS, GroupSystem
from tests.waiting import wait_until

if TYPE_CHECKING:
    from corianderrelay.state.audit import AuditRecord

_NO_MAP = -1
_MAX_FAULT_DELAY_S = 1.5
_PAUSE_S = 1.0
_OUTAGE_S = 1.5
_FAULT_SEED = 7


@given("a group of three ranks whose engines step with an initial map")
def step_group(context: Any) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.group = GroupSystem(Path(folder))
    context.cleanup.callback(context.group.kill)
    context.group.start()
    context.first_map = context.group.wait_for_new_map(_NO_MAP)
    context.maps = [context.first_map]


@given("the group's log service answers after {delay_ms:d} ms")
def step_slow_log(context: Any, delay_ms: int) -> None:
    # Slow appends keep the group held longer in each switch, so that faults hit it.
    context.group.set_log_faults(delay_s=delay_ms / 1000)


def _popular_experts(shift_index: int) -> set[int]:
    return {(3 * shift_index) % EXPERTS, (3 * shift_index + 1) % EXPERTS}


@when("the group's demand shifts {times:d} times")
def step_shift(context: Any, times: int) -> None:
    for shift_index in range(times):
        context.group.shift_demand(_popular_experts(shift_index))
        context.maps.append(context.group.wait_for_new_map(context.maps[-1]))


@when(
    "the group's demand shifts {times:d} times and each time agent {rank:d} is {fault}"
)
def step_shift_with_fault(context: Any, times: int, rank: int, fault: str) -> None:
    random = Random(_FAULT_SEED)
    for shift_index in range(times):
        context.group.shift_demand(_popular_experts(shift_index))
        time.sleep(random.uniform(0.0, _MAX_FAULT_DELAY_S))
        if fault == "killed":
            context.group.kill_agent(rank)
        else:
            context.group.pause_agent(rank, _PAUSE_S)
        context.maps.append(context.group.wait_for_new_map(context.maps[-1]))


@then("all ranks used the same map in every step")
def step_one_map(context: Any) -> None:
    context.group.wait_for_steps()
    steps = context.group.step_record()
    assert steps["mixed"] == {}, steps
    assert len(context.group.maps_in_use()) == 1, context.group.map_statuses()


def _fetch_audit_records(context: Any) -> list[AuditRecord]:
    body = fetch(f"{context.group.log_url}/streams/audit?offset=0")[2]
    payloads = [payload for _, payload in msgpack.unpackb(body)["entries"]]
    return [record for payload in payloads for record in decode_audit_records(payload)]


@then("the audit trail records each map switch of the group")
def step_audit(context: Any) -> None:
    def all_recorded() -> bool:
        records = _fetch_audit_records(context)
        committed = [record for record in records if record.why[:9] == "committed"]
        return len(committed) >= len(context.maps)

    wait_until(all_recorded, "the audit trail records each switch")
    kinds = {record.kind for record in _fetch_audit_records(context)}
    assert kinds == {AuditKind.MAP_SWITCHED}, kinds


@when("the log service is unavailable and the group's demand shifts")
def step_log_outage(context: Any) -> None:
    context.group.set_log_faults(outage=True)
    context.group.shift_demand(_popular_experts(1))


@then("the group keeps stepping with its old map")
def step_old_map(context: Any) -> None:
    outage_end_s = time.monotonic() + _OUTAGE_S
    while time.monotonic() < outage_end_s:
        assert context.group.maps_in_use() == {context.first_map}
    context.group.wait_for_steps()


@then("the group switches its map after the log service recovers")
def step_log_recovery(context: Any) -> None:
    context.group.set_log_faults(outage=False)
    context.group.wait_for_new_map(context.first_map)
    assert context.group.step_record()["mixed"] == {}
