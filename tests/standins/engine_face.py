"""HTTP face of the engine stand-in: OpenAI-compatible chat, load, orders, records."""

from __future__ import annotations

import json
import os
from collections import deque
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from tests.standins.engine_model import prompt_of
from tests.standins.http_face import header_of, json_of, method_of, send_json

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from tests.standins.engine_batch import Call, Emission, EngineBatch

_CRASH_STATUS = 70


class EngineFace:
    """Serves one engine.

    :param crash_on: a prompt with this text ends the process; empty for none.
    :param load_lag_s: age of the reported load, in seconds.
    :param checks_fencing: whether an order with an older number is refused.
    """

    def __init__(
        self,
        batch: EngineBatch,
        reactor: ReactorBase,
        *,
        crash_on: str = "",
        load_lag_s: float = 0.0,
        checks_fencing: bool = True,
    ) -> None:
        self._batch = batch
        self._reactor = reactor
        self._crash_on = crash_on
        self._load_lag_s = load_lag_s
        self._checks_fencing = checks_fencing
        self._highest_token = -1
        self._orders: list[dict[str, Any]] = []
        self._loads: deque[tuple[float, dict[str, float]]] = deque(maxlen=1000)
        self._answers_by_call: dict[int, _Answer] = {}
        self._stepping = False

    def handle(self, request: Request, parts: list[str]) -> None:
        """Answer one request."""
        match method_of(request), parts:
            case "POST", ["v1", "chat", "completions"]:
                self._chat(request)
            case "GET", ["load"]:
                send_json(request, 200, self._lagging_load())
            case "POST", ["orders"]:
                self._order(request)
            case "GET", ["orders"]:
                send_json(request, 200, {"orders": self._orders})
            case "GET", ["executions"]:
                executions = list(map(asdict, self._batch.executions))
                send_json(request, 200, {"executions": executions})
            case "POST", ["control"]:
                self._control(request)
            case _:
                send_json(request, 404, {"error": "no such route"})

    def _chat(self, request: Request) -> None:
        body = json_of(request)
        priority = int(header_of(request, "X-Priority") or 0)
        call = self._batch.submit(header_of(request, "X-Request-Id"), priority, body)
        if self._crash_on and self._crash_on in prompt_of(body):
            os._exit(_CRASH_STATUS)
        answer = _Stream(request, body) if body.get("stream") else _Whole(request, body)
        number = call.execution.number
        self._answers_by_call[number] = answer
        request.notifyFinish().addErrback(lambda _: self._cancelled(call))
        self._start_stepping()

    def _cancelled(self, call: Call) -> None:
        self._answers_by_call.pop(call.execution.number, None)
        self._batch.cancel(call)

    def _start_stepping(self) -> None:
        if not self._stepping:
            self._stepping = True
            self._reactor.callLater(self._batch.step_time_s, self._step)

    def _step(self) -> None:
        for emission in self._batch.step():
            self._emit(emission)
        self._note_load()
        self._stepping = False
        if not self._batch.idle:
            self._start_stepping()

    def _emit(self, emission: Emission) -> None:
        number = emission.call.execution.number
        if number not in self._answers_by_call:
            return
        if emission.token is None:
            self._answers_by_call.pop(number).end()
        else:
            self._answers_by_call[number].token(emission.token)

    def _note_load(self) -> None:
        self._loads.append((self._reactor.seconds(), self._batch.load()))

    def _lagging_load(self) -> dict[str, float]:
        now = self._reactor.seconds()
        self._note_load()
        wanted_at = now - self._load_lag_s
        at, load = next(
            (entry for entry in reversed(self._loads) if entry[0] <= wanted_at),
            self._loads[0],
        )
        return load | {"age_s": now - at}

    def _order(self, request: Request) -> None:
        token = int(header_of(request, "X-Fencing-Token") or -1)
        if self._checks_fencing and token < self._highest_token:
            send_json(request, 409, {"highest": self._highest_token})
            return
        self._highest_token = max(self._highest_token, token)
        self._orders.append(json_of(request) | {"fencing_token": token})
        send_json(request, 200, {"obeyed": True})

    def _control(self, request: Request) -> None:
        for name, value in json_of(request).items():
            setattr(self._batch.faults, name, value)
        send_json(request, 200, asdict(self._batch.faults))


class _Whole:
    """An answer that is sent at once when it is complete."""

    def __init__(self, request: Request, body: dict[str, Any]) -> None:
        self._request = request
        self._body = body
        self._tokens: list[str] = []

    def token(self, token: str) -> None:
        """Collect a token."""
        self._tokens.append(token)

    def end(self) -> None:
        """Send the answer."""
        message = {"role": "assistant", "content": "".join(self._tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        answer = {
            "object": "chat.completion",
            "model": self._body.get("model"),
            "choices": [choice],
            "usage": {"completion_tokens": len(self._tokens)},
        }
        send_json(self._request, 200, answer)


class _Stream:
    """An answer that is sent token by token as server-sent events."""

    def __init__(self, request: Request, body: dict[str, Any]) -> None:
        self._request = request
        self._body = body
        request.setHeader(b"content-type", b"text/event-stream")

    def token(self, token: str) -> None:
        """Send a token."""
        self._event({"content": token}, None)

    def end(self) -> None:
        """Send the end of the stream."""
        self._event({}, "stop")
        self._request.write(b"data: [DONE]\n\n")
        self._request.finish()

    def _event(self, delta: dict[str, str], finish_reason: str | None) -> None:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        event = {
            "object": "chat.completion.chunk",
            "model": self._body.get("model"),
            "choices": [choice],
        }
        self._request.write(b"data: " + json.dumps(event).encode() + b"\n\n")


_Answer = _Whole | _Stream

__all__ = ["EngineFace"]
