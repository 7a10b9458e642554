"""HTTP handler of the instance-list stand-in."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from tests.standins.http_helpers import json_of, method_of, send_json

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from tests.standins.instances_core import InstanceHistory


class InstancesHandler:
    """Serves the list; tests add and remove instances over the same interface."""

    def __init__(self, history: InstanceHistory, reactor: ReactorBase) -> None:
        self._history = history
        self._reactor = reactor

    def handle(self, request: Request, parts: list[str]) -> None:
        """Answer one request."""
        now = self._reactor.seconds()
        match method_of(request), parts:
            case "GET", ["instances"] if self._history.faults.outage:
                send_json(request, 503, {"error": "out"}, retry_after="1")
            case "GET", ["instances"]:
                send_json(
                    request, 200, {"instances": self._history.visible_instances(now)}
                )
            case "PUT", ["instances", instance_id]:
                self._history.put(instance_id, json_of(request), now)
                send_json(request, 200, {"stored": True})
            case "DELETE", ["instances", instance_id]:
                self._history.remove(instance_id, now)
                send_json(request, 200, {"removed": True})
            case "POST", ["control"]:
                for name, value in json_of(request).items():
                    setattr(self._history.faults, name, value)
                send_json(request, 200, asdict(self._history.faults))
            case _:
                send_json(request, 404, {"error": "no such route"})


__all__ = ["InstancesHandler"]
