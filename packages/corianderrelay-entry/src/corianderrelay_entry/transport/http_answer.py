"""Writes answers, errors and JSON responses to HTTP requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..protocol.error_body import error_body, retry_after_header

if TYPE_CHECKING:
    from twisted.web.server import Request

    from corianderrelay.coordination.clock import Clock, DelayedCall
    from corianderrelay.state.errors import RelayError

_KEEP_ALIVE_COMMENT = b": keep-alive\n\n"
_DONE_EVENT = b"data: [DONE]\n\n"
_EVENT_STREAM = "text/event-stream"


def write_error(request: Request, error: RelayError, request_id: str) -> None:
    """Write an error response and finish the request."""
    request.setResponseCode(error.http_status)
    retry_after = retry_after_header(error)
    if retry_after is not None:
        request.setHeader(b"retry-after", retry_after)
    write_json(request, error_body(error, request_id))


def write_json(request: Request, body: bytes) -> None:
    """Write a JSON response and finish the request."""
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


class BufferedAnswer:
    """Buffers an answer and sends it once it is complete."""

    __slots__ = ("_request", "_request_id", "_parts", "_status", "_content_type")

    def __init__(self, request: Request, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._parts: list[bytes] = []
        self._status = 200
        self._content_type = ""

    def start(self, status: int, content_type: str) -> None:
        """Set status and content type and clear the buffer; see ``AnswerSink``."""
        self._parts.clear()
        self._status = status
        self._content_type = content_type

    def write(self, data: bytes) -> None:
        """Append data to the buffer; see ``AnswerSink``."""
        self._parts.append(data)

    def finish(self) -> None:
        """Send the buffered answer; see ``AnswerSink``."""
        body = b"".join(self._parts)
        self._request.setResponseCode(self._status)
        self._request.setHeader(b"content-type", self._content_type.encode())
        self._request.setHeader(b"content-length", str(len(body)).encode())
        self._request.write(body)
        self._request.finish()

    def fail(self, error: RelayError) -> None:
        """Send the error instead of the answer; see ``AnswerSink``."""
        write_error(self._request, error, self._request_id)


class StreamedAnswer:
    """Forwards an answer as it arrives; sends SSE comments while no data arrives.

    :param keep_alive_s: seconds without data after which a comment is sent.
    """

    __slots__ = (
        "_request",
        "_request_id",
        "_clock",
        "_keep_alive_s",
        "_timer",
        "_started",
        "_is_event_stream",
    )

    def __init__(
        self,
        request: Request,
        request_id: str,
        clock: Clock,
        keep_alive_s: float,
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._clock = clock
        self._keep_alive_s = keep_alive_s
        self._timer: DelayedCall | None = None
        self._started = False
        self._is_event_stream = False

    def start(self, status: int, content_type: str) -> None:
        """Send status and headers; later calls are ignored; see ``AnswerSink``."""
        if self._started:
            return
        self._started = True
        self._is_event_stream = content_type.startswith(_EVENT_STREAM)
        self._request.setResponseCode(status)
        self._request.setHeader(b"content-type", content_type.encode())
        self._request.setHeader(b"cache-control", b"no-store")
        if self._is_event_stream:
            self._timer = self._clock.callLater(self._keep_alive_s, self._send_comment)

    def write(self, data: bytes) -> None:
        """Send data and restart the keep-alive timer; see ``AnswerSink``."""
        self._request.write(data)
        if self._timer is not None and self._timer.active():
            self._timer.reset(self._keep_alive_s)

    def finish(self) -> None:
        """Finish the request, after a final event if it is SSE; see ``AnswerSink``."""
        self.stop()
        if self._is_event_stream:
            self._request.write(_DONE_EVENT)
        self._request.finish()

    def fail(self, error: RelayError) -> None:
        """Send the error, as an SSE event if the answer has started.

        See ``AnswerSink``.
        """
        self.stop()
        if not self._started:
            write_error(self._request, error, self._request_id)
            return
        event = b"event: error\ndata: " + error_body(error, self._request_id) + b"\n\n"
        self._request.write(event)
        self._request.finish()

    def stop(self) -> None:
        """Cancel the keep-alive timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _send_comment(self) -> None:
        self._request.write(_KEEP_ALIVE_COMMENT)
        self._timer = self._clock.callLater(self._keep_alive_s, self._send_comment)


__all__ = ["StreamedAnswer", "BufferedAnswer", "write_error", "write_json"]
