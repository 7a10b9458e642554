"""Steps for a platform that restores its log from an older copy."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
from behave import given, then, when

from demo.system import temporary_folder
from tests.harness.platform_system import API_KEY, PlatformSystem
from tests.waiting import wait_until

_AWAY_S = 0.4
_REVOKE_MS = 5000  # as on the users' installations; polls of the log are longer then
_SECOND_RESTORE_AFTER_S = 1.5
_ASK_PERIOD_S = 0.05
_PATH = "/added/whole"
_OP_TOPIC = "keyed.op"
_RUNNERS_TOPIC = "keyed.servers"
_ENTRIES_TOPIC = "keyed.entries"
_QUARANTINE_TOPIC = "keyed.quarantine"
_FINGERPRINT = "f" * 32
_NEW_KEY = "another-key"
_OTHER_SERVICE = "empty"
_POLL_S = 1.6  # longer than an entry's poll of the log
_RECORDS_BEHIND = 8  # more than the versions that the copy lacks
_START_S = 4.0
_CALLERS = 12  # as many as two runners serve at once


def _start(context: Any) -> PlatformSystem:
    folder = context.cleanup.enter_context(temporary_folder())
    context.system = PlatformSystem(Path(folder), entries=3, revoke_ms=_REVOKE_MS)
    context.cleanup.callback(context.system.close)
    context.system.start()
    system: PlatformSystem = context.system
    return system


def _versions(system: PlatformSystem) -> list[int]:
    """Return the version in force at each entry, by its log."""
    in_force = [
        [
            line["version"]
            for line in system.log_lines(number)
            if line.get("message_type") == "config:in_force"
        ]
        for number in range(len(system.hosts))
    ]
    return [versions[-1] if versions else 0 for versions in in_force]


def _publish(system: PlatformSystem, change: str = "") -> None:
    added: dict[str, Any] = {"added": {"Kind": "safe", "Attempts": 1}}
    if change == "removes a route":
        system.publish_configuration()
    elif change == "moves a route":
        added["added"]["Service"] = _OTHER_SERVICE
        system.publish_configuration(**added)
    elif change == "takes a key away":
        system.publish_configuration(keys=(_NEW_KEY,), **added)
    else:
        system.publish_configuration(**added)


def _affected(change: str) -> tuple[int, ...]:
    """Return the statuses of the path that show that a version is in force."""
    return {
        "adds a route": (200,),
        "removes a route": (404,),
        "moves a route": (503,),
        "takes a key away": (401,),
    }[change]


def _restore(
    context: Any, write: Callable[[], None] = lambda: None, mode: str = "reset"
) -> None:
    """Restore the copy; ``write`` adds records before any entry can read."""
    store = context.system.store
    store.mode = mode
    if mode == "silent":
        # Calls in flight end, so that new ones are sent and stay without an answer.
        time.sleep(_POLL_S)
    store.restore(context.copy)
    write()
    time.sleep(_AWAY_S)
    store.mode = "ok"


def _status(system: PlatformSystem, host: str, key: str = API_KEY) -> int:
    return system.send_request(_PATH, host=host, key=key)[1]


@given("three entries, and versions of the configuration that the log's copy lacks")
def step_versions_lost(context: Any) -> None:
    system = _start(context)
    context.copy = system.store.copy()


@when("the log is restored {when} and a version that {change} is published")
def step_restored_and_published(context: Any, when: str, change: str) -> None:
    system = context.system
    store = system.store
    # Routes that are removed, moved or lose their key must exist first.
    exists = change != "adds a route"
    frozen = system.entry_processes[1] if "frozen" in when else None
    for _ in range(2):
        _publish(system) if exists else system.publish_configuration()
    newest = system._configuration_version
    wait_until(lambda: _versions(system) == [newest] * 3, "the versions are in force")
    if frozen is not None:
        frozen.signal(signal.SIGSTOP)
        context.cleanup.callback(frozen.signal, signal.SIGCONT)
    if when == "twice within 3 s":
        _restore(context, lambda: _publish(system) if exists else None)
        time.sleep(_SECOND_RESTORE_AFTER_S)

    def write() -> None:
        _publish(system, change)
        for _ in range(_RECORDS_BEHIND):
            store.put(_OP_TOPIC, "note", b"{}")

    context.change = change
    _restore(context, write, "silent" if "silent" in when else "reset")
    if frozen is not None:
        frozen.signal(signal.SIGCONT)


@then("within {seconds:d} s that version is in force at all entries")
def step_in_force(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    got = [_status(context.system, host) for host in context.system.hosts]
    assert all(each in _affected(context.change) for each in got), got


@given("three entries, and a runner that is {state} since the log's copy")
def step_runner_leaves(context: Any, state: str) -> None:
    system = _start(context)
    context.copy = system.store.copy()
    runner = system.runners[2]
    if state == "draining":
        system.register_runner(runner, state="draining")
        known = "runner:leaving"
    else:
        system.store.put(_RUNNERS_TOPIC, runner.runner_id, b"")
        known = "runner:gone"
    wait_until(lambda: _all_log(system, known), "the entries know that it leaves")
    context.runner = runner


def _all_log(system: PlatformSystem, kind: str) -> bool:
    return all(
        any(line.get("message_type") == kind for line in system.log_lines(number))
        for number in range(len(system.hosts))
    )


@when("the log is restored once, and the runners are silent for {seconds:d} s")
def step_silent(context: Any, seconds: int) -> None:
    system = context.system
    _restore(context)
    context.before = len(system.fleet.arrivals_by_runner[context.runner.runner_id])
    until = time.monotonic() + seconds
    with ThreadPoolExecutor(_CALLERS) as pool:
        callers = [
            pool.submit(_ask_until, system, system.hosts[number % 3], until)
            for number in range(_CALLERS)
        ]
    context.statuses = {status for caller in callers for status in caller.result()}


def _ask_until(system: PlatformSystem, host: str, until: float) -> set[int]:
    statuses = set()
    while time.monotonic() < until:
        statuses.add(system.send_request("/stream/whole", host=host)[1])
    return statuses


@then("no request has reached that runner")
def step_not_reached(context: Any) -> None:
    arrivals = context.system.fleet.arrivals_by_runner[context.runner.runner_id]
    assert len(arrivals) == context.before, len(arrivals) - context.before
    assert context.statuses == {200}, context.statuses


@given("three entries, and a version that {change} that the log's copy lacks")
def step_version_lost(context: Any, change: str) -> None:
    system = _start(context)
    context.change = change
    if change != "adds a route":
        _publish(system)
    context.copy = system.store.copy()
    _publish(system, change)
    context.lost = system.store.copy()[_OP_TOPIC][-1]
    newest = system._configuration_version
    wait_until(lambda: _versions(system) == [newest] * 3, "the version is in force")


@when("the log is restored once and entry 3 is restarted")
def step_restored_and_restarted(context: Any) -> None:
    system = context.system
    system.entry_processes[2].kill()
    _restore(context)
    system.entry_processes[2] = system.start_entry(system.hosts[2], add=False)


@then("entry 3 refuses the affected request only as not run, until the version is back")
def step_refused_as_not_run(context: Any) -> None:
    system, host = context.system, context.system.hosts[2]
    statuses = []
    until = time.monotonic() + _START_S
    while time.monotonic() < until:
        try:
            statuses.append(_status(system, host))
        except OSError:
            pass  # it does not listen yet
        time.sleep(_ASK_PERIOD_S)
    assert set(statuses) == {503}, set(statuses)
    others = {_status(system, each) for each in system.hosts[:2]}
    assert others <= set(_affected(context.change)), others
    system.store.put(_OP_TOPIC, *context.lost)
    wait_until(
        lambda: _status(system, host) in _affected(context.change),
        "entry 3 has the version",
    )


@given("three entries, and a quarantine and addresses that the log's copy lacks")
def step_own_records_lost(context: Any) -> None:
    system = _start(context)
    context.addresses = system.store.newest_keys(_ENTRIES_TOPIC)
    context.copy = system.store.copy() | {_ENTRIES_TOPIC: []}
    _quarantine(system)
    wait_until(lambda: _all_log(system, "request:quarantined"), "it is known")


def _quarantine(system: PlatformSystem) -> None:
    value = msgspec.msgpack.encode(time.time() + 600.0)
    system.store.put(_QUARANTINE_TOPIC, _FINGERPRINT, value)


@when("the log is restored once")
def step_restored(context: Any) -> None:
    _restore(context)


@then("within {seconds:d} s the log holds the quarantine and the addresses again")
def step_written_again(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    store = context.system.store
    assert store.newest_keys(_QUARANTINE_TOPIC) == {_FINGERPRINT}
    assert store.newest_keys(_ENTRIES_TOPIC) == context.addresses


@given("three entries, and a quarantine that was removed since the log's copy")
def step_quarantine_removed(context: Any) -> None:
    system = _start(context)
    _quarantine(system)
    wait_until(lambda: _all_log(system, "request:quarantined"), "it is known")
    context.copy = system.store.copy()
    system.store.put(_QUARANTINE_TOPIC, _FINGERPRINT, b"")
    wait_until(lambda: _all_log(system, "crashes:cleared"), "the removal is known")


@then(
    "within {seconds:d} s the log lacks the quarantine, and no entry holds its request"
)
def step_still_removed(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    system = context.system
    assert not system.store.newest_keys(_QUARANTINE_TOPIC)
    for host in system.hosts:
        assert "direct_quarantined 0" in system.metrics(host).replace("{}", "")
