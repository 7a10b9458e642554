"""Steps for limits that runners state and all entries together respect."""

from __future__ import annotations

import http.client
import signal
import threading
import time
import urllib.error
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.system import temporary_folder
from tests.harness.platform_system import PlatformSystem
from tests.waiting import wait_until

_PATH = "/stream/whole"
_MOST_CALLERS = 7  # for the slots of the runners without a limit
_PAUSE_S = 0.02  # between two requests of a caller
_LEARNING_S = 1.0  # entries learn the limit with the first answers
_WINDOW_S = 4.0
_TRANSPORT_ERRORS = (http.client.HTTPException, urllib.error.URLError, OSError)


@given(
    "{entries:d} entries, and a runner that states a limit of {limit:g} requests a "
    "second"
)
def step_limited(context: Any, entries: int, limit: float) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.system = PlatformSystem(Path(folder), entries=entries)
    context.cleanup.callback(context.system.close)
    context.limit = limit
    context.path = _PATH
    context.statuses = []
    context.host_by_request = {}
    context.retry_after_s = []
    context.system.fleet.stated_headers["i-0"] = {"Server-Limit": str(limit)}
    context.system.start()
    wait_until(
        lambda: all(_known_peers(context, n) >= entries - 1 for n in range(entries)),
        "the entries know each other",
    )


def _known_peers(context: Any, entry_index: int) -> int:
    lines = context.system.log_lines(entry_index)
    heard = {line["entry"] for line in lines if line["message_type"] == "entry:heard"}
    return len(heard)


def _ask_until(context: Any, host: str, ends_at: float) -> None:
    while time.monotonic() < ends_at:
        try:
            answer = context.system.send_request(context.path, host=host)
            context.statuses.append(answer[1])
            context.host_by_request[answer[0]] = host
            if "retry-after" in answer[2]:
                context.retry_after_s.append(float(answer[2]["retry-after"]))
        except _TRANSPORT_ERRORS:
            context.statuses.append(0)  # the entry was killed or is frozen
        time.sleep(_PAUSE_S)


def ask(
    context: Any, hosts: list[str], length_s: float, beside: Callable[[], None]
) -> None:
    """Have callers ask at entries for ``length_s`` while ``beside`` runs."""
    callers_per_entry = max(_MOST_CALLERS // len(hosts), 1)
    context.asked_from = time.monotonic()
    ends_at = context.asked_from + length_s
    with ThreadPoolExecutor(callers_per_entry * len(hosts)) as pool:
        callers = [
            pool.submit(_ask_until, context, host, ends_at)
            for host in hosts * callers_per_entry
        ]
        beside()
        for caller in callers:
            caller.result()


@when("callers ask at {where} for {length_s:g} s")
def step_ask(context: Any, where: str, length_s: float) -> None:
    hosts = context.system.hosts[: 1 if where == "one entry" else None]
    ask(context, hosts, length_s, lambda: None)


@when("callers ask at all entries for {length_s:g} s while entries fail in turn")
def step_ask_with_faults(context: Any, length_s: float) -> None:
    system = context.system

    def fail_entries() -> None:
        killed, frozen, cut_off = system.hosts[:3]
        time.sleep(2.0)
        system.entry_processes[0].kill()
        system.entry_processes[0] = system.start_entry(killed, add=False)
        time.sleep(1.0)
        system.entry_processes[1].signal(signal.SIGSTOP)
        resume = threading.Timer(
            2.5, lambda: system.entry_processes[1].signal(signal.SIGCONT)
        )
        resume.start()
        time.sleep(1.0)
        system.peer_relay.cut_off.add(f"entry-{cut_off}")
        time.sleep(3.0)
        system.start_entry(system.add_host())
        time.sleep(2.0)
        system.peer_relay.cut_off.update(f"entry-{host}" for host in system.hosts)
        time.sleep(3.0)
        system.peer_relay.cut_off.clear()
        resume.join()

    ask(context, list(system.hosts), length_s, fail_entries)


@when("the runner states no limit any more")
def step_no_limit(context: Any) -> None:
    context.system.fleet.stated_headers.clear()


def _arrivals(context: Any, since: float) -> list[float]:
    fleet = context.system.fleet
    with fleet.lock:
        return [at for at in fleet.arrivals_by_runner["i-0"] if at >= since]


def _most_in(arrivals: list[float], window_s: float) -> int:
    return max(
        (sum(start <= at < start + window_s for at in arrivals) for start in arrivals),
        default=0,
    )


@then("in any second it gets at most its limit and one request an entry")
def step_steady(context: Any) -> None:
    arrivals = _arrivals(context, context.asked_from + _LEARNING_S)
    most = _most_in(arrivals, 1.0)
    assert most <= context.limit + len(context.system.hosts), most


@then("in any 4 s it gets at most 1.5 times its limit and 5 requests")
def step_window(context: Any) -> None:
    arrivals = _arrivals(context, context.asked_from + _LEARNING_S)
    most = _most_in(arrivals, _WINDOW_S)
    assert most <= 1.5 * _WINDOW_S * context.limit + 5, most


@then("it gets nine tenths of its limit")
def step_used(context: Any) -> None:
    since = context.asked_from + _LEARNING_S
    arrivals = _arrivals(context, since)
    expected = 0.9 * context.limit * (time.monotonic() - since)
    assert len(arrivals) >= expected - 1, (len(arrivals), expected)


@then("all callers are served")
def step_all_served(context: Any) -> None:
    assert set(context.statuses) == {200}, refusals(context)


def refusals(context: Any) -> list[dict[str, Any]]:
    """Return the log lines of requests that were not served."""
    return [
        line
        for number in range(len(context.system.hosts))
        for line in context.system.log_lines(number)
        if line["message_type"] in ("request:no_place", "request:left_runner")
        or line.get("status", 200) != 200
    ]


@then("it gets more than {count:d} requests in the last {length_s:g} s")
def step_many(context: Any, count: int, length_s: float) -> None:
    arrivals = _arrivals(context, time.monotonic() - length_s)
    assert len(arrivals) > count, len(arrivals)
