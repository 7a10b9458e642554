"""Steps for records that other programs write and that are out of bounds."""

from __future__ import annotations

import json
import math
import socket
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec
from behave import given, then, when

from corianderrelay.transport.http_client import HttpResponse
from corianderrelay.transport.instance_list_http import _decode_instances

from tests.standins.platform_runner import PlatformRunner
from tests.waiting import wait_until

_DEPTH = 100_000
_DEEP_JSON = b"[" * _DEPTH + b"]" * _DEPTH
_DEEP_MSGPACK = b"\x91" * _DEPTH + b"\x90"
_KINDS = 20
_PEERS_PORT = 7340
_CALLERS = 18  # as many as the three runners that stay serve at once
_SOUND = {
    "Service": "kit",
    "Addr": "127.0.0.1:9",
    "Zone": "oslo-a",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "born": 1,
}
_TOPICS = {
    "keyed.servers": "runner:malformed",
    "keyed.entries": "entry:malformed",
    "keyed.quarantine": "quarantine:malformed",
}


def _odd_json(sound: dict[str, Any], port: str, number: str) -> Iterator[bytes]:
    """Yield records of which one field is odd, or that are none at all."""
    for value in (b"0", b"99999", b"-1", b"1" + b"0" * 400, b'"x"', b"null"):
        yield _with(sound, port, value)
    for value in (b"-1", b"1" + b"0" * 30, b"1" + b"0" * 400, b"1e400", b"true", b"{}"):
        yield _with(sound, number, value)
    yield json.dumps(sound).encode()[:-1] + b',"more":' + _DEEP_JSON + b"}"
    yield _DEEP_JSON
    yield b"[" * _DEPTH
    yield b'{"more":' * _DEPTH
    yield b"\xff\xfe"
    yield b'{"Service": "\xff"}'
    yield b"NaN"
    yield b"{}"


def _with(sound: dict[str, Any], field: str, value: bytes) -> bytes:
    if field == "Addr":
        value = b'"127.0.0.1:' + value.replace(b'"', b"") + b'"'
    marked = json.dumps(sound | {field: "?"}).encode()
    return marked.replace(b'"?"', value)


def _odd_msgpack() -> Iterator[bytes]:
    values: tuple[Any, ...] = (
        math.inf,
        -math.inf,
        math.nan,
        -1.0,
        1e300,
        "x",
        None,
        {},
        [],
        2**63,
    )
    for odd in values:
        yield msgspec.msgpack.encode(odd)
    for port in (0, -1, 65_536, 99_999, 2**63):
        yield msgspec.msgpack.encode(("127.0.0.1", port))
    for host in ("999.1.1.1", "a b", ""):
        yield msgspec.msgpack.encode((host, 7340))
    yield _DEEP_MSGPACK
    yield b"\xc1"


@given("{count:d} odd records in each topic that entries read")
def step_odd_records(context: Any, count: int) -> None:
    store = context.system.store
    odd_runners = list(_odd_json(_SOUND, "Addr", "Slots"))
    assert len(odd_runners) == len(list(_odd_msgpack())) == count == _KINDS
    for number, record in enumerate(odd_runners):
        store.put("keyed.servers", f"odd-{number}", record)
        store.put("keyed.op", f"odd-{number}", record)
        store.put("keyed.op", "config", record)
    store.put("keyed.op", "config", json.dumps({"Version": 10**30}).encode())
    # A sound record under an id that cannot be sent in a header.
    store.put("keyed.servers", "odd\r\nid", json.dumps(_SOUND).encode())
    for number, record in enumerate(_odd_msgpack()):
        store.put("keyed.entries", f"odd-{number}", record)
        store.put("keyed.quarantine", f"{number:032x}", record)


@when("a runner is added, another reports that it leaves, and a route is added")
def step_neighbours(context: Any) -> None:
    system = context.system
    context.leaving = system.runners[0]
    system.register_runner(context.leaving, state="draining")
    context.new = PlatformRunner("i-new", system.fleet)
    context.feature_cleanup.callback(context.new.close)
    system.register_runner(context.new)
    system.publish_configuration(added={"Attempts": 1})


