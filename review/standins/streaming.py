"""Stand-in for a sound runner of streams, by the users' protocol page.

It runs ``slots`` requests at once, queues a few more and turns others away with
``Corianderrelay-Not-Run``. It drops a request when its channel closes. When its memory
runs out, it preempts its newest requests, also in the middle of their streams, and goes
on with them when they have been read again.
"""

from __future__ import annotations

import select
import socket
import threading
import time
from typing import Any

from .system import Record

EVENTS = 80
EVENT_S = 0.05


class _Run:
    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.started_at = time.monotonic()
        self.paused_until = 0.0
        self.events = 0


class StreamingRunner:
    """One runner.

    :ivar runs: the requests that it runs now, by number.
    """

    def __init__(
        self, record: Record, runner_id: str, slots: int, queue: int
    ) -> None:
        self.record = record
        self.runner_id = runner_id
        self.slots = slots
        self.queue = queue
        self.lock = threading.Lock()
        self.free = threading.Condition(self.lock)
        self.runs: list[_Run] = []
        self.waiting = 0
        self.ever_ran: set[str] = set()
        self.completed: set[str] = set()
        self.born = int(time.time() * 1000)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def preempt_newest(self, count: int, pause_s: float) -> list[str]:
        """Preempt the newest requests that have sent events; return their ids."""
        with self.lock:
            running = [run for run in self.runs if run.events]
            newest = sorted(running, key=lambda run: run.started_at)[-count:]
            for run in newest:
                run.paused_until = time.monotonic() + pause_s
            return [run.request_id for run in newest]

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while self._serve_request(connection, stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def _serve_request(self, connection: socket.socket, stream: Any) -> bool:
        first = stream.readline().split()
        if len(first) < 2:
            return False
        headers: dict[str, str] = {}
        while line := stream.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        stream.read(int(headers.get("content-length", 0)))
        if first[1] == b"/api/report":
            body = b'{"born":%d}' % self.born
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            )
            return True
        request_id = headers.get("corianderrelay-request-id", "")
        identity = f"Corianderrelay-Request-Id: {request_id}\r\n"
        if headers.get("corianderrelay-expect-instance") != self.runner_id:
            connection.sendall(
                f"HTTP/1.1 421 X\r\n{identity}Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if not self._enter(connection):
            self.record.note(
                f"runner {self.runner_id}: {request_id} turned away, {self.slots} run "
                f"and {self.queue} wait"
            )
            connection.sendall(
                f"HTTP/1.1 503 X\r\n{identity}Corianderrelay-Not-Run: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        return self._run(connection, request_id, identity, headers)

    def _enter(self, connection: socket.socket) -> bool:
        """Wait for a slot in the queue; return false if the queue is full."""
        with self.lock:
            if len(self.runs) < self.slots and not self.waiting:
                self.runs.append(_Run(""))
                return True
            if self.waiting >= self.queue:
                return False
            self.waiting += 1
            try:
                while len(self.runs) >= self.slots:
                    self.free.wait(0.05)
                    if _is_closed(connection):
                        raise OSError("the caller has left the queue")
                self.runs.append(_Run(""))
                return True
            finally:
                self.waiting -= 1

    def _run(
        self,
        connection: socket.socket,
        request_id: str,
        identity: str,
        headers: dict[str, str],
    ) -> bool:
        with self.lock:
            run = next(each for each in self.runs if not each.request_id)
            run.request_id = request_id
            run.started_at = time.monotonic()
            self.ever_ran.add(request_id)
        first = int(headers.get("last-event-id") or 0) + 1
        self.record.note(f"runner {self.runner_id}: runs {request_id} from event {first}")
        try:
            connection.sendall(
                f"HTTP/1.1 200 OK\r\n{identity}Corianderrelay-Server-Stamp: a.b.c\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            for number in range(first, EVENTS + 1):
                self._wait_for_turn(connection, run)
                event = b"id: %d\ndata: tokens\n\n" % number
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                run.events += 1
            connection.sendall(b"0\r\n\r\n")
            self.completed.add(request_id)
            return True
        except OSError:
            self.record.note(
                f"runner {self.runner_id}: the channel of {request_id} was closed after "
                f"{run.events} events"
            )
            raise
        finally:
            with self.lock:
                self.runs.remove(run)
                self.free.notify_all()

    def _wait_for_turn(self, connection: socket.socket, run: _Run) -> None:
        time.sleep(EVENT_S)
        while time.monotonic() < run.paused_until:
            time.sleep(0.02)
            if _is_closed(connection):
                raise OSError("the caller has closed the channel")


def _is_closed(connection: socket.socket) -> bool:
    readable, _, _ = select.select([connection], [], [], 0)
    return bool(readable) and connection.recv(1, socket.MSG_PEEK) == b""
