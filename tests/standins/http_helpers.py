"""HTTP helpers of the stand-ins, based on twisted.web."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

_HTTP_PREFIX = "HTTP/"


class HandlerResource(Resource):
    """A leaf resource that passes every request to one handler.

    :param handle: called with the request and its path segments; sends the answer.
    """

    isLeaf = True

    def __init__(self, handle: Callable[[Request, list[str]], None]) -> None:
        super().__init__()
        self._handle = handle

    def render(self, request: Request) -> int:
        """Pass the request to the handler, which finishes it."""
        parts = [part.decode() for part in request.postpath or [] if part]
        self._handle(request, parts)
        return NOT_DONE_YET


def method_of(request: Request) -> str:
    """Return the HTTP method."""
    return request.method.decode()


def body_of(request: Request) -> bytes:
    """Return the request body."""
    content = request.content
    assert content is not None
    return bytes(content.read())


def json_of(request: Request) -> dict[str, Any]:
    """Return the body as a JSON object; an empty body gives an empty object."""
    body = body_of(request)
    parsed = json.loads(body) if body else {}
    assert isinstance(parsed, dict)
    return parsed


def header_of(request: Request, name: str) -> str:
    """Return a request header, or an empty string if it is missing."""
    return request.getHeader(name) or ""


def argument_of(request: Request, name: str, default: float) -> float:
    """Return a numeric query argument, or ``default`` if it is missing."""
    values = (request.args or {}).get(name.encode())
    return float(values[0]) if values else default


def send(
    request: Request, status: int, body: bytes, content_type: str, **headers: str
) -> None:
    """Send a complete answer; header names are given with ``_`` instead of ``-``."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", content_type.encode())
    for name, value in headers.items():
        request.setHeader(name.replace("_", "-").encode(), value.encode())
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def send_json(request: Request, status: int, value: object, **headers: str) -> None:
    """Send a complete JSON answer."""
    send(request, status, json.dumps(value).encode(), "application/json", **headers)


def abort_connection(request: Request) -> None:
    """Abort the connection without an answer."""
    channel: Any = request.channel
    if channel is not None:
        channel.transport.abortConnection()


__all__ = [
    "HandlerResource",
    "argument_of",
    "body_of",
    "abort_connection",
    "header_of",
    "json_of",
    "method_of",
    "send",
    "send_json",
]
