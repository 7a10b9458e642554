"""Steps for runners that are silent in the middle of their answers."""

from __future__ import annotations

import signal
import threading
import time
from pathlib import Path
from typing import Any

from behave import given, then, when

from demo.system import temporary_folder
from tests.harness.platform_system import API_KEY, HOST, PlatformSystem
from tests.standins.platform_runner import whole_stream
from tests.waiting import wait_until

_LAST_EVENT = b"event-4"  # before the runner is silent
_READ_TIMEOUT_S = 6.0
_BURST_S = 1.2


class _StreamCaller(threading.Thread):
    """Reads an answer and records when its bytes arrived.

    :ivar data: the body, without the framing of its chunks.
    :ivar longest_pause_s: between two receipts of bytes.
    """

    def __init__(self, system: PlatformSystem, path: str, request_id: str) -> None:
        super().__init__(daemon=True)
        self._socket = system.connect()
        self._socket.settimeout(_READ_TIMEOUT_S)
        self._socket.sendall(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 2\r\n"
            f"Corianderrelay-Request-Id: {request_id}\r\n"
            f"Corianderrelay-Deadline-Ms: 8000\r\n"
            f"Authorization: Token {API_KEY}\r\n\r\n{{}}".encode()
        )
        self.received = b""
        self.longest_pause_s = 0.0

    def run(self) -> None:
        """Read until the answer is complete or the connection ends."""
        last_at = time.monotonic()
        while not self.is_complete:
            data = self._socket.recv(65_536)
            if not data:
                return
            now = time.monotonic()
            self.longest_pause_s = max(self.longest_pause_s, now - last_at)
            last_at = now
            self.received += data

    @property
    def is_complete(self) -> bool:
        """Whether the end of the answer was received."""
        return self.received.endswith((b"0\r\n\r\n", b"\r\n\r\nbody"))

    @property
    def data(self) -> bytes:
        """The body so far."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        if b"chunked" not in head:
            return body
        data = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            data += body[: int(size, 16)]
            body = body[int(size, 16) + 2 :]
        return data


@given("an entry, and a stream that makes progress beside others")
def step_entry(context: Any) -> None:
    folder = context.cleanup.enter_context(temporary_folder())
    context.system = PlatformSystem(Path(folder), entries=1)
    context.cleanup.callback(context.system.close)
    context.system.start()
    context.beside = _StreamCaller(context.system, "/stream/steady", "beside")
    context.beside.start()


@when("a caller asks for {path:S}, and all runners are full until {full_s:f} s")
def step_ask(context: Any, path: str, full_s: float) -> None:
    system = context.system
    context.caller = _StreamCaller(system, path, "asked")
    context.caller.start()
    wait_until(lambda: system.fleet.run_count("asked"), "a runner runs the request")
    if "/stream/" in path:
        wait_until(lambda: _LAST_EVENT in context.caller.received, "it is silent")
    if full_s:
        system.fleet.rejecting = {runner.runner_id for runner in system.runners}
        timer = threading.Timer(full_s, system.fleet.rejecting.clear)
        timer.daemon = True
        timer.start()


@when("the entry goes on while the stream is silent")
def step_goes_on(context: Any) -> None:
    pass


@when("the entry gets SIGTERM while the stream is silent")
def step_stops(context: Any) -> None:
    context.system.entry_processes[0].signal(signal.SIGTERM)


@then("the caller gets all events, with no pause over {limit_s:f} s")
def step_whole(context: Any, limit_s: float) -> None:
    caller = context.caller
    caller.join(_READ_TIMEOUT_S)
    assert caller.received.startswith(b"HTTP/1.1 200 "), caller.received
    assert caller.is_complete, f"cut after {caller.received[-60:]!r}"
    assert caller.data == whole_stream(), caller.data
    assert caller.longest_pause_s <= limit_s, caller.longest_pause_s
    context.beside.join(_READ_TIMEOUT_S)
    assert context.beside.is_complete, "the stream beside was cut"


@then("the caller gets the whole body")
def step_whole_body(context: Any) -> None:
    caller = context.caller
    caller.join(_READ_TIMEOUT_S)
    assert caller.received.startswith(b"HTTP/1.1 200 "), caller.received
    assert caller.data == b"body", caller.received


@then("at most {count:d} takeovers of the request were rejected")
def step_rejected(context: Any, count: int) -> None:
    fleet = context.system.fleet
    arrivals = [each for each in fleet.received if each[1] == "asked"]
    ran = [each for each in fleet.runs if each[1] == "asked"]
    assert len(arrivals) - len(ran) <= count, arrivals


@when("{count:d} callers send one request after the other meanwhile")
def step_burst(context: Any, count: int) -> None:
    ended = threading.Event()
    timer = threading.Timer(_BURST_S, ended.set)
    timer.daemon = True
    timer.start()
    for _ in range(count):
        burst = threading.Thread(
            target=_send_until, args=(context.system, ended), daemon=True
        )
        burst.start()
        context.cleanup.callback(burst.join, _READ_TIMEOUT_S)


def _send_until(system: PlatformSystem, ended: threading.Event) -> None:
    while not ended.is_set():
        system.send_request("/stock/whole")
