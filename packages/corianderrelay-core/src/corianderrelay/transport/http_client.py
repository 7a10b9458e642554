"""HTTP client whose errors say whether a failed request may have had an effect.

The client never retries: only the calling code knows whether a request may run twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol, cast

from twisted.internet import error as internet_error
from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.protocol import Protocol as TwistedProtocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import RequestNotSent
from twisted.web.client import URI, Agent, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from ..state.http_status import is_final_status
from .strict_status import StrictConnectionPool

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

_CONNECT_TIMEOUT_S = 2.0
_IDLE_TIMEOUT_S = 30
_MAX_IDLE_CONNECTIONS_PER_HOST = 64
_NOT_SENT_ERRORS = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
    internet_error.DNSLookupError,
    internet_error.TimeoutError,
    RequestNotSent,
)


class ResponseHead(Protocol):
    """Status and headers of a response; a Twisted protocol receives the body."""

    code: int
    headers: Headers

    def deliverBody(self, protocol: TwistedProtocol) -> None:
        """Deliver the body, then call ``connectionLost`` with the reason of its end."""


class _Consumer(Protocol):
    def write(self, data: bytes) -> None: ...


class _Closable(Protocol):
    def loseConnection(self) -> None: ...


class HttpNotSentError(Exception):
    """No byte of the request reached the server."""


class HttpResponseLostError(Exception):
    """The request may have been executed, but no complete response was received."""


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A complete response.

    :param headers: values by lower-case header name; of repeated headers the last.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def retry_after_s(self, default_s: float) -> float:
        """Return ``Retry-After`` in seconds; the default if missing or not a number."""
        try:
            return max(0.0, float(self.headers.get("retry-after", default_s)))
        except ValueError:
            return default_s


@implementer(IBodyProducer)
class BytesProducer:
    """Produces a request body from memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: _Consumer) -> Deferred[None]:
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the whole body has already been written."""

    def resumeProducing(self) -> None:
        """Do nothing: the whole body has already been written."""

    def stopProducing(self) -> None:
        """Do nothing: the whole body has already been written."""


class HttpClient:
    """Sends requests over persistent connections and never retries one.

    :param base_url: scheme, address and port of the server, without trailing slash.
    :param connect_timeout_s: timeout for opening a connection, in seconds.
    :param max_body_bytes: longest body that ``fetch`` accepts; ``None`` for any.
    """

    def __init__(
        self,
        reactor: ReactorBase,
        base_url: str,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
        max_body_bytes: int | None = None,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._reactor = reactor
        self._base_url = base_url
        self._pool = StrictConnectionPool(reactor)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = _MAX_IDLE_CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = _IDLE_TIMEOUT_S
        self._agent = Agent.usingEndpointFactory(
            reactor,
            _EndpointFactory(reactor, connect_timeout_s),
            pool=self._pool,
        )

    def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Deferred[ResponseHead]:
        """Send a request and return the response head; a cancel closes the connection.

        :raises HttpNotSentError: the request was not sent.
        :raises HttpResponseLostError: the request may have been executed.
        """
        sent_headers = Headers({name: [value] for name, value in headers.items()})
        producer = BytesProducer(body) if body else None
        response = self._agent.request(
            method.encode(),
            (self._base_url + path).encode(),
            sent_headers,
            cast("IBodyProducer | None", producer),
        )
        response.addCallbacks(_check_status, _raise_http_error)
        return cast("Deferred[ResponseHead]", response)

    def fetch(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Deferred[HttpResponse]:
        """Send a request and return the complete response within ``timeout_s`` seconds.

        :raises HttpNotSentError: the request was not sent.
        :raises HttpResponseLostError: the request may have been executed.
        """
        http_response = self.request(method, path, headers or {}, body).addCallback(
            _read_body, self._max_body_bytes
        )
        http_response.addTimeout(
            timeout_s, cast("Any", self._reactor), self._on_timeout
        )
        return http_response

    def _on_timeout(self, result: object, timeout_s: float) -> None:
        if isinstance(result, Failure) and result.check(HttpNotSentError):
            result.raiseException()
        # Idle connections may be as silent as this one.
        self.close()
        raise HttpResponseLostError(f"no complete response within {timeout_s:g} s")

    def close(self) -> Deferred[None]:
        """Close the idle persistent connections."""
        return cast("Deferred[None]", self._pool.closeCachedConnections())


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses without the resolver, which would start threads."""

    def __init__(self, reactor: ReactorBase, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> Any:
        """Return the endpoint for a URL's host and port."""
        host = uri.host.decode("ascii")
        endpoint = self._tcp_endpoint(host, uri.port)
        if uri.scheme != b"https":
            return endpoint
        # Imported only here, so that a process without TLS does not load the library.
        from twisted.internet.endpoints import wrapClientTLS
        from twisted.internet.ssl import optionsForClientTLS

        return wrapClientTLS(optionsForClientTLS(host), cast("Any", endpoint))

    def _tcp_endpoint(self, host: str, port: int) -> Any:
        reactor = cast("Any", self._reactor)
        if isIPAddress(host):
            return TCP4ClientEndpoint(reactor, host, port, self._timeout_s)
        if isIPv6Address(host):
            return TCP6ClientEndpoint(reactor, host, port, self._timeout_s)
        return HostnameEndpoint(reactor, host, port, self._timeout_s)


class _BodyCollector(TwistedProtocol):
    """Collects a body and fires a deferred when it is complete."""

    def __init__(self, completed: Deferred[bytes], max_bytes: int | None) -> None:
        self._completed = completed
        self._max_bytes = max_bytes
        self._body = bytearray()

    def dataReceived(self, data: bytes) -> None:
        if self._completed.called:
            return
        self._body += data
        if self._max_bytes is not None and len(self._body) > self._max_bytes:
            self._body.clear()
            reason = f"the body is longer than {self._max_bytes} bytes"
            self._completed.errback(HttpResponseLostError(reason))
            abort_body(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._completed.called:
            return
        if reason.check(ResponseDone):
            self._completed.callback(bytes(self._body))
        else:
            self._completed.errback(HttpResponseLostError(reason.getErrorMessage()))


def abort_body(protocol: TwistedProtocol) -> None:
    """Close the connection that delivers a body to ``protocol``, if it is open."""
    if protocol.transport is not None:
        cast("_Closable", protocol.transport).loseConnection()


def content_type_of(response: ResponseHead) -> str:
    """Return the content type, or an empty string if there is none."""
    values = response.headers.getRawHeaders(b"content-type") or [b""]
    return str(values[-1], "latin-1")


def _read_body(response: ResponseHead, max_bytes: int | None) -> Deferred[HttpResponse]:
    completed: Deferred[bytes] = Deferred(lambda _: abort_body(collector))
    collector = _BodyCollector(completed, max_bytes)
    response.deliverBody(collector)
    headers = {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in response.headers.getAllRawHeaders()
    }
    return completed.addCallback(
        lambda body: HttpResponse(response.code, headers, body)
    )


def _check_status(response: Any) -> Any:
    if is_final_status(response.code):
        return response
    response.deliverBody(closing := TwistedProtocol())
    abort_body(closing)
    raise HttpResponseLostError(f"the status {response.code} is not that of an answer")


def _raise_http_error(failure: Failure) -> Failure:
    if failure.check(HttpNotSentError, HttpResponseLostError):
        return failure
    if failure.check(*_NOT_SENT_ERRORS):
        raise HttpNotSentError(failure.getErrorMessage()) from failure.value
    raise HttpResponseLostError(_failure_reason(failure)) from failure.value


def _failure_reason(failure: Failure) -> str:
    if failure.check(CancelledError):
        return "the request was cancelled"
    return failure.getErrorMessage()


__all__ = [
    "BytesProducer",
    "HttpResponse",
    "HttpResponseLostError",
    "HttpClient",
    "HttpNotSentError",
    "ResponseHead",
    "abort_body",
    "content_type_of",
]