@then(
    "within {seconds:d} s both entries use the new runner and route, and not the one "
    "that leaves"
)
def step_used_soon(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    step_used(context)


@then("both entries use the new runner and route, and not the one that leaves")
def step_used(context: Any) -> None:
    system = context.system
    for host in system.hosts:
        assert system.send_request("/added/whole", host=host)[1] == 200
        usable = 'direct_usable_runners{service="kit"} 3'
        wait_until(lambda: usable in system.metrics(host), "three runners are usable")
        log = system.log_lines(system.hosts.index(host))
        known = {line.get("runner") for line in log}
        assert context.new.runner_id in known, known
    leaving = context.leaving.runner_id
    before = len(system.fleet.arrivals_by_runner[leaving])
    answers = [system.send_request("/stock/whole")[1] for _ in range(_CALLERS)]
    assert answers == [200] * _CALLERS, answers
    assert len(system.fleet.arrivals_by_runner[leaving]) == before


@then("no entry has ended, and each logs each odd record at most once")
def step_not_ended(context: Any) -> None:
    system = context.system
    for number, host in enumerate(system.hosts):
        assert system.ready(host), system.log_lines(number)[-12:]
    for number in range(len(system.hosts)):
        lines = system.log_lines(number)
        assert not [
            line for line in lines if line.get("message_type") == "dependency:lost"
        ]
        for kind in ("runner:malformed", "quarantine:malformed"):
            field = "runner" if kind.startswith("runner") else "fingerprint"
            logged = Counter(
                line[field] for line in lines if line["message_type"] == kind
            )
            assert len(logged) >= _KINDS - 2, (kind, len(logged))
            assert set(logged.values()) == {1}, logged


@when("the entries are started again")
def step_started_again(context: Any) -> None:
    system = context.system
    for process in system.entry_processes:
        process.kill()
    system.entry_processes.clear()
    for host in system.hosts:
        system.start_entry(host)
    wait_until(lambda: all(map(system.ready, system.hosts)), "the entries are ready")


@when("odd datagrams arrive at entry {number:d}")
def step_odd_datagrams(context: Any, number: int) -> None:
    target = (context.system.hosts[number - 1], _PEERS_PORT)
    update = ["odd", 1, 1, "127.0.0.1:1", "127.0.0.1", 1, False, {}, {}, {}]
    odd: list[bytes] = []
    for port in (0, -1, 70_000, 2**63):
        odd.append(msgspec.msgpack.encode(update[:5] + [port] + update[6:]))
    odd += [msgspec.msgpack.encode(["odd", 2**63] + update[2:])]
    odd += [msgspec.msgpack.encode(["odd", 1, 1, "", "999.0.0.1", 1] + update[6:])]
    odd += [kind + _DEEP_MSGPACK[:50_000] for kind in (b"", b"\xc1q", b"\xc1a")]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in odd:
            sender.sendto(datagram, target)
    time.sleep(2.0)


@then("both entries list each other, and entry {number:d} logs the faults")
def step_still_listed(context: Any, number: int) -> None:
    system = context.system
    assert all(len(system.resolve(host)["Addrs"]) == 2 for host in system.hosts)
    kinds = Counter(line["message_type"] for line in system.log_lines(number - 1))
    assert kinds["entry:datagram_malformed"] >= 6, kinds


@given("a list of instances, each of {count:d} odd ones between two sound ones")
def step_odd_instances(context: Any, count: int) -> None:
    sound = {
        "role": "agent",
        "zone": "z",
        "host": "10.0.0.1",
        "port": 1,
        "state": "live",
    }
    records = []
    context.sound_ids = set()
    odd_sound = sound | {"instance_id": "odd"}
    # A list that cannot be split at all is unreadable as a whole.
    odd = [
        record
        for record in _odd_json(odd_sound, "port", "port")
        if record.count(b"[") == record.count(b"]")
        and record.count(b"{") == record.count(b"}")
        and b"\xff" not in record
    ]
    for number, record in enumerate(odd):
        context.sound_ids.add(f"a-{number}")
        records += [json.dumps(sound | {"instance_id": f"a-{number}"}).encode(), record]
    body = b'{"instances": [' + b", ".join(records) + b"]}"
    context.instances = _decode_instances(HttpResponse(200, {}, body))


@then("all sound ones are read, and no odd one")
def step_sound_read(context: Any) -> None:
    assert set(context.instances) == context.sound_ids, set(context.instances)
