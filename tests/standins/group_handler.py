"""HTTP handler of one rank in a lock-step group of engine stand-ins.

Rank 0 hosts the step barrier; the other ranks arrive at it over HTTP before each step.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err
from twisted.internet.defer import Deferred, succeed

from corianderrelay.transport.http_client import HttpClient

from tests.standins.group_rank import GroupRank, StepBarrier
from tests.standins.http_helpers import header_of, json_of, method_of, send_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result
    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from corianderrelay.transport.http_client import HttpResponse

    from tests.standins.engine_batch import EngineBatch
    from tests.standins.engine_handler import EngineHandler
    from tests.standins.group_rank import RankRefusal

_ARRIVE_TIMEOUT_S = 600.0
_POLL_INTERVAL_S = 0.1
_MAX_RECENT_STEPS = 20


class GroupHub:
    """Asynchronous barrier on rank 0; a step begins once every rank has arrived."""

    def __init__(self, ranks: int) -> None:
        self.barrier = StepBarrier(ranks)
        self._waiting_by_rank: dict[int, Deferred[int]] = {}

    def arrive(self, rank: int, map_number: int) -> Deferred[int]:
        """Register an arrival; the result is the number of the step once it begins."""
        step_begun: Deferred[int] = Deferred()
        self._waiting_by_rank[rank] = step_begun
        if self.barrier.arrive(rank, map_number):
            waiting, self._waiting_by_rank = self._waiting_by_rank, {}
            for other in waiting.values():
                other.callback(self.barrier.step)
        return step_begun

    def remove_waiting_rank(self, rank: int, step_begun: Deferred[int]) -> None:
        """Remove the arrival of a rank that disconnected while it waited."""
        if self._waiting_by_rank.get(rank) is step_begun:
            del self._waiting_by_rank[rank]
            self.barrier.remove_arrival(rank)


class RankStepper:
    """Steps the engine of one rank in lock step with its group.

    :param arrive: registers the rank's arrival at the barrier, with its map number.
    """

    def __init__(
        self,
        rank: GroupRank,
        engine_handler: EngineHandler,
        batch: EngineBatch,
        reactor: ReactorBase,
        arrive: Callable[[int], Deferred[int]],
    ) -> None:
        self._rank = rank
        self._engine_handler = engine_handler
        self._batch = batch
        self._reactor = reactor
        self._arrive = arrive
        self._stepping = False

    def wake(self) -> None:
        """Arrive at the next step unless the rank is stepping, held or stalled."""
        if self._stepping or self._rank.held or self._batch.faults.stalled:
            return
        self._stepping = True
        self._arrive(self._rank.map_at_step(self._rank.step + 1)).addCallbacks(
            self._begin, self._on_arrival_failed
        )

    def start(self) -> None:
        """Try to arrive at the next step now and after each poll interval."""
        self.wake()
        self._reactor.callLater(_POLL_INTERVAL_S, self.start)

    def _begin(self, step: int) -> None:
        self._rank.begin_step(step)
        self._reactor.callLater(self._batch.step_time_s, self._end)

    def _end(self) -> None:
        self._engine_handler.step()
        self._stepping = False
        self.wake()

    def _on_arrival_failed(self, _failure: object) -> None:
        self._stepping = False


class GroupHandler:
    """Serves a rank's group routes; ``engine_handler`` serves all other routes.

    :param hub: the barrier on rank 0, else ``None``.
    :param weights: client of the store that holds the weights of staged maps, if any.
    """

    def __init__(
        self,
        rank: GroupRank,
        engine_handler: EngineHandler,
        hub: GroupHub | None,
        weights: HttpClient | None,
        model: str,
    ) -> None:
        self._rank = rank
        self._engine_handler = engine_handler
        self._hub = hub
        self._weights = weights
        self._model = model
        self._popularity: list[int] = []

    def handle(self, request: Request, parts: list[str]) -> None:
        """Answer one request."""
        match method_of(request), parts:
            case "POST", ["group", "arrive"] if self._hub is not None:
                self._arrive(self._hub, request)
            case "GET", ["group", "steps"] if self._hub is not None:
                send_json(request, 200, _recent_steps(self._hub.barrier))
            case "GET", ["group", "status"]:
                send_json(request, 200, self._status())
            case "GET", ["group", "popularity"]:
                send_json(request, 200, {"tokens_by_expert": self._popularity})
            case "POST", ["group", "popularity"]:
                self._popularity = json_of(request)["tokens_by_expert"]
                send_json(request, 200, {})
            case "POST", ["group", "stage" | "arm" | "activate" | "release" as action]:
                self._receive_order(request, action)
            case _:
                self._engine_handler.handle(request, parts)

    def _arrive(self, hub: GroupHub, request: Request) -> None:
        arrival = json_of(request)
        step_begun = hub.arrive(arrival["rank"], arrival["map"])
        disconnected = request.notifyFinish()
        disconnected.addErrback(
            lambda _: hub.remove_waiting_rank(arrival["rank"], step_begun)
        )
        step_begun.addCallback(lambda step: _send_step(request, step))

    def _receive_order(self, request: Request, action: str) -> None:
        body = json_of(request)
        token = int(header_of(request, "X-Fencing-Token") or -1)
        fencing_check = self._rank.check_fencing_token(token)
        if isinstance(fencing_check, Err):
            send_json(request, 409, {"error": fencing_check.err_value.reason})
        elif action == "stage":
            self._stage(request, body)
        elif action == "arm":
            self._send_result(request, self._rank.arm(body["hold_at"]))
        elif action == "release":
            self._send_result(request, self._rank.release(body["hold_at"]))
        else:
            self._send_result(request, self._rank.activate(body["map"], body["step"]))

    def _send_result(
        self, request: Request, outcome: Result[None, RankRefusal]
    ) -> None:
        if isinstance(outcome, Err):
            answer = {"error": outcome.err_value.reason} | self._status()
            send_json(request, 412, answer)
            return
        if self._engine_handler.stepper is not None:
            self._engine_handler.stepper.wake()
        send_json(request, 200, self._status())

    def _stage(self, request: Request, body: dict[str, Any]) -> None:
        experts = [tuple(expert) for expert in body.get("experts", [])]
        loaded = self._load_weights(experts)
        loaded.addCallbacks(lambda _: self._rank.stage(body["map"]), lambda _: None)
        send_json(request, 202, self._status())

    def _load_weights(self, experts: list[tuple[int, int]]) -> Deferred[None]:
        if self._weights is None or not experts:
            return succeed(None)
        layer, expert = experts[0]
        path = f"/weights/{self._model}/{layer}/{expert}"
        read = self._weights.fetch("GET", path, timeout_s=_ARRIVE_TIMEOUT_S)
        return read.addCallback(lambda _: self._load_weights(experts[1:]))

    def _status(self) -> dict[str, Any]:
        rank = self._rank
        return asdict(rank) | {
            "held": rank.held,
            "next_step": rank.next_step,
            "staged": sorted(rank.staged),
            "holds": sorted(rank.holds),
            "map_by_step": sorted(rank.map_by_step.items()),
        }


def remote_arrival(client: HttpClient, rank: int) -> Callable[[int], Deferred[int]]:
    """Return a function that registers a rank's arrival at the barrier on rank 0."""

    def arrive(map_number: int) -> Deferred[int]:
        body = msgspec.json.encode({"rank": rank, "map": map_number})
        answer = client.fetch(
            "POST", "/group/arrive", timeout_s=_ARRIVE_TIMEOUT_S, body=body
        )
        return answer.addCallback(_decode_step)

    return arrive


def _decode_step(answer: HttpResponse) -> int:
    step = msgspec.json.decode(answer.body, type=dict[str, int])
    return step["step"]


def _send_step(request: Request, step: int) -> None:
    send_json(request, 200, {"step": step})


def _recent_steps(barrier: StepBarrier) -> dict[str, Any]:
    recent = list(barrier.maps_by_step.items())[-_MAX_RECENT_STEPS:]
    return {
        "step": barrier.step,
        "mixed": barrier.mixed_steps(),
        "last": [{"step": step, "maps": maps} for step, maps in recent],
    }


__all__ = ["GroupHandler", "GroupHub", "RankStepper", "remote_arrival"]
