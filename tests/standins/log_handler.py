"""HTTP handler of the log stand-in."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import msgpack
from result import Err

from tests.standins.http_helpers import (
    abort_connection,
    argument_of,
    body_of,
    json_of,
    method_of,
    send,
    send_json,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import DelayedCall, ReactorBase
    from twisted.web.server import Request

    from tests.standins.log_store import LogStore, Page, Refusal


@dataclass(slots=True, eq=False)
class _WaitingRead:
    """A long-poll read that waits for a log entry."""

    request: Request
    deadline: float
    timer: DelayedCall


class LogHandler:
    """Serves a log store.

    :param store: streams and injected faults.
    :param reactor: clock and timers.
    """

    def __init__(self, store: LogStore, reactor: ReactorBase) -> None:
        self._store = store
        self._reactor = reactor
        self._waiting_by_stream: defaultdict[str, list[_WaitingRead]] = defaultdict(
            list
        )

    def handle(self, request: Request, parts: list[str]) -> None:
        """Answer one request."""
        match method_of(request), parts:
            case "POST", ["control"]:
                self._set_faults(request)
            case "POST", ["streams", name]:
                self._call_after_delay(self._append, request, name, body_of(request))
            case "GET", ["streams", name]:
                deadline = self._reactor.seconds() + argument_of(request, "wait_s", 0)
                self._call_after_delay(self._read, request, name, deadline)
            case _:
                send_json(request, 404, {"error": "no such route"})

    def _set_faults(self, request: Request) -> None:
        for name, value in json_of(request).items():
            setattr(self._store.faults, name, value)
        send_json(request, 200, asdict(self._store.faults))

    def _call_after_delay(self, call: Callable[..., None], *arguments: object) -> None:
        self._reactor.callLater(self._store.faults.delay_s, call, *arguments)

    def _append(self, request: Request, name: str, payload: bytes) -> None:
        appended = self._store.append(name, payload, self._reactor.seconds())
        for wait in self._waiting_by_stream.pop(name, []):
            wait.timer.cancel()
            self._read(wait.request, name, wait.deadline)
        if isinstance(appended, Err):
            _send_refusal(request, appended.err_value)
        elif self._store.consume_lost_answer():
            abort_connection(request)
        else:
            send_json(request, 200, {"offset": appended.ok_value})

    def _read(self, request: Request, name: str, deadline: float) -> None:
        now = self._reactor.seconds()
        offset = int(argument_of(request, "offset", 0))
        read = self._store.read(name, offset, now)
        if isinstance(read, Err):
            _send_refusal(request, read.err_value)
        elif read.ok_value.entries or now >= deadline:
            _send_page(request, read.ok_value)
        else:
            self._wait_for_entry(request, name, deadline)

    def _wait_for_entry(self, request: Request, name: str, deadline: float) -> None:
        delay_s = deadline - self._reactor.seconds()
        timer = self._reactor.callLater(delay_s, self._on_wait_timeout, request, name)
        wait = _WaitingRead(request, deadline, timer)
        self._waiting_by_stream[name].append(wait)
        request.notifyFinish().addErrback(lambda _: self._remove_wait(name, wait))

    def _on_wait_timeout(self, request: Request, name: str) -> None:
        waiting = self._waiting_by_stream[name]
        waiting[:] = [wait for wait in waiting if wait.request is not request]
        self._read(request, name, self._reactor.seconds())

    def _remove_wait(self, name: str, wait: _WaitingRead) -> None:
        waiting = self._waiting_by_stream[name]
        if wait in waiting:
            waiting.remove(wait)
            wait.timer.cancel()


def _send_refusal(request: Request, refusal: Refusal) -> None:
    retry_after = f"{refusal.retry_after_s:.3f}"
    send_json(request, refusal.status, {"error": "refused"}, retry_after=retry_after)


def _send_page(request: Request, page: Page) -> None:
    body = msgpack.packb(
        {"first": page.first, "next": page.next, "entries": page.entries}
    )
    send(request, 200, body, "application/msgpack")


__all__ = ["LogHandler"]
