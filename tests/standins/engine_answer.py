"""Whole and streamed answers of the engine stand-in to a chat call."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from tests.standins.http_helpers import send_json

if TYPE_CHECKING:
    from twisted.web.server import Request


class WholeAnswer:
    """A JSON answer that is sent when it is complete."""

    def __init__(self, request: Request, body: dict[str, Any]) -> None:
        self._request = request
        self._body = body
        self._tokens: list[str] = []

    def add_token(self, text: str) -> None:
        """Append a token to the answer."""
        self._tokens.append(text)

    def complete(self) -> None:
        """Send the complete answer."""
        message = {"role": "assistant", "content": "".join(self._tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        answer = {
            "object": "chat.completion",
            "model": self._body.get("model"),
            "choices": [choice],
            "usage": {"completion_tokens": len(self._tokens)},
        }
        send_json(self._request, 200, answer)


class StreamedAnswer:
    """An answer that is sent token by token as server-sent events."""

    def __init__(self, request: Request, body: dict[str, Any]) -> None:
        self._request = request
        self._body = body
        request.setHeader(b"content-type", b"text/event-stream")

    def add_token(self, text: str) -> None:
        """Send a token as an event."""
        self._write_event({"content": text}, None)

    def complete(self) -> None:
        """Send the final events and finish the request."""
        self._write_event({}, "stop")
        self._request.write(b"data: [DONE]\n\n")
        self._request.finish()

    def _write_event(self, delta: dict[str, str], finish_reason: str | None) -> None:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        event = {
            "object": "chat.completion.chunk",
            "model": self._body.get("model"),
            "choices": [choice],
        }
        self._request.write(b"data: " + json.dumps(event).encode() + b"\n\n")


Answer = WholeAnswer | StreamedAnswer

__all__ = ["Answer", "StreamedAnswer", "WholeAnswer"]
