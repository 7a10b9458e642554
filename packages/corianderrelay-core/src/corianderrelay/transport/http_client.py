"""HTTP calls that say exactly whether a failed call can have had an effect.

Nothing here repeats a call: whether that is allowed is decided by the caller.
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
from twisted.web.client import URI, Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

_CONNECT_TIMEOUT_S = 2.0
_IDLE_CONNECTION_S = 30
_CONNECTIONS_PER_HOST = 64
_NEVER_SENT = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
    internet_error.DNSLookupError,
    internet_error.TimeoutError,
    RequestNotSent,
)


class ResponseHead(Protocol):
    """The head of an answer; its body is delivered to a twisted protocol."""

    code: int
    headers: Headers

    def deliverBody(self, protocol: TwistedProtocol) -> None:
        """Pass the body on, then ``connectionLost`` with the reason of its end."""


class _Consumer(Protocol):
    def write(self, data: bytes) -> None: ...


class _Closable(Protocol):
    def loseConnection(self) -> None: ...


class HttpNotSentError(Exception):
    """No byte of the call reached the server."""


class HttpResponseLostError(Exception):
    """The call was sent, or may have been, and no whole answer came."""


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A whole answer.

    :param headers: values by header name in lower case.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def retry_after_s(self, default_s: float) -> float:
        """Return the ``Retry-After`` header in seconds, or the default."""
        try:
            return max(0.0, float(self.headers.get("retry-after", default_s)))
        except ValueError:
            return default_s


@implementer(IBodyProducer)
class BytesProducer:
    """Produces a request body that is in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: _Consumer) -> Deferred[None]:
        """Write the body at once."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body was written at once."""

    def resumeProducing(self) -> None:
        """Do nothing: the body was written at once."""

    def stopProducing(self) -> None:
        """Do nothing: the body was written at once."""


class HttpClient:
    """Keeps connections open between calls and never repeats a call by itself.

    :param base_url: scheme, address and port of the server, with no slash at the end.
    :param connect_timeout_s: how long a new connection may take, in seconds.
    """

    def __init__(
        self,
        reactor: ReactorBase,
        base_url: str,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
    ) -> None:
        self._reactor = reactor
        self._base_url = base_url
        self._pool = HTTPConnectionPool(reactor)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = _CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = _IDLE_CONNECTION_S
        self._agent = Agent.usingEndpointFactory(
            reactor,
            _EndpointFactory(reactor, connect_timeout_s),
            pool=self._pool,
        )

    def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Deferred[ResponseHead]:
        """Send a call and return its head; cancelling closes the connection.

        :raises HttpNotSentError: nothing was sent.
        :raises HttpAnswerLostError: the call may have been run.
        """
        sent_headers = Headers({name: [value] for name, value in headers.items()})
        producer = BytesProducer(body) if body else None
        response = self._agent.request(
            method.encode(),
            (self._base_url + path).encode(),
            sent_headers,
            cast("IBodyProducer | None", producer),
        )
        response.addErrback(_raise_typed)
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
        """Send a call and return its whole answer within ``timeout_s`` seconds.

        :raises HttpNotSentError: nothing was sent.
        :raises HttpAnswerLostError: the call may have been run.
        """
        answer = self.request(method, path, headers or {}, body).addCallback(_collect)
        answer.addTimeout(timeout_s, cast("Any", self._reactor), _on_timeout)
        return answer

    def close(self) -> Deferred[None]:
        """Close the connections that are kept open."""
        return cast("Deferred[None]", self._pool.closeCachedConnections())


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses with no resolver, which would use threads."""

    def __init__(self, reactor: ReactorBase, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> Any:
        """Return the endpoint of a URL's host and port."""
        host = uri.host.decode("ascii")
        endpoint = self._plain_endpoint(host, uri.port)
        if uri.scheme != b"https":
            return endpoint
        # Imported here only: a process without TLS keeps the library out of memory.
        from twisted.internet.endpoints import wrapClientTLS
        from twisted.internet.ssl import optionsForClientTLS

        return wrapClientTLS(optionsForClientTLS(host), cast("Any", endpoint))

    def _plain_endpoint(self, host: str, port: int) -> Any:
        reactor = cast("Any", self._reactor)
        if isIPAddress(host):
            return TCP4ClientEndpoint(reactor, host, port, self._timeout_s)
        if isIPv6Address(host):
            return TCP6ClientEndpoint(reactor, host, port, self._timeout_s)
        return HostnameEndpoint(reactor, host, port, self._timeout_s)


class _Collector(TwistedProtocol):
    """Collects a body and fires when it is whole."""

    def __init__(self, whole: Deferred[bytes]) -> None:
        self._whole = whole
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._whole.called:
            return
        if reason.check(ResponseDone):
            self._whole.callback(b"".join(self._parts))
        else:
            self._whole.errback(HttpResponseLostError(reason.getErrorMessage()))


def abort_body(protocol: TwistedProtocol) -> None:
    """Close the connection that delivers a body to ``protocol``."""
    if protocol.transport is not None:
        cast("_Closable", protocol.transport).loseConnection()


def content_type_of(response: ResponseHead) -> str:
    """Return the content type, or an empty string."""
    values = response.headers.getRawHeaders(b"content-type") or [b""]
    return str(values[-1], "latin-1")


def _collect(response: ResponseHead) -> Deferred[HttpResponse]:
    whole: Deferred[bytes] = Deferred(lambda _: abort_body(collector))
    collector = _Collector(whole)
    response.deliverBody(collector)
    headers = {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in response.headers.getAllRawHeaders()
    }
    return whole.addCallback(lambda body: HttpResponse(response.code, headers, body))


def _raise_typed(failure: Failure) -> Failure:
    if failure.check(HttpNotSentError, HttpResponseLostError):
        return failure
    if failure.check(*_NEVER_SENT):
        raise HttpNotSentError(failure.getErrorMessage()) from failure.value
    raise HttpResponseLostError(_reason(failure)) from failure.value


def _reason(failure: Failure) -> str:
    if failure.check(CancelledError):
        return "the call was cancelled"
    return failure.getErrorMessage()


def _on_timeout(result: object, timeout_s: float) -> None:
    if isinstance(result, Failure) and result.check(HttpNotSentError):
        result.raiseException()
    raise HttpResponseLostError(f"no whole answer within {timeout_s:g} s")


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
