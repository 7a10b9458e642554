"""Routes of the engine stand-in other than chat: load, cache, KV, orders, faults."""

from __future__ import annotations

from collections import deque
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from tests.standins.http_helpers import (
    argument_of,
    header_of,
    json_of,
    method_of,
    send_json,
)
from tests.standins.prefix_cache import blocks_of

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from tests.standins.engine_batch import EngineBatch
    from tests.standins.prefix_cache import PrefixCache

_BLOCKS_PER_PREFILL_STEP = 8


class EngineControl:
    """Serves the platform's calls to an engine.

    :param load_lag_s: age of the reported load, in seconds.
    :param checks_fencing: whether an order with an older fencing token is refused.
    """

    def __init__(
        self,
        batch: EngineBatch,
        cache: PrefixCache,
        reactor: ReactorBase,
        *,
        load_lag_s: float = 0.0,
        checks_fencing: bool = True,
    ) -> None:
        self._batch = batch
        self._cache = cache
        self._reactor = reactor
        self._load_lag_s = load_lag_s
        self._checks_fencing = checks_fencing
        self._highest_fencing_token = -1
        self._orders: list[dict[str, Any]] = []
        self._loads: deque[tuple[float, dict[str, float]]] = deque(maxlen=1000)

    def handle(self, request: Request, parts: list[str]) -> None:
        """Answer one request."""
        match method_of(request), parts:
            case "GET", ["load"]:
                send_json(request, 200, self._delayed_load())
            case "GET", ["cache", "events"]:
                self._send_cache_events(request)
            case "POST", ["kv", "export"]:
                blocks = self._cache.cached_blocks(
                    blocks_of(json_of(request)["prompt"])
                )
                send_json(request, 200, {"blocks": blocks})
            case "POST", ["kv", "import"]:
                self._cache.store(json_of(request)["blocks"], self._reactor.seconds())
                send_json(request, 200, {"imported": True})
            case "POST", ["orders"]:
                self._receive_order(request)
            case "GET", ["orders"]:
                send_json(request, 200, {"orders": self._orders})
            case "POST", ["control"]:
                for name, value in json_of(request).items():
                    setattr(self._batch.faults, name, value)
                send_json(request, 200, asdict(self._batch.faults))
            case _:
                send_json(request, 404, {"error": "no such route"})

    def prefill_steps(self, prompt: str) -> int:
        """Cache a prompt and return the prefill steps for its missing blocks."""
        hits = self._cache.store_prompt(prompt, self._reactor.seconds())
        missing = len(blocks_of(prompt)) - hits
        return -(-missing // _BLOCKS_PER_PREFILL_STEP)

    def record_load(self) -> None:
        """Record the current load, to be reported ``load_lag_s`` later."""
        self._loads.append((self._reactor.seconds(), self._batch.load()))

    def _delayed_load(self) -> dict[str, float]:
        now = self._reactor.seconds()
        self.record_load()
        as_of = now - self._load_lag_s
        at, load = next(
            (entry for entry in reversed(self._loads) if entry[0] <= as_of),
            self._loads[0],
        )
        return load | {"age_s": now - at}

    def _send_cache_events(self, request: Request) -> None:
        after = int(argument_of(request, "after", 0))
        events = self._cache.events(after, self._reactor.seconds())
        send_json(request, 200, {"events": list(map(asdict, events))})

    def _receive_order(self, request: Request) -> None:
        token = int(header_of(request, "X-Fencing-Token") or -1)
        if self._checks_fencing and token < self._highest_fencing_token:
            send_json(request, 409, {"highest": self._highest_fencing_token})
            return
        self._highest_fencing_token = max(self._highest_fencing_token, token)
        self._orders.append(json_of(request) | {"fencing_token": token})
        send_json(request, 200, {"obeyed": True})


__all__ = ["EngineControl"]
