"""Steps for entry processes that serve callers over the platform's interfaces."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import then, when

from tests.harness.platform_system import API_KEY, HOST, WORKSPACE
from tests.standins.platform_runner import whole_stream
from tests.waiting import wait_until

_BODIES = {
    "the whole body": b"body",
    "nothing": b"",
    "the error": b"no",
    "all events": whole_stream(),
}
_LOG_BUCKET_REFILL_S = 3.2  # the log's token bucket refills within three seconds
_LARGE_BODY_BYTES = 1_000_000
_SLOW_READ_BYTES = 20_000
_KEYS = {"no key": None, "an unknown key": "unknown", "its key": API_KEY}


@when("a caller asks for {path:S}")
def step_ask(context: Any, path: str) -> None:
    try:
        context.answer = context.system.send_request(path)
    except (http.client.IncompleteRead, urllib.error.URLError) as error:
        context.error = error


@when("a caller asks for {path:S} with {key}")
def step_ask_with(context: Any, path: str, key: str) -> None:
    headers = {}
    if key.endswith(", claiming another workspace"):
        key = key.partition(",")[0]
        headers = {"Corianderrelay_Tenant": "somebody-else"}
    context.answer = context.system.send_request(path, key=_KEYS[key], **headers)


@then("it gets {status:d} and {body}")
def step_gets(context: Any, status: int, body: str) -> None:
    _, got, headers, answer = context.answer
    assert (got, answer) == (status, _BODIES[body]), (got, answer)
    assert "retry-after" not in headers


@then("it gets {status:d} with Retry-After and {body}")
def step_gets_retry_after(context: Any, status: int, body: str) -> None:
    _, got, headers, answer = context.answer
    assert (got, answer) == (status, _BODIES[body]), (got, answer)
    assert float(headers["retry-after"]) > 0


@then("the request ran {runs:d} times")
def step_ran(context: Any, runs: int) -> None:
    ran = context.system.fleet.run_count(context.answer[0])
    assert ran == runs, ran


@then("its connection is cut after event {last:d}")
def step_cut(context: Any, last: int) -> None:
    assert isinstance(context.error, http.client.IncompleteRead), context.error
    events = whole_stream().split(b"\n\n")[:last]
    assert context.error.partial == b"".join(event + b"\n\n" for event in events)


@when("{count:d} callers ask for {first:S} and {second:S} alternately")
def step_alternately(context: Any, count: int, first: str, second: str) -> None:
    paths = [first, second] * (count // 2)
    context.answers = [context.system.send_request(path) for path in paths]


@then("each gets the whole body")
def step_each(context: Any) -> None:
    assert {answer[1:4:2] for answer in context.answers} == {(200, b"body")}


@then("each of their requests ran once")
def step_each_once(context: Any) -> None:
    fleet = context.system.fleet
    assert all(fleet.run_count(request_id) == 1 for request_id, *_ in context.answers)


def _runner_headers(context: Any) -> dict[str, str]:
    request_id = context.answer[0]
    runs = context.system.fleet.runs
    return next(headers for _, run_id, headers in runs if run_id == request_id)


@then("the runner received no workspace and no key")
def step_no_workspace(context: Any) -> None:
    assert "corianderrelay-tenant" not in _runner_headers(context)
    assert "authorization" not in _runner_headers(context)


@then("the runner received the caller's workspace and no key")
def step_workspace(context: Any) -> None:
    assert _runner_headers(context)["corianderrelay-tenant"] == WORKSPACE
    assert "authorization" not in _runner_headers(context)


@then("the runner received the remaining time")
def step_remaining_time(context: Any) -> None:
    assert 0 < int(_runner_headers(context)["corianderrelay-deadline-ms"]) <= 1500


def _request_bytes(name: str) -> bytes:
    head = f"POST /stock/whole HTTP/1.1\r\nHost: {HOST}\r\n"
    head += f"Authorization: Token {API_KEY}\r\nCorianderrelay-Request-Id: b\r\n"
    nested = b"[" * 450 + b"]" * 450
    return {
        "GET / HTTP/9.9": b"GET / HTTP/9.9\r\n\r\n",
        "a request without Host": b"GET /stock/whole HTTP/1.1\r\n\r\n",
        "two lengths that differ": (
            head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
        ).encode(),
        "a body over the limit": (head + "Content-Length: 1001\r\n\r\n").encode(),
        "a chunked body over the limit": (
            head + "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        + b"3e9\r\n"
        + b"x" * 1001
        + b"\r\n0\r\n\r\n",
        "headers over the limit": (head + "X: " + "y" * 9000 + "\r\n\r\n").encode(),
        "a JSON body nested 100,000 deep": (
            head + f"Content-Length: {len(nested)}\r\n\r\n"
        ).encode()
        + nested,
    }[name]


@when("a caller sends {name}")
def step_sends(context: Any, name: str) -> None:
    with context.system.connect() as connection:
        connection.sendall(_request_bytes(name))
        context.raw = connection.recv(4096)


@then("it gets the status {status:d}, and the entry keeps serving")
def step_status(context: Any, status: int) -> None:
    assert context.raw.split()[1] == str(status).encode(), context.raw[:80]
    assert context.system.send_request("/stock/whole")[1] == 200


@when("a caller asks for {path:S} and disconnects after the first event")
def step_disconnects(context: Any, path: str) -> None:
    with context.system.connect() as connection:
        request = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
        request += f"Authorization: Token {API_KEY}\r\n"
        request += "Corianderrelay-Request-Id: leaver\r\n\r\n"
        connection.sendall(request.encode())
        connection.recv(4096)


@then("the runner's connection is closed within 0.5 s")
def step_closed(context: Any) -> None:
    # The runner's first write after the disconnect still succeeds; the second fails.
    wait_until(
        lambda: "leaver" in context.system.fleet.interrupted,
        "the runner detects the disconnect",
    )


@when("runner {number:d} registers as draining")
def step_draining(context: Any, number: int) -> None:
    context.draining_runner = context.system.runners[number]
    context.system.register_runner(context.draining_runner, "draining")


@then("within {seconds:d} s no new request reaches it")
def step_no_new_requests(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    system = context.system
    before = len(system.fleet.received)
    for number in range(24):
        assert (
            system.send_request("/stock/whole", host=system.hosts[number % 2])[1] == 200
        )
    new = {runner_id for runner_id, _ in system.fleet.received[before:]}
    assert context.draining_runner.runner_id not in new, new
    system.register_runner(context.draining_runner)


@when("malformed runner records are written")
def step_forged(context: Any) -> None:
    forged = [
        b"\xff\xfe not JSON",
        b"[]",
        b'{"Service":"kit"}',
        b'{"Service":"kit","Addr":7,"Zone":"a","Slots":6,"State":"ready"}',
        b'{"Service":"kit","Addr":"nowhere","Zone":"a","Slots":6,"State":"ready"}',
        b'{"Service":"kit","Addr":"127.0.0.1:1","Zone":"a","Slots":6,"State":"odd"}',
    ]
    for number, value in enumerate(forged):
        context.system.store.put("keyed.servers", f"forged-{number}", value)
        context.system.store.put("keyed.servers", f"i-{number % 3}", value)
    context.system.store.drop_superseded_records("keyed.servers")
    time.sleep(1.5)


@then("{count:d} requests are served as before")
def step_served(context: Any, count: int) -> None:
    answers = [context.system.send_request("/stock/whole")[1] for _ in range(count)]
    assert answers == [200] * count, answers
    kinds = [line.get("message_type") for line in context.system.log_lines()]
    assert "runner:malformed" in kinds
    for runner in context.system.runners:
        context.system.register_runner(runner)  # as runners do about once per second


@then("each entry returns the addresses of both")
def step_both(context: Any) -> None:
    system = context.system
    wanted = {f"{host}:8100" for host in system.hosts}
    wait_until(
        lambda: all(
            set(system.resolve(host).get("Addrs", [])) == wanted
            for host in system.hosts
        ),
        "each entry returns both addresses",
    )


@when("entry {number:d} gets SIGTERM while a caller streams from it")
def step_stop(context: Any, number: int) -> None:
    system = context.system
    context.stopping_entry = system.entry_processes[number - 1]
    answers: list[Any] = []
    host = system.hosts[number - 1]
    caller = threading.Thread(
        target=lambda: answers.append(system.send_request("/stream/slow", host=host))
    )
    caller.start()
    time.sleep(0.5)
    context.stopping_entry.signal(signal.SIGTERM)
    time.sleep(0.1)
    assert not system.ready(host)
    caller.join()
    context.answer = answers[0]


@then("the stream is complete and entry {number:d} exits")
def step_complete_and_exited(context: Any, number: int) -> None:
    assert context.answer[1:4:2] == (200, whole_stream())
    assert context.stopping_entry.wait() == 0


@when("entry {number:d} gets SIGTERM while a caller reads {path:S} in {seconds:g} s")
def step_stop_slow_reader(context: Any, number: int, path: str, seconds: float) -> None:
    system = context.system
    context.stopping_entry = system.entry_processes[number - 1]
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    caller.settimeout(5.0)
    caller.connect((system.hosts[number - 1], 8100))
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
    head += f"Authorization: Token {API_KEY}\r\nCorianderrelay-Request-Id: slow\r\n"
    caller.sendall(f"{head}\r\n".encode())
    time.sleep(0.3)
    context.stopping_entry.signal(signal.SIGTERM)
    received = bytearray()
    try:
        while data := caller.recv(_SLOW_READ_BYTES):
            received += data
            if len(received.partition(b"\r\n\r\n")[2]) >= _LARGE_BODY_BYTES:
                break
            time.sleep(seconds * len(data) / _LARGE_BODY_BYTES)
    except OSError:
        pass  # the answer was cut off; its length tells
    caller.close()
    context.received = bytes(received)


@then("it gets all bytes of the large body and the entry exits")
def step_large_body(context: Any) -> None:
    _, _, body = context.received.partition(b"\r\n\r\n")
    assert len(body) == _LARGE_BODY_BYTES, len(body)
    assert context.stopping_entry.wait() == 0


@then("entry {number:d} returns only its own address")
def step_only_itself(context: Any, number: int) -> None:
    system = context.system
    host = system.hosts[number - 1]
    wait_until(
        lambda: system.resolve(host)["Addrs"] == [f"{host}:8100"],
        "the entry returns only its own address",
    )


@when("entry {number:d} is restarted")
def step_restart(context: Any, number: int) -> None:
    system = context.system
    host = system.hosts[number - 1]
    system.start_entry(host)
    system.entry_processes[number - 1] = system.entry_processes.pop()
    wait_until(lambda: system.ready(host), "the entry is ready")


@when("a configuration that cannot be decoded is published")
def step_bad_config(context: Any) -> None:
    context.system.store.put("keyed.op", "config", b'{"Version": 999, "Routes": 7}')


@then("the entries log the fault with a remedy, and keep serving")
def step_malformed_logged(context: Any) -> None:
    def logged(number: int) -> bool:
        lines = context.system.log_lines(number)
        kinds = {line.get("message_type"): line for line in lines}
        return "remedy" in kinds.get("config:unreadable", {})

    wait_until(lambda: logged(0) and logged(1), "both entries log the fault")
    assert context.system.send_request("/stock/whole")[1] == 200


@when("a route {prefix:S} is published and superseded records are dropped")
def step_added(context: Any, prefix: str) -> None:
    context.system.publish_configuration(added={"Attempts": 1})
    context.system.store.drop_superseded_records("keyed.op")
    context.system.store.drop_superseded_records("keyed.servers")


@then("within {seconds:d} s {path:S} is served by both entries")
def step_added_served(context: Any, seconds: int, path: str) -> None:
    time.sleep(seconds)
    statuses = [
        context.system.send_request(path, host=host)[1] for host in context.system.hosts
    ]
    assert statuses == [200, 200], statuses


@when("the store stops answering")
def step_store_unavailable(context: Any) -> None:
    context.system.store.mode = "silent"


@then(
    "within {seconds:f} s the entries are not ready, "
    "and answer keyed requests with 503 and Retry-After"
)
def step_keys_untrusted(context: Any, seconds: float) -> None:
    time.sleep(seconds)
    system = context.system
    for host in system.hosts:
        assert not system.ready(host)
        _, status, headers, _ = system.send_request("/orders/whole", host=host)
        assert status == 503 and float(headers["retry-after"]) > 0


@then("a public route is served")
def step_public(context: Any) -> None:
    assert context.system.send_request("/open/whole", key=None)[1] == 200


@when("the store answers again")
def step_answers(context: Any) -> None:
    context.system.store.mode = "ok"


@then("the entries are ready again")
def step_ready_again(context: Any) -> None:
    system = context.system
    wait_until(lambda: all(map(system.ready, system.hosts)), "the entries are ready")


@when("the caller's key is revoked")
def step_revoke(context: Any) -> None:
    context.system.publish_configuration(keys=("another-key",))


@when("the caller's key is restored")
def step_restore_key(context: Any) -> None:
    context.system.publish_configuration()


@then("within {seconds:d} s its requests get {status:d}")
def step_requests_get(context: Any, seconds: int, status: int) -> None:
    time.sleep(seconds)
    for host in context.system.hosts:
        got = context.system.send_request("/orders/whole", host=host)[1]
        assert got == status, got


_ERROR_PATHS = (
    "/orders/lost",
    "/orders/reset",
    "/orders/garbage",
    "/orders/error",
    "/orders/busy",
    "/orders/unsigned",
    "/orders/cut",
    "/orders/unframed-reset",
    "/orders/hang",
    "/orders/reject",
    "/orders/misdirected",
    "/nowhere/x",
)
_MALFORMED_REQUESTS = (
    "GET / HTTP/9.9",
    "a request without Host",
    "two lengths that differ",
    "a body over the limit",
    "headers over the limit",
)


@when("callers get every kind of error answer")
def step_error_answers(context: Any) -> None:
    system = context.system
    context.malformed_before = len(_log_lines(context, "request:malformed"))
    context.answers = [system.send_request(path) for path in _ERROR_PATHS]
    context.answers += [
        system.send_request("/orders/x", key=key) for key in (None, "unknown")
    ]
    assert all(answer[1] >= 400 for answer in context.answers), context.answers
    for name in _MALFORMED_REQUESTS:
        with system.connect() as connection:
            connection.sendall(_request_bytes(name))
            assert connection.recv(4096).split()[1] >= b"400", name


def _log_lines(context: Any, kind: str) -> list[dict[str, Any]]:
    lines = context.system.log_lines()
    return [line for line in lines if line.get("message_type") == kind]


@then("the log has one line for each, with its status and a reason")
def step_one_line_each(context: Any) -> None:
    ended = _log_lines(context, "request:ended")
    for request_id, status, _, _ in context.answers:
        lines = [line for line in ended if line["request"] == request_id]
        assert [line["status"] for line in lines] == [status], (request_id, lines)
        assert lines[0]["reason"], lines


@then("malformed requests have one line each")
def step_malformed_log_lines(context: Any) -> None:
    malformed = _log_lines(context, "request:malformed")[context.malformed_before :]
    assert len(malformed) == len(_MALFORMED_REQUESTS), malformed
    assert all(line["status"] >= 400 and line["reason"] for line in malformed)


@when("{count:d} requests with an unknown key arrive at once")
def step_flood(context: Any, count: int) -> None:
    time.sleep(_LOG_BUCKET_REFILL_S)
    context.lines_before = _count_logged_and_omitted(context)
    context.flood_began = time.monotonic()
    with ThreadPoolExecutor(8) as pool:
        list(
            pool.map(
                lambda _: context.system.send_request("/x/x", key="u"), range(count)
            )
        )
    context.flood_s = time.monotonic() - context.flood_began


def _count_logged_and_omitted(context: Any) -> tuple[int, int]:
    lines = _log_lines(context, "request:ended")
    return len(lines), sum(line.get("left_out", 0) for line in lines)


@then("the log has at most {burst:d} lines for them, plus {rate:d} per second")
def step_lines_bounded(context: Any, burst: int, rate: int) -> None:
    lines = _count_logged_and_omitted(context)[0] - context.lines_before[0]
    assert lines <= burst + rate * (context.flood_s + 1.0), (lines, context.flood_s)


@then(
    "logged and omitted lines add up to {count:d}, "
    "with the request sent {later:g} s later"
)
def step_omitted_log_lines(context: Any, count: int, later: float) -> None:
    time.sleep(later)
    context.system.send_request("/x/x", key="u")

    def all_accounted() -> bool:
        lines, left_out = _count_logged_and_omitted(context)
        accounted: int = lines + left_out - sum(context.lines_before)
        return accounted == count

    wait_until(all_accounted, f"the log accounts for {count} requests")


@then("one log line records how the request ended, and why")
def step_one_line(context: Any) -> None:
    ended = [
        line
        for line in _log_lines(context, "request:ended")
        if line.get("request") == context.answer[0]
    ]
    assert len(ended) == 1, ended
    assert ended[0]["status"] == 502 and ended[0]["may_have_run"]
    assert "closed the connection" in ended[0]["reason"], json.dumps(ended[0])


@then("the metrics count it")
def step_metrics(context: Any) -> None:
    metrics = context.system.metrics(context.system.hosts[0])
    assert 'direct_refusals_total{status="502"}' in metrics, metrics[:2000]
    assert "direct_first_byte_seconds_bucket" in metrics


@then('"explain" reconstructs it from the logs of both entries')
def step_explain(context: Any) -> None:
    logs = [str(process.log_path) for process in context.system.entry_processes]
    command = [sys.executable, "-m", "corianderrelay_entry.run", "explain"]
    done = subprocess.run(
        [*command, "--request", context.answer[0], *logs],
        capture_output=True,
        text=True,
    )
    kinds = [line.split()[3] for line in done.stdout.splitlines()]
    assert kinds == [
        "request:taken",
        "request:placed",
        "request:left_runner",
        "request:ended",
    ], done
    unknown = [*command, "--request", "none", *logs]
    done = subprocess.run(unknown, capture_output=True, text=True)
    assert done.returncode == 1 and "no log record of request none" in done.stderr


@when("the grace time in entry {number:d}'s settings changes and it gets SIGHUP")
def step_reload(context: Any, number: int) -> None:
    system = context.system
    host = system.hosts[number - 1]
    path = system.folder / f"{host}.conf"
    path.write_text(system.settings(host).replace("GraceS=8", "GraceS=9"))
    system.entry_processes[number - 1].signal(signal.SIGHUP)


@then("its log names the bounds and a remedy, and it keeps serving")
def step_reload_logged(context: Any) -> None:
    def reloaded() -> list[Any]:
        return [
            (line["changed"], line["remedy"])
            for line in _log_lines(context, "process:reloaded")
        ]

    wait_until(reloaded, "the entry logs the reload")
    assert reloaded() == [(["bounds"], "restart the process to use them")]
    assert context.system.send_request("/stock/whole")[1] == 200


_HEAD_OF_FOUR_BYTES = (
    f"POST /open/whole HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n"
    f"Corianderrelay-Request-Id: two-parts\r\n\r\n"
).encode()


@when(
    "entry {number:d} is paused for {seconds:g} s after the head of a request, "
    "and the body arrives"
)
def step_pause_between_parts(context: Any, number: int, seconds: float) -> None:
    process = context.system.entry_processes[number - 1]
    with context.system.connect(context.system.hosts[number - 1]) as connection:
        connection.sendall(_HEAD_OF_FOUR_BYTES)
        time.sleep(0.3)  # the entry reads the head
        process.signal(signal.SIGSTOP)
        connection.sendall(b"body")
        time.sleep(seconds)
        process.signal(signal.SIGCONT)
        context.first_bytes = connection.recv(4096)


@when("only the head of a request is sent")
def step_no_body(context: Any) -> None:
    with context.system.connect() as connection:
        connection.sendall(_HEAD_OF_FOUR_BYTES)
        context.first_bytes = connection.recv(4096)


@then("that request gets the status {status:d}")
def step_first_bytes(context: Any, status: int) -> None:
    assert context.first_bytes.split()[1] == b"%d" % status, context.first_bytes
