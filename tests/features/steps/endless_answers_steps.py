"""Steps for runners that send bytes without end."""

from __future__ import annotations

import threading
from typing import Any

from behave import then, when

from tests.harness.memory import peak_memory_mb
from tests.waiting import wait_until


def _peak_memory_mb(context: Any) -> int:
    """Return the largest peak of the resident memory of any entry, in MB."""
    return max(map(peak_memory_mb, context.system.entry_processes))


@when("a caller asks for {path:S}, beside a stream that makes progress")
def step_ask_beside(context: Any, path: str) -> None:
    system = context.system
    beside = threading.Thread(target=system.send_request, args=("/stream/slow",))
    beside.start()
    context.answer = system.send_request(path)
    beside.join()


@when("a caller asks for {path:S}, which sends bytes without end")
def step_ask_endless(context: Any, path: str) -> None:
    context.memory_before_mb = _peak_memory_mb(context)
    context.answer = context.system.send_request(path)


@then("it gets {status:d}, and the entries have cut the runner off")
def step_cut_off(context: Any, status: int) -> None:
    assert context.answer[1] == status, context.answer[1]
    fleet = context.system.fleet
    wait_until(lambda: not fleet.endless, "all endless answers are cut off")


@then("the entries' memory has grown by less than {limit:d} MB")
def step_memory(context: Any, limit: int) -> None:
    peak = _peak_memory_mb(context)
    before = context.memory_before_mb
    assert peak - before < limit, f"{before} MB before, {peak} MB after"


@then("the log names the reason: {reason}")
def step_reason(context: Any, reason: str) -> None:
    ended = [
        line
        for line in context.system.log_lines()
        if line.get("message_type") == "request:ended"
        and line["request"] == context.answer[0]
    ]
    assert reason in ended[0]["reason"], ended


@then("it gets a body of {count:d} bytes")
def step_large(context: Any, count: int) -> None:
    assert context.answer[1] == 200 and len(context.answer[3]) == count
