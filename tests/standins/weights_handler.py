"""HTTP handler of the weight-store stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.standins.http_helpers import json_of, method_of, send, send_json

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from tests.standins.weights_core import WeightStore

_BYTES = "application/octet-stream"


class WeightsHandler:
    """Serves the weight store."""

    def __init__(self, store: WeightStore, reactor: ReactorBase) -> None:
        self._store = store
        self._reactor = reactor

    def handle(self, request: Request, parts: list[str]) -> None:
        """Answer one request."""
        match method_of(request), parts:
            case "GET", ["weights", *_] if self._store.outage:
                send_json(request, 503, {"error": "out"}, retry_after="1")
            case "GET", ["weights", model, layer, expert]:
                self._send_weights(request, model, int(layer), int(expert))
            case "GET", ["sent"]:
                send_json(request, 200, {"sent_bytes": self._store.sent_bytes})
            case "POST", ["control"]:
                for name, value in json_of(request).items():
                    setattr(self._store, name, value)
                send_json(request, 200, {})
            case _:
                send_json(request, 404, {"error": "no such route"})

    def _send_weights(
        self, request: Request, model: str, layer: int, expert: int
    ) -> None:
        delay_s = self._store.reserve_transfer(self._reactor.seconds())
        weights = self._store.weights(model, layer, expert)
        size = str(self._store.expert_bytes)
        timer = self._reactor.callLater(
            delay_s, lambda: send(request, 200, weights, _BYTES, x_weight_bytes=size)
        )
        request.notifyFinish().addErrback(lambda _: timer.cancel())


__all__ = ["WeightsHandler"]
