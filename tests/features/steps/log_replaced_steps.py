"""Steps for logs that are replaced, lag, or hold configurations that cannot be read."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from behave import given, then, when

from demo.system import temporary_folder
from tests.harness.platform_system import API_KEY, PlatformSystem
from tests.waiting import wait_until

_REVOKE_MS = 5000
_AWAY_S = 0.4
_LAG_S = 3.0
_TOPIC = "keyed.op"
_RUNNERS_TOPIC = "keyed.servers"
_QUARANTINE_TOPIC = "keyed.quarantine"
_FINGERPRINT = "e" * 32
_NEW_KEY = "another-key"
_OTHER_KEY = "key-of-another-workspace"
_ADDED = {"Kind": "safe", "Attempts": 1}
_BEHIND = 3  # records behind the old end of the log
_READ_S = 1.5  # entries read the runners' reports every 1.2 s
_ALL_NEWEST = "/api/log-newest"
_UNAVAILABLE = 503

Edit = Callable[[dict[str, Any]], object]


@given("three entries")
def step_entries(context: Any) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.system = PlatformSystem(Path(folder), entries=3, revoke_ms=_REVOKE_MS)
    context.cleanup.callback(context.system.close)
    context.system.start()
    context.unreadable = None


@given("three entries, and versions that the log's copy lacks")
def step_versions_lost(context: Any) -> None:
    step_entries(context)
    system = context.system
    context.copy = system.store.copy()
    for _ in range(2):
        system.publish_configuration()
    _wait_in_force(system)


def _start_without_era(context: Any) -> PlatformSystem:
    step_entries(context)
    system: PlatformSystem = context.system
    _restart_with(context, lambda: setattr(system.store, "era", None))
    context.copy = system.store.copy()
    return system


def _wait_in_force(system: PlatformSystem) -> None:
    newest = f"direct_config_version {system._configuration_version}"
    wait_until(
        lambda: all(newest in _metrics(system, host) for host in system.hosts),
        "the newest version is in force",
    )


def _metrics(system: PlatformSystem, host: str) -> str:
    return system.metrics(host).replace("{}", "")


def _publish_new(system: PlatformSystem, edit: Edit = lambda document: None) -> None:
    """Publish a version that takes the key away and adds a route."""
    system.publish_configuration(keys=(_NEW_KEY,), edit=edit, added=dict(_ADDED))


def _restore(context: Any, write: Callable[[], object]) -> None:
    """Restore the copy; ``write`` adds records before any entry can read."""
    store = context.system.store
    store.mode = "reset"
    store.restore(context.copy)
    write()
    time.sleep(_AWAY_S)
    store.mode = "ok"
    context.calm_at = time.monotonic()


@when(
    "the log is restored, states its era {stated}, and is {length} again with a new "
    "version"
)
def step_restored(context: Any, stated: str, length: str) -> None:
    system = context.system
    store = system.store
    old_end = store.end(_TOPIC)
    # What is stated differently must be so from the start.
    if stated == "under another name":
        _restart_with(context, lambda: setattr(store, "era_header", "X-Other-Era"))
    elif stated == "not at all":
        _restart_with(context, lambda: setattr(store, "era", None))
    elif stated == "only with all newest records":
        store.era_paths = {_ALL_NEWEST}
    else:
        assert stated == "3 s late", stated
        store.era_delay_s = 3.0

    def write() -> None:
        _publish_new(system)
        wanted = {"shorter": 0, "as long": old_end, "longer": old_end + _BEHIND}[length]
        while store.end(_TOPIC) < wanted:
            store.put(_TOPIC, "note", b"{}")

    _restore(context, write)


def _restart_with(context: Any, change: Callable[[], object]) -> None:
    system = context.system
    for process in system.entry_processes:
        process.kill()
    system.entry_processes.clear()
    change()
    for host in system.hosts:
        system.start_entry(host)
    wait_until(lambda: all(map(system.ready, system.hosts)), "the entries are ready")


@when("a version is published in which {part} cannot be read")
def step_part(context: Any, part: str) -> None:
    context.unreadable = _UNREADABLE[part][1]
    edit = _UNREADABLE[part][0]
    _publish_new(context.system, edit)
    context.calm_at = time.monotonic()


def _route(document: dict[str, Any], name: str) -> dict[str, Any]:
    return next(each for each in document["Routes"] if each["Name"] == name)


def _set_route(field: str, value: object) -> Edit:
    return lambda document: _route(document, "open").update({field: value})


def _without_prefix(document: dict[str, Any]) -> None:
    del _route(document, "open")["PathPrefix"]


def _null_route(document: dict[str, Any]) -> None:
    routes = document["Routes"]
    routes[routes.index(_route(document, "open"))] = None


def _add_workspace(workspace: object) -> Edit:
    return lambda document: document["Tenants"].append(workspace)


_OPEN = "/open/whole", _NEW_KEY
_KEY = "/stock/whole", _OTHER_KEY
_UNREADABLE: dict[str, tuple[Edit, tuple[str, str] | None]] = {
    "the Split of a route": (_set_route("Split", None), None),
    "the ApiKeys of a workspace": (
        _add_workspace({"Name": "other", "ApiKeys": None}),
        None,
    ),
    "the Kind of a route": (_set_route("Kind", "later"), _OPEN),
    "the Attempts of a route": (_set_route("Attempts", "some"), _OPEN),
    "the PathPrefix of a route": (_without_prefix, _OPEN),
    "a whole route": (_null_route, _OPEN),
    "a whole workspace": (_add_workspace(7), _KEY),
    "an API key": (
        _add_workspace({"Name": "other", "ApiKeys": [7]}),
        _KEY,
    ),
}


@then("within {seconds:g} s each entry has the new version in force or answers 503")
def step_in_force(context: Any, seconds: float) -> None:
    time.sleep(max(context.calm_at + seconds - time.monotonic(), 0.0))
    for host in context.system.hosts:
        gone, added = _statuses(context.system, host)
        assert gone in (401, _UNAVAILABLE), (host, gone)
        assert added in (200, _UNAVAILABLE), (host, added)


def _statuses(system: PlatformSystem, host: str) -> tuple[int, int]:
    """Return the answers to the key that is gone and on the route that was added."""
    gone = system.send_request("/stock/whole", host=host, key=API_KEY)[1]
    added = system.send_request("/added/whole", host=host, key=_NEW_KEY)[1]
    return gone, added


@then("each entry has it in force in the end")
def step_in_the_end(context: Any) -> None:
    system = context.system
    for host in system.hosts:
        wait_until(
            lambda: _statuses(system, host) in ((401, 200), (_UNAVAILABLE, 200)),
            "the new version is in force",
        )


@then("each entry refuses {refused} as not run, and logs the version once")
def step_refused(context: Any, refused: str) -> None:
    system = context.system
    assert (refused == "nothing") == (context.unreadable is None)
    for number, host in enumerate(system.hosts):
        lines = system.log_lines(number)
        logged = [each["message_type"] for each in lines].count("config:unreadable")
        assert logged == (context.unreadable is not None), (host, logged)
        if context.unreadable is not None:
            path, key = context.unreadable
            assert system.send_request(path, host=host, key=key)[1] == _UNAVAILABLE


@when("a version is published that cannot be read at all")
def step_unreadable(context: Any) -> None:
    context.system.store.put(_TOPIC, "config", b'{"Version": "none", "Routes": 7}')
    context.calm_at = time.monotonic()


@then("within {seconds:g} s each entry answers 503 for unknown routes and unknown keys")
def step_no_final_refusal(context: Any, seconds: float) -> None:
    system = context.system
    time.sleep(seconds)
    for host in system.hosts:
        assert system.send_request("/added/whole", host=host)[1] == _UNAVAILABLE
        unknown = system.send_request("/stock/whole", host=host, key=_NEW_KEY)
        assert unknown[1] == _UNAVAILABLE


@then(
    "within {seconds:g} s each entry answers 503 for all requests with a key, and says "
    "why"
)
def step_keys_refused(context: Any, seconds: float) -> None:
    system = context.system
    time.sleep(max(context.calm_at + seconds - time.monotonic(), 0.0))
    for number, host in enumerate(system.hosts):
        assert system.send_request("/stock/whole", host=host)[1] == _UNAVAILABLE
        kinds = [each["message_type"] for each in system.log_lines(number)]
        assert kinds.count("config:unreadable") == 1, kinds
        assert "direct_config_unreadable 1" in _metrics(system, host)


@then("each entry serves them again after the version before is written again")
def step_served_again(context: Any) -> None:
    system = context.system
    documents = [value for key, value in system.store.copy()[_TOPIC] if key == "config"]
    system.store.put(_TOPIC, "config", documents[-2])
    for host in system.hosts:
        wait_until(
            lambda: system.send_request("/stock/whole", host=host)[1] == 200
            and "direct_config_unreadable 0" in _metrics(system, host),
            "the version is confirmed again",
        )


@when("the log is restored, and a new version gets {number}")
def step_number_again(context: Any, number: str) -> None:
    system = context.system
    below = 0 if number == "the number of a lost version" else 3

    def renumber(document: dict[str, Any]) -> None:
        document["Version"] -= 7 + below  # versions increase by 7

    _restore(context, lambda: _publish_new(system, renumber))


@given("three entries that {know}, no era, and versions that the copy lacks")
def step_know(context: Any, know: str) -> None:
    system = _start_without_era(context)
    context.read_all = know == "have read all of them"
    for _ in range(2):
        system.publish_configuration()
    _wait_in_force(system)
    if not context.read_all:
        _restart_with(context, lambda: None)
    _publish_new(system)
    _wait_in_force(system)


@when("the log is restored, and the lost versions are written again")
def step_written_again(context: Any) -> None:
    store = context.system.store
    lost = store.copy()[_TOPIC][len(context.copy[_TOPIC]) :]
    context.statuses = set()
    _restore(context, lambda: None)
    for record in lost:
        _record_statuses(context, 0.8)
        store.put(_TOPIC, *record)
    _record_statuses(context, 2.5)


def _record_statuses(context: Any, seconds: float) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for host in context.system.hosts:
            context.statuses.add(_statuses(context.system, host))


@then("no entry ever uses an older version, nor answers 503 if it read all")
def step_never_older(context: Any) -> None:
    allowed = {(401, 200), (_UNAVAILABLE, 200)}
    if not context.read_all:
        allowed.add((_UNAVAILABLE, _UNAVAILABLE))
    assert context.statuses <= allowed, context.statuses


@when(
    "a version is written, the history is dropped, and for {seconds:g} s the newest "
    "records lag"
)
def step_lag(context: Any, seconds: float) -> None:
    system = context.system
    store = system.store
    context.copy = store.copy()

    def write() -> None:
        _publish_new(system)
        store.drop_superseded_records(_TOPIC)
        store.newest_lack[_TOPIC] = 1

    _restore(context, write)
    caught_up = threading.Timer(seconds, store.newest_lack.clear)
    caught_up.daemon = True
    caught_up.start()


@given("three entries, and reports of runners that the log's copy lacks")
def step_reports_lost(context: Any) -> None:
    system = _start_without_era(context)
    for _ in range(_BEHIND):
        for runner in system.runners:
            system.register_runner(runner)
    time.sleep(_READ_S)


@when(
    "the log is restored without an era, a runner leaves, and the others go on writing"
)
def step_runner_leaves(context: Any) -> None:
    system = context.system
    context.leaving = system.runners[2]
    old_end = system.store.end(_RUNNERS_TOPIC)

    def write() -> None:
        system.register_runner(context.leaving, state="draining")
        while system.store.end(_RUNNERS_TOPIC) < old_end + _BEHIND:
            for runner in system.runners[:2]:
                system.register_runner(runner)

    _restore(context, write)


@given("three entries, and a quarantine that the log's copy lacks")
def step_quarantine_lost(context: Any) -> None:
    system = _start_without_era(context)
    value = msgspec.msgpack.encode(time.time() + 600.0)
    system.store.put(_QUARANTINE_TOPIC, _FINGERPRINT, value)
    wait_until(
        lambda: all(
            "direct_quarantined 1" in _metrics(system, host) for host in system.hosts
        ),
        "the entries know the quarantine",
    )


@when("the log is restored without an era, and others write quarantines")
def step_others_write(context: Any) -> None:
    system = context.system

    def write() -> None:
        for number in range(_BEHIND):
            system.store.put(_QUARANTINE_TOPIC, f"{number:032x}", b"")

    _restore(context, write)


@then("within {seconds:g} s no request reaches the leaving runner any more")
def step_not_reached(context: Any, seconds: float) -> None:
    system = context.system
    time.sleep(max(context.calm_at + seconds - time.monotonic(), 0.0))
    arrivals = system.fleet.arrivals_by_runner[context.leaving.runner_id]
    before = len(arrivals)
    for _ in range(8):
        for host in system.hosts:
            system.send_request("/stock/whole", host=host)
    assert len(arrivals) == before, len(arrivals) - before


@then("within {seconds:g} s the log holds the quarantine again")
def step_quarantine_again(context: Any, seconds: float) -> None:
    wait_until(
        lambda: _FINGERPRINT in context.system.store.newest_keys(_QUARANTINE_TOPIC),
        "the quarantine is written again",
    )
    assert time.monotonic() <= context.calm_at + seconds


@when("the log states its era only with all newest records, and a version is published")
def step_era_sometimes(context: Any) -> None:
    context.system.store.era_paths = {_ALL_NEWEST}
    time.sleep(_LAG_S)
    _publish_new(context.system)
    context.calm_at = time.monotonic()
