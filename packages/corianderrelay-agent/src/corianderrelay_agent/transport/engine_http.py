"""HTTP adapter for an engine or plain service: calls, load reports and orders."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, cast

import eliot
import msgspec
from twisted.internet.protocol import Protocol as TwistedProtocol, connectionDone
from twisted.web.client import ResponseDone

from corianderrelay.protocol.foreign_record import MalformedRecordError, decode_record
from corianderrelay.state.errors import (
    EndpointFailedError,
    FencedError,
    Ran,
    UnavailableError,
)
from corianderrelay.state.retry_after import parse_retry_after
from corianderrelay.transport.http_client import (
    HttpClient,
    HttpNotSentError,
    HttpResponse,
    abort_body,
    content_type_of,
)

from ..coordination.engine import EngineLoad
from ..state.engine_pace import EngineStatement, parse_limit

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from corianderrelay.state.errors import RelayError
    from corianderrelay.transport.http_client import ResponseHead

    from ..coordination.engine import AnswerSink, EngineCall, EngineOrder

_CONTROL_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0
_LIMIT_HEADER = b"x-max-requests-per-second"
_MAX_LOGGED_BYTES = 24
_MAX_REPORT_BYTES = 65_536
_OK = 200
_UNAVAILABLE = 503
_CONFLICT = 409
_NO_EFFECT_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 429, 503})


class _LoadReport(msgspec.Struct):
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    tokens_per_s: float = 0.0
    age_s: float = 0.0


_LOAD_DECODER = msgspec.json.Decoder(_LoadReport, strict=False)


class HttpEngine:
    """Implements :class:`~..coordination.engine.Engine`.

    :param base_url: for example ``http://127.0.0.1:8000``.
    """

    def __init__(self, reactor: ReactorBase, base_url: str) -> None:
        self._reactor = reactor
        self._client = HttpClient(reactor, base_url)

    def start_call(self, call: EngineCall, sink: AnswerSink) -> HttpRunningCall:
        """Start a call and pass its answer to ``sink`` as it arrives.

        The sink receives no callback before this method has returned.
        """
        running = HttpRunningCall(sink)
        headers = dict(call.headers)
        if call.content_type:
            headers["Content-Type"] = call.content_type
        running.relay_response(
            self._client.request(call.method, call.path, headers, call.body)
        )
        return running

    def check_reachable(self) -> Deferred[bool]:
        """Return whether the engine accepts connections; see ``Engine``."""
        answer = self._client.fetch("GET", "/load", timeout_s=_CONTROL_TIMEOUT_S)
        return answer.addCallbacks(
            lambda _: True, lambda failure: not failure.check(HttpNotSentError)
        )

    def fetch_load(self) -> Deferred[EngineLoad]:
        """Fetch the load report; see ``Engine``."""
        answer = self._client.fetch("GET", "/load", timeout_s=_CONTROL_TIMEOUT_S)
        return answer.addCallbacks(_parse_load, _raise_load_error)

    def send_order(self, order: EngineOrder) -> Deferred[None]:
        """Send an order to the engine; see ``Engine``."""
        body = msgspec.json.encode({"action": order.action, "name": order.name})
        answer = self._client.fetch(
            "POST",
            "/orders",
            timeout_s=_CONTROL_TIMEOUT_S,
            headers={
                "Content-Type": "application/json",
                "X-Fencing-Token": str(order.fencing_token),
            },
            body=body,
        )
        return answer.addCallbacks(_check_order_status, _raise_order_error)

    def close(self) -> Deferred[None]:
        """Close the idle persistent connections."""
        return self._client.close()


class HttpRunningCall:
    """Relays one answer; implements :class:`~..coordination.engine.RunningCall`."""

    __slots__ = ("_sink", "_response", "_body", "_ended")

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink
        self._response: Deferred[ResponseHead] | None = None
        self._body: _BodyRelay | None = None
        self._ended = False

    def relay_response(self, response: Deferred[ResponseHead]) -> None:
        """Relay the answer to the sink once ``response`` fires."""
        self._response = response
        response.addCallbacks(self._on_head, self._on_request_failed)

    def cancel(self) -> None:
        """Close the connection; the sink receives no further callbacks."""
        if self._ended:
            return
        self._ended = True
        if self._body is not None:
            abort_body(self._body)
        elif self._response is not None:
            self._response.cancel()

    def pause(self) -> None:
        """Stop reading the body."""
        if self._body is not None and not self._ended:
            cast("Any", self._body.transport).pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self._body is not None and not self._ended:
            cast("Any", self._body.transport).resumeProducing()

    def on_data(self, data: bytes) -> None:
        """Pass body bytes to the sink."""
        if not self._ended:
            self._sink.on_data(data)

    def on_body_ended(self, reason: Failure) -> None:
        """Notify the sink that the body is complete or was truncated."""
        if self._ended:
            return
        self._ended = True
        if reason.check(ResponseDone):
            self._sink.on_end()
        else:
            self._sink.on_failure(_failed_call(reason.getErrorMessage()))

    def _on_head(self, response: ResponseHead) -> None:
        self._body = _BodyRelay(self)
        if not self._ended:
            self._sink.on_statement(_read_statement(response))
        if not self._ended:
            self._sink.on_head(response.code, content_type_of(response))
        response.deliverBody(self._body)
        if self._ended:
            abort_body(self._body)

    def _on_request_failed(self, failure: Failure) -> None:
        if self._ended:
            return
        self._ended = True
        self._sink.on_failure(_request_error(failure))


class _BodyRelay(TwistedProtocol):
    """Receives a body from twisted.web and passes it to the running call."""

    def __init__(self, running: HttpRunningCall) -> None:
        self._running = running

    def dataReceived(self, data: bytes) -> None:
        self._running.on_data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._running.on_body_ended(reason)


def _read_statement(response: ResponseHead) -> EngineStatement:
    return EngineStatement(_read_limit(response), _read_rest_s(response))


def _read_limit(response: ResponseHead) -> float | None:
    values = response.headers.getRawHeaders(_LIMIT_HEADER) or []
    limit_per_s = parse_limit(str(values[0], "latin-1")) if values else None
    if values and (limit_per_s is None or len(set(values)) > 1):
        _log_unreadable("agent:limit_unreadable", values)
        return None
    return limit_per_s


def _read_rest_s(response: ResponseHead) -> float:
    values = response.headers.getRawHeaders(b"retry-after") or []
    if response.code != _UNAVAILABLE or not values:
        return 0.0
    dates = response.headers.getRawHeaders(b"date") or [b""]
    rest_s = parse_retry_after(
        str(values[-1], "latin-1"), str(dates[-1], "latin-1"), datetime.now(UTC)
    )
    if rest_s is None:
        _log_unreadable("agent:rest_unreadable", values)
        return 0.0
    return rest_s


def _log_unreadable(message_type: str, values: Sequence[bytes]) -> None:
    text = str(b", ".join(values)[:_MAX_LOGGED_BYTES], "latin-1")
    eliot.log_message(message_type=message_type, stated=text)


def _request_error(failure: Failure) -> RelayError:
    if failure.check(HttpNotSentError):
        return _unavailable(failure.getErrorMessage())
    return _failed_call(failure.getErrorMessage())


def _unavailable(reason: str) -> UnavailableError:
    return UnavailableError(
        f"the engine is unavailable: {reason}",
        "check that it runs at `endpoint.url`, or use another endpoint",
        ran=Ran.NO,
        retry_after_s=_RETRY_AFTER_S,
    )


def _failed_call(reason: str) -> EndpointFailedError:
    return EndpointFailedError(
        f"the call to the engine failed after it was sent: {reason}",
        "retry the request only if it is idempotent",
        ran=Ran.UNKNOWN,
    )


def _parse_load(answer: HttpResponse) -> EngineLoad:
    try:
        report = decode_record(_LOAD_DECODER, answer.body, _MAX_REPORT_BYTES)
    except MalformedRecordError as error:
        raise _unavailable(f"the load report is malformed: {error}") from error
    return EngineLoad(
        report.running,
        report.queued,
        report.queued_tokens,
        report.tokens_per_s,
        report.age_s,
    )


def _raise_load_error(failure: Failure) -> EngineLoad:
    raise _unavailable(failure.getErrorMessage())


def _check_order_status(answer: HttpResponse) -> None:
    if answer.status == _CONFLICT:
        raise FencedError(
            "the engine has accepted a higher fencing token before",
            "stop sending orders: another coordinator has taken over",
        )
    if answer.status in _NO_EFFECT_STATUSES:
        raise _unavailable(f"it refused the order with status {answer.status}")
    if answer.status != _OK:
        raise _failed_call(f"it answered the order with status {answer.status}")


def _raise_order_error(failure: Failure) -> None:
    raise _request_error(failure)


__all__ = ["HttpEngine", "HttpRunningCall"]
