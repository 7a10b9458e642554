"""Callers that reuse their connections and record the result of each request."""

from __future__ import annotations

import http.client
import itertools
import threading
from dataclasses import dataclass
from random import Random

from tests.harness.platform_system import API_KEY, HOST
from tests.standins.platform_runner import whole_stream

_FRONT_PORT = 8100
_REQUEST_TIMEOUT_S = 6.0
_PATHS = (
    "/orders/whole",
    "/orders/whole",
    "/orders/lost",
    "/orders/reject",
    "/stock/whole",
    "/stock/error-once-{}",
    "/stream/whole",
    "/stream/torn-once-{}",
)


@dataclass(frozen=True)
class CallerResult:
    """Response to one request; ``status`` is 0 if the connection broke."""

    request_id: str
    path: str
    status: int
    body: bytes

    @property
    def expected_body(self) -> bytes:
        """The complete body of a successful response to this request."""
        return whole_stream() if self.path.startswith("/stream") else b"body"


class Caller(threading.Thread):
    """Sends one request after another from a thread, each with a unique id."""

    _request_numbers = itertools.count()

    def __init__(self, hosts: list[str], seed: int) -> None:
        super().__init__(daemon=True)
        self._hosts = hosts
        self._random = Random(seed)
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self.stop_requested = threading.Event()
        self.results: list[CallerResult] = []

    def run(self) -> None:
        """Send requests until ``stop_requested`` is set."""
        while not self.stop_requested.is_set():
            number = next(self._request_numbers)
            path = self._random.choice(_PATHS).format(number)
            self.results.append(self.send_request(f"soak-{number}", path))
            self.stop_requested.wait(self._random.uniform(0.0, 0.05))

    def send_request(self, request_id: str, path: str) -> CallerResult:
        """Send one request on the open connection, or on a new one after a failure."""
        host = self._random.choice(self._hosts)
        connection = self._connections.get(host)
        if connection is None:
            connection = http.client.HTTPConnection(
                host, _FRONT_PORT, _REQUEST_TIMEOUT_S
            )
            self._connections[host] = connection
        headers = {
            "Host": HOST,
            "Authorization": f"Token {API_KEY}",
            "Corianderrelay-Request-Id": request_id,
            "Corianderrelay-Deadline-Ms": "4000",
        }
        try:
            connection.request("POST", path, b"{}", headers)
            response = connection.getresponse()
            return CallerResult(request_id, path, response.status, response.read())
        except (OSError, http.client.HTTPException):
            connection.close()
            del self._connections[host]
            return CallerResult(request_id, path, 0, b"")


__all__ = ["Caller", "CallerResult"]
