"""Steps for requests that crash the runners that run them."""

from __future__ import annotations

import http.client
import itertools
import signal
import threading
import time
import urllib.error
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any

import msgspec
from behave import given, then, when

from corianderrelay_entry.state.direct.call import DirectCall
from corianderrelay_entry.state.direct.fingerprint import request_fingerprint

from tests.harness.platform_system import HOST, WORKSPACE
from tests.standins.platform_runner import whole_stream
from tests.waiting import wait_until

_QUARANTINE_TOPIC = "keyed.quarantine"
_TOPICS = {"entries": "keyed.entries", "quarantines": _QUARANTINE_TOPIC}
_READY_POLL_S = 0.1
_OTHER_STREAMS = 6
_OTHERS_PAUSE_S = 0.1  # a refused caller comes back after it
_RECOVERY_S = 6.0  # new runners are registered, and a stream takes two seconds
_WAKE_UP_S = 0.5  # an entry that wakes up first handles what has arrived meanwhile
_REQUEST_INTERVAL_S = 0.4
_REFUSED_AT_ONCE_S = 0.5


def _request(context: Any, path: str, host: str) -> None:
    """Send one request and record its status, headers and duration."""
    sent_at = time.monotonic()
    status, headers = 0, {}
    try:
        _, status, headers, _ = context.system.send_request(path, host=host)
    except (http.client.HTTPException, urllib.error.URLError, OSError):
        pass  # the stream was cut
    context.outcomes.append((status, headers, time.monotonic() - sent_at))


@when("{path:S} is requested {count:d} times, at each entry in turn")
def step_request_repeatedly(context: Any, path: str, count: int) -> None:
    context.outcomes = []
    for host in itertools.islice(itertools.cycle(context.system.hosts), count):
        _request(context, path, host)
        time.sleep(_REQUEST_INTERVAL_S)


@when("{path:S} is requested {count:d} times, {gap_s:g} s apart, at each entry in turn")
def step_request_at_intervals(
    context: Any, path: str, count: int, gap_s: float
) -> None:
    context.outcomes = []
    for host in itertools.islice(itertools.cycle(context.system.hosts), count):
        _request(context, path, host)
        time.sleep(gap_s)


@given(
    "{count:d} runners that reset connections for {down_s:g} s after a crash, "
    "and then serve under a new id"
)
def step_come_back(context: Any, count: int, down_s: float) -> None:
    context.system.let_runners_come_back(count, down_s)


@then("it has crashed at most {count:d} runners")
def step_crashes(context: Any, count: int) -> None:
    crashes = context.system.fleet.crashes
    assert 0 < len(crashes) <= count, [crash.runner_id for crash in crashes]


@then(
    "the last {count:d} requests were refused at once, "
    "with a Retry-After of at least {seconds:d} s"
)
def step_refused(context: Any, count: int, seconds: int) -> None:
    for status, headers, took_s in context.outcomes[-count:]:
        assert status == 503, context.outcomes
        assert float(headers["retry-after"]) >= seconds, headers
        assert took_s < _REFUSED_AT_ONCE_S, took_s


@then("other requests are served by every entry")
def step_others_served(context: Any) -> None:
    for path, host in itertools.product(
        ("/stock/whole", "/orders/whole", "/stream/whole"), context.system.hosts
    ):
        status = context.system.send_request(path, host=host)[1]
        assert status == 200, (path, host, status)


@given("{path:S} has crashed {count:d} runners")
def step_has_crashed(context: Any, path: str, count: int) -> None:
    context.outcomes = []
    fleet = context.system.fleet
    hosts = itertools.cycle(context.system.hosts[:2])
    while len(fleet.crashes) < count:
        _request(context, path, next(hosts))
    fingerprint = _fingerprint(path)
    wait_until(
        lambda: fingerprint in context.system.store.newest_keys(_QUARANTINE_TOPIC),
        "the platform's log holds the quarantine",
    )


@given("entry {number:d} is frozen")
def step_freeze(context: Any, number: int) -> None:
    process = context.system.entry_processes[number - 1]
    process.signal(signal.SIGSTOP)
    context.cleanup.callback(process.signal, signal.SIGCONT)


@when("entry {number:d} wakes up")
def step_wake(context: Any, number: int) -> None:
    context.system.entry_processes[number - 1].signal(signal.SIGCONT)
    time.sleep(_WAKE_UP_S)


@when("all entries are killed and started again")
def step_restart_all(context: Any) -> None:
    system = context.system
    for process in system.entry_processes:
        process.kill()
    system.entry_processes.clear()
    for host in system.hosts:
        system.start_entry(host)
    wait_until(lambda: all(map(system.ready, system.hosts)), "the entries are ready")


@given("the platform's log refuses all calls")
def step_log_unavailable(context: Any) -> None:
    context.system.store.mode = "busy"


