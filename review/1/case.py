"""Streams of a sound runner are cut while their entry stops."""

from __future__ import annotations

import http.client
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins import streaming, system  # noqa: E402

_SLOTS = 6
_QUEUE = 3
_CLIENTS = 14
_WARM_UP_S = 14.0
_PREEMPTED = 5
_PAUSE_S = 1.2  # callers wait for 2 s
_PREEMPTIONS_AT_S = (0.4, 2.0)  # after SIGTERM
_GRACE_S = 8.0
_BUDGET_S = 8.0
_LAST_SIXTH_S = _GRACE_S * 5 / 6


class Caller(threading.Thread):
    """Sends one stream after the other to an entry, on kept channels."""

    def __init__(
        self, started: system.System, entry: system.Entry, ended: threading.Event
    ) -> None:
        super().__init__(daemon=True)
        self._system = started
        self._entry = entry
        self._ended = ended
        self._connection: http.client.HTTPConnection | None = None
        # Request id, when it was sent, when its channel ended, and events received.
        self.cut: list[tuple[str, float, float, int]] = []

    def run(self) -> None:
        """Send requests until the end."""
        while not self._ended.is_set():
            request_id = self._system.next_id()
            sent_at = time.monotonic()
            try:
                self._ask(request_id, sent_at)
            except (OSError, http.client.HTTPException) as error:
                self._drop()
                self._system.record.note(
                    f"client: {request_id} no answer, {type(error).__name__}"
                )
                time.sleep(0.1)

    def _ask(self, request_id: str, sent_at: float) -> None:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._entry.host, self._entry.ports["Front"], timeout=10.0
            )
        self._connection.request(
            "POST",
            "/ask/",
            b'{"q": "frame kit"}',
            {
                "Host": system.HOST,
                "Corianderrelay-Request-Id": request_id,
                "Corianderrelay-Model": "m",
                "Corianderrelay-Token-Counts": "600,320",
                "Corianderrelay-Deadline-Ms": str(int(_BUDGET_S * 1000)),
                "Authorization": f"Token {system.KEY}",
            },
        )
        answer = self._connection.getresponse()
        note = self._system.record.note
        try:
            events = answer.read().count(b"\n\n")
            note(f"client: {request_id} {answer.status}, whole, {events} events")
        except http.client.IncompleteRead as error:
            events = error.partial.count(b"\n\n")
            now = time.monotonic()
            note(
                f"client: {request_id} {answer.status}, CUT after {events} events, "
                f"{now - sent_at:.2f} s after it was sent"
            )
            self.cut.append((request_id, sent_at, now, events))
            self._drop()
        if answer.will_close:
            self._drop()
        if answer.status != http.client.OK:
            time.sleep(0.1)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def run(record: system.Record, trouble: str) -> bool:
    """Play the case; return whether the rule held."""
    runners = [
        streaming.StreamingRunner(record, f"i-{n:08x}", _SLOTS, _QUEUE) for n in (1, 2)
    ]
    started = system.System(record)
    try:
        started.publish(
            [
                {
                    "Name": "ask",
                    "Host": system.HOST,
                    "PathPrefix": "/ask/",
                    "Service": "assistant",
                    "Kind": "streaming",
                    "Resumable": True,
                    "Sticky": True,
                    "Attempts": 2,
                    "TimeoutMs": int(_BUDGET_S * 1000),
                    "SloMs": 500,
                    "GapSloMs": 150,
                    "Priority": 1,
                }
            ],
            [{"Name": "assistant", "HealthPath": "/healthz", "MaxConns": 400}],
        )
        for runner in runners:
            started.register(
                runner.runner_id,
                {
                    "Service": "assistant",
                    "Addr": runner.address,
                    "Zone": "oslo-a",
                    "Version": "v1",
                    "Slots": _SLOTS,
                    "State": "ready",
                    "ColdLeftMs": 0,
                    "Seq": 1,
                    "born": runner.born,
                },
            )
        started.start_all()
        entry = started.entries[0]
        ended = threading.Event()
        callers = [Caller(started, entry, ended) for _ in range(_CLIENTS)]
        for caller in callers:
            caller.start()
        time.sleep(_WARM_UP_S)
        record.note(f"runners: {[len(runner.runs) for runner in runners]} streams")
        stopped_at = time.monotonic()
        if trouble != "0" and entry.process is not None:
            record.note(f"platform: SIGTERM to {entry.host}")
            entry.process.send_signal(signal.SIGTERM)
        for at_s in () if trouble == "term" else _PREEMPTIONS_AT_S:
            time.sleep(max(stopped_at + at_s - time.monotonic(), 0.0))
            full = max(runners, key=lambda runner: len(runner.runs))
            preempted = full.preempt_newest(_PREEMPTED, _PAUSE_S)
            record.note(
                f"runner {full.runner_id}: memory runs out, preempts {preempted} for "
                f"{_PAUSE_S} s; others run {[len(each.runs) for each in runners]}"
            )
        time.sleep(stopped_at + _LAST_SIXTH_S - time.monotonic())
        ended.set()
        cut = [each for caller in callers for each in caller.cut]
        lost = [
            request_id
            for request_id, sent_at, cut_at, _ in cut
            if cut_at > stopped_at
            and cut_at - stopped_at < _LAST_SIXTH_S
            and cut_at - sent_at < _BUDGET_S - 0.5
            and any(request_id in runner.ever_ran for runner in runners)
        ]
        record.note(f"cut in the time that counts, by sound runners: {lost}")
        return trouble == "0" or not lost
    finally:
        started.close()
        for runner in runners:
            runner.close()


if __name__ == "__main__":
    system.play(Path(__file__).resolve().parent, run)
