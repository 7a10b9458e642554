"""Steps for planned stops of entries."""

from __future__ import annotations

import http.client
import signal
import threading
import time
import urllib.error
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.system import temporary_folder
from tests.harness.platform_system import PlatformSystem

_ASKING_SHARE = 0.85  # the last pause must end before the entry does
_UNAVAILABLE = 503
_TIMEOUT_MS = 20_000


@given(
    "two entries with a grace time of {grace:d} s, and routes with a timeout of "
    "{timeout:d} s"
)
def step_system(context: Any, grace: int, timeout: int) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.system = system = PlatformSystem(Path(folder), grace_s=grace)
    context.cleanup.callback(system.close)
    context.grace_s = grace
    system.start()
    long = {"TimeoutMs": timeout * 1000}
    system.publish_configuration(orders=long, stock=long | {"Attempts": 1})
    time.sleep(1.0)
    # Runners that work for longer than the grace time.
    system.fleet.hang_s = 2.0 * grace


@when("entry 2 gets SIGTERM while callers ask it for {path:S} at all times")
def step_stop(context: Any, path: str) -> None:
    system = context.system
    process = system.entry_processes[1]
    context.outcomes = outcomes = []

    def ask() -> None:
        try:
            request_id, status, _, _ = system.send_request(
                path, host=system.hosts[1], deadline_ms=str(_TIMEOUT_MS)
            )
            outcomes.append((request_id, status))
        except urllib.error.URLError as error:
            if not isinstance(error.reason, ConnectionRefusedError):
                outcomes.append(("cut", 0))
        except (http.client.HTTPException, OSError):
            outcomes.append(("cut", 0))

    callers = []
    gap_s = context.grace_s / 12.0
    began = time.monotonic()
    while time.monotonic() - began < _ASKING_SHARE * context.grace_s:
        callers.append(threading.Thread(target=ask))
        callers[-1].start()
        time.sleep(gap_s)
        if len(callers) == 2:
            process.signal(signal.SIGTERM)
            context.stopped_at = time.monotonic()
            began = context.stopped_at
    process.wait()
    context.took_s = time.monotonic() - context.stopped_at
    for caller in callers:
        caller.join()


@then("each request that it has read gets an answer")
def step_answered(context: Any) -> None:
    assert all(status for _, status in context.outcomes), context.outcomes


@then("those that are refused as not run have not run, and at least {count:d} are")
def step_not_run(context: Any, count: int) -> None:
    fleet = context.system.fleet
    refused = [each for each, status in context.outcomes if status == _UNAVAILABLE]
    assert len(refused) >= count, context.outcomes
    assert all(fleet.run_count(request_id) == 0 for request_id in refused)
    others = [each for each, status in context.outcomes if status != _UNAVAILABLE]
    assert others, context.outcomes


@then("the entry exits within {seconds:d} s")
def step_exits(context: Any, seconds: int) -> None:
    assert context.took_s <= seconds, context.took_s