@when("the platform's log is available again and holds the quarantine")
def step_log_available(context: Any) -> None:
    store = context.system.store
    store.mode = "ok"
    wait_until(
        lambda: store.newest_keys(_QUARANTINE_TOPIC),
        "the platform's log holds the quarantine",
    )


@given("the platform's log refuses calls for the {part:w}")
def step_part_refused(context: Any, part: str) -> None:
    context.system.store.refused_topics.add(_TOPICS[part])


@when("the platform's log accepts calls for the {part:w}")
def step_part_accepted(context: Any, part: str) -> None:
    context.system.store.refused_topics.remove(_TOPICS[part])


@when("another entry is started")
def step_start_another(context: Any) -> None:
    host = context.system.add_host()
    context.system.start_entry(host)


@then("it is not ready within {seconds:d} s")
def step_not_ready(context: Any, seconds: int) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert not context.system.ready(context.system.hosts[-1])
        time.sleep(_READY_POLL_S)


@then("it becomes ready")
def step_ready(context: Any) -> None:
    system = context.system
    wait_until(lambda: system.ready(system.hosts[-1]), "the new entry is ready")


@given("runners that restart in place")
def step_restart_in_place(context: Any) -> None:
    context.system.restart_in_place = True


@when("the platform's log quarantines {path:S}")
def step_quarantine(context: Any, path: str) -> None:
    value = msgspec.msgpack.encode(time.time() + 600.0)
    context.system.store.put(_QUARANTINE_TOPIC, _fingerprint(path), value)


@when("the platform's log no longer quarantines {path:S}")
def step_lift(context: Any, path: str) -> None:
    context.system.store.put(_QUARANTINE_TOPIC, _fingerprint(path), b"")


@then("{path:S} gets {status:d} at every entry")
def step_gets_everywhere(context: Any, path: str, status: int) -> None:
    system = context.system
    for host in system.hosts:
        wait_until(
            lambda: system.send_request(path, host=host)[1] == status,
            f"{path} gets {status} at {host}",
        )


@when(
    "{path:S} is requested at all entries together, {rounds:d} times, {gap_s:d} s apart"
)
def step_together(context: Any, path: str, rounds: int, gap_s: int) -> None:
    context.outcomes = []
    hosts = context.system.hosts
    with ThreadPoolExecutor(len(hosts)) as pool:
        for _ in range(rounds):
            list(pool.map(lambda host: _request(context, path, host), hosts))
            time.sleep(gap_s)


@then("it reached no runner later than {seconds:d} s after its third crash")
def step_reached(context: Any, seconds: int) -> None:
    fleet = context.system.fleet
    assert fleet.crashes, "no runner has crashed"
    if len(fleet.crashes) < 3:
        return
    path, limit_s = fleet.crashes[0].path, fleet.crashes[2].at_s + seconds
    late = [at_s - limit_s for each, at_s in fleet.arrivals if each == path]
    assert max(late) <= 0.0, (len(fleet.crashes), late)


@when("{path:S} is requested {count:d} times while others stream at every entry")
def step_beside(context: Any, path: str, count: int) -> None:
    context.outcomes = []
    hosts = context.system.hosts
    context.others = []
    stop = threading.Event()

    def stream(number: int) -> None:
        body = b"other %d" % number
        host = hosts[number % len(hosts)]
        while not stop.is_set():
            with suppress(http.client.HTTPException):  # the stream was cut twice
                answer = context.system.send_request(
                    "/stream/slow", host=host, body=body
                )
                context.others.append((number, answer[1:4:2]))
            time.sleep(_OTHERS_PAUSE_S)

    with ThreadPoolExecutor(_OTHER_STREAMS) as pool:
        streams = [pool.submit(stream, number) for number in range(_OTHER_STREAMS)]
        time.sleep(_REQUEST_INTERVAL_S)
        for host in itertools.islice(itertools.cycle(hosts), count):
            _request(context, path, host)
            time.sleep(_REQUEST_INTERVAL_S)
        context.others.clear()
        time.sleep(_RECOVERY_S)
        stop.set()
    for each in streams:
        each.result()
    context.path = path


@then("no other request is held, and each other caller has had a complete stream")
def step_others_complete(context: Any) -> None:
    ended = itertools.chain.from_iterable(
        context.system.log_lines(number) for number in range(len(context.system.hosts))
    )
    held = {
        line["fingerprint"]
        for line in ended
        if line.get("message_type") == "request:held"
    }
    assert held == {_fingerprint(context.path)}, held
    whole = (200, whole_stream())
    served = {number for number, answer in context.others if answer == whole}
    assert len(served) == _OTHER_STREAMS, context.others


def _fingerprint(path: str) -> str:
    """Return the fingerprint of the requests that ``send_request`` sends."""
    call = DirectCall("", b"POST", path.encode(), HOST, [], b"{}", None, 0.0)
    return request_fingerprint(call, WORKSPACE)
