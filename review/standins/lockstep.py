"""Stand-in for a lock-step group of model runners, by the users' protocol page.

Ranks run all passes together. ``GET /api/report`` tells a rank's state as of some
hundred milliseconds ago; ``POST /api/order`` takes prepare, arm, disarm, Hold and go.
"""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from .system import Record

PASS_S = 0.06
REPORT_LAG_S = 0.2
SETS = 1
EXPERTS = 16
PLACEMENTS = 8
SPARE = 4
COPY_S = 0.05
_TOKENS_PER_PASS = 400
_TOPIC_S = 5.0
_HOT = 3  # experts of a topic, all of which map 0 assigns to one rank
_LATE_S = 3.0


class Rank:
    """State of one rank; guarded by the group's lock."""

    def __init__(self, runner_id: str, number: int, ranks: int) -> None:
        self.runner_id = runner_id
        self.number = number
        self.map_version = 0
        self.experts = [list(range(number, EXPERTS, ranks)) for _ in range(SETS)]
        self.newest_version = 0
        self.prepared: int | None = None
        self.prepared_map: list[list[int]] = []
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = 0
        self.history: list[tuple[float, dict[str, Any]]] = []
        self.answers = 0
        self.order_answers = 0


class LockstepGroup:
    """Ranks that run passes together while any of them has a stream.

    :ivar mixed_passes: passes that began while ranks had different maps.
    :param on_order: called with a rank, a channel and an order before it is carried
        out; returns whether the rank answers it itself.
    """

    def __init__(self, record: Record, ranks: int) -> None:
        self.record = record
        self.lock = threading.RLock()
        self.begun = threading.Condition(self.lock)
        self.step = 0
        self.epoch = 1
        self.mixed_passes: list[int] = []
        self.switches = 0
        self.closed = False
        self.on_order: Callable[[Rank, Channel, dict[str, Any]], bool] = (
            lambda rank, channel, order: False
        )
        self.ranks = [Rank(f"i-{n:08x}", n, ranks) for n in range(1, ranks + 1)]
        for number, rank in enumerate(self.ranks):
            rank.number = number
            rank.experts = [
                list(range(number, EXPERTS, ranks)) for _ in range(SETS)
            ]
        self.born = int(time.time() * 1000)
        self._listeners = []
        self.addresses = []
        for rank in self.ranks:
            self._remember(rank)
            listener = socket.create_server(("127.0.0.1", 0), backlog=128)
            self._listeners.append(listener)
            self.addresses.append(f"127.0.0.1:{listener.getsockname()[1]}")
            threading.Thread(
                target=self._accept, args=(rank, listener), daemon=True
            ).start()
        threading.Thread(target=self._run_passes, daemon=True).start()

    def close(self) -> None:
        """Stop listening and running."""
        self.closed = True
        for listener in self._listeners:
            listener.close()

    def _run_passes(self) -> None:
        while not self.closed:
            time.sleep(PASS_S)
            with self.lock:
                if not any(rank.streams for rank in self.ranks):
                    continue
                if any(rank.held == self.step + 1 for rank in self.ranks):
                    continue
                self._begin_pass()
                self.begun.notify_all()

    def _begin_pass(self) -> None:
        self.step += 1
        before = [rank.map_version for rank in self.ranks]
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.map_version = rank.armed[0]
                rank.experts = rank.prepared_map
                rank.armed = rank.prepared = None
            hot = int(time.monotonic() / _TOPIC_S) % len(self.ranks)
            for index in range(SETS):
                for place in range(_HOT):
                    expert = (hot + place * len(self.ranks)) % EXPERTS
                    rank.counts[index * EXPERTS + expert] += _TOKENS_PER_PASS
                for expert in range(EXPERTS):
                    rank.counts[index * EXPERTS + expert] += 10
            self._remember(rank)
        versions = [rank.map_version for rank in self.ranks]
        if versions != before:
            self.switches += 1
            self.record.note(f"group: pass {self.step} begins, maps {versions}")
        if len(set(versions)) > 1:
            if not self.mixed_passes:
                self.record.note(
                    f"group: MAP BROKEN, pass {self.step} begins with maps {versions}"
                )
            self.mixed_passes.append(self.step)

    def _remember(self, rank: Rank) -> None:
        now = time.monotonic()
        rank.history.append((now, self._state(rank)))
        while len(rank.history) > 1 and rank.history[1][0] <= now - REPORT_LAG_S:
            del rank.history[0]

    def _state(self, rank: Rank) -> dict[str, Any]:
        armed = rank.armed and {"Version": rank.armed[0], "step": rank.armed[1]}
        return {
            "step": self.step,
            "Map": rank.map_version,
            "Prepared": rank.prepared,
            "Armed": armed,
            "held": rank.held,
        }

    def report(self, rank: Rank) -> dict[str, Any]:
        """Return a rank's report, as of ``REPORT_LAG_S`` ago."""
        with self.lock:
            since = time.monotonic() - REPORT_LAG_S
            old = [state for at, state in rank.history if at <= since]
            state = old[-1] if old else rank.history[0][1]
            return {
                "Stage": "colocated",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False,
                "Seq": 0,
                "Queued": 0,
                "Running": rank.streams,
                "KvUsed": 0,
                "KvTotal": 90000,
                "Handles": 0,
                "born": self.born,
                "pace": 1.0,
                "group": {
                    "Name": "g",
                    "epoch": self.epoch,
                    "rank": rank.number,
                    "State": "open",
                },
                "size": len(self.ranks),
                **{name: value for name, value in state.items() if value is not None},
            }

    def carry_out(self, rank: Rank, order: dict[str, Any]) -> int:
        """Carry out an order; return its status."""
        with self.lock:
            status = self._carry_out(rank, order)
            self._remember(rank)
        shown = {name: value for name, value in order.items() if name != "Map"}
        self.record.note(f"rank {rank.runner_id}: order {shown} -> {status}")
        return status

    def _carry_out(self, rank: Rank, order: dict[str, Any]) -> int:
        if order.get("epoch", self.epoch) != self.epoch:
            return 409
        operation, version = order["Op"], order.get("Version", 0)
        step = order.get("step", 0)
        if operation == "prepare":
            return self._prepare(rank, version, order["Map"])
        if operation == "arm":
            if rank.armed == (version, step):
                return 200
            if rank.prepared != version or step <= self.step:
                return 409
            rank.armed = (version, step)
            return 202
        if operation == "disarm":
            if version == rank.map_version:
                return 409
            if rank.armed is None or rank.armed[0] != version:
                return 200
            rank.armed = None
            return 202
        if operation == "Hold":
            if rank.held == step:
                return 200
            if step <= self.step or rank.held is not None:
                return 409
            rank.held = step
            return 202
        if operation == "go":
            if rank.held != step:
                return 409
            rank.held = None
            return 202
        return 400

    def _prepare(self, rank: Rank, version: int, new_map: list[list[list[int]]]) -> int:
        experts = [ranks[rank.number] for ranks in new_map]
        if version <= rank.newest_version or rank.armed is not None:
            return 409
        if any(len(set(new) - set(old)) > SPARE for new, old in zip(experts, rank.experts)):
            return 409
        rank.newest_version = version
        rank.prepared, rank.prepared_map = None, experts
        copy = threading.Timer(COPY_S, self._copied, (rank, version))
        copy.daemon = True
        copy.start()
        return 202

    def _copied(self, rank: Rank, version: int) -> None:
        with self.lock:
            if rank.newest_version == version:
                rank.prepared = version
                self._remember(rank)

    def _accept(self, rank: Rank, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            channel = Channel(self, rank, connection)
            threading.Thread(target=channel.serve, daemon=True).start()


class Channel:
    """One channel to a rank; it serves one request at a time."""

    def __init__(
        self, group: LockstepGroup, rank: Rank, connection: socket.socket
    ) -> None:
        self.group = group
        self.rank = rank
        self.connection = connection
        self.last_answer = b""

    def serve(self) -> None:
        """Serve requests until the channel is closed."""
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = self.connection.makefile("rb")
        try:
            while self._serve_request(stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self.connection.close()

    def _serve_request(self, stream: Any) -> bool:
        first = stream.readline().split()
        if len(first) < 2:
            return False
        headers: dict[str, str] = {}
        while line := stream.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        path = first[1].decode()
        if path == "/api/report":
            return self.answer(200, json.dumps(self.group.report(self.rank)).encode())
        if path.startswith("/api/picked"):
            return self._answer_picked("Lists" in path)
        if path == "/api/order":
            order = json.loads(body)
            if self.group.on_order(self.rank, self, order):
                return True
            return self.answer(self.group.carry_out(self.rank, order), b"", order=True)
        return self._stream(headers)

    def answer(self, status: int, body: bytes, *, order: bool = False) -> bool:
        """Answer a control call."""
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        self.last_answer = (
            f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        self.rank.answers += 1
        self.rank.order_answers += order
        self.connection.sendall(self.last_answer)
        return True

    def repeat_last_answer(self) -> None:
        """Send the last answer on this channel once more."""
        self.connection.sendall(self.last_answer)

    def _answer_picked(self, lists: bool) -> bool:
        rank = self.rank
        with self.group.lock:
            answer: dict[str, Any] = {"step": self.group.step, "epoch": self.group.epoch}
            if lists:
                answer["Map"] = {"Version": rank.map_version, "Experts": rank.experts}
            else:
                answer["Counts"] = list(rank.counts)
        return self.answer(200, json.dumps(answer).encode())

    def _stream(self, headers: dict[str, str]) -> bool:
        request_id = headers.get("corianderrelay-request-id", "")
        if headers.get("corianderrelay-expect-instance") != self.rank.runner_id:
            self.connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        start = int(headers.get("last-event-id") or 0) + 1
        self.connection.sendall(
            f"HTTP/1.1 200 X\r\nCorianderrelay-Request-Id: {request_id}\r\n"
            "Corianderrelay-Server-Stamp: a.b.c\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        with self.group.lock:
            self.rank.streams += 1
        try:
            for number in range(start, 25):
                with self.group.lock:
                    if not self.group.begun.wait(5.0):
                        return False
                event = f"id: {number}\ndata: tokens\n\n".encode()
                self.connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            self.connection.sendall(b"0\r\n\r\n")
        finally:
            with self.group.lock:
                self.rank.streams -= 1
        return True


def engine() -> dict[str, Any]:
    """Return the ``Engine`` of the group's service in the configuration."""
    return {
        "step_ms": 4.55,
        "Stride": 4,
        "report_lag_ms": REPORT_LAG_S * 1000,
        "LinkMbps": 44000,
        "Sets": SETS,
        "Experts": EXPERTS,
        "Placements": PLACEMENTS,
        "Spare": SPARE,
        "ExpertMb": 420,
    }
