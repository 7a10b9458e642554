"""HTTP server with limits on header size, body size and receive time.

Bodies are buffered in memory, because the instances have no disks.
"""

from __future__ import annotations

import resource
from io import BytesIO
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import connectionDone
from twisted.web import http
from twisted.web.server import Request, Site

from corianderrelay.state.errors import InvalidRequestError, TooLargeError

from ..coordination.direct.connection_guard import ConnectionGuard
from ..protocol.error_body import error_body

if TYPE_CHECKING:
    from twisted.python.failure import Failure
    from twisted.web.resource import Resource

    from corianderrelay.coordination.clock import Clock
    from corianderrelay.state.errors import RelayError

_MAX_REQUESTS_PER_TURN = 8  # of one connection, before others are read
# Of the descriptors, a half is for callers, a sixteenth for operators. Agents, the log
# and the process itself have the rest.
CALLERS_SHARE = 0.5
OPERATORS_SHARE = 0.0625
# A connection can hold 16 kB of a head, 16 kB ahead and 64 kB of unread answers.
_MAX_CONNECTIONS = 2048
_ERROR_HEAD = (
    b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n"
)


def _error_response(status: bytes, error: RelayError) -> bytes:
    body = error_body(error, "")
    return _ERROR_HEAD % (status, len(body)) + body


class LimitedRequest(Request):
    """A request with limits on the size of its body and the time to receive it."""

    body_timeout: Any = None
    rejected = False

    def gotLength(self, length: int | None) -> None:
        """Check the declared length and start the body timeout; called by Twisted.

        :param length: length in bytes; ``None`` for a chunked body.
        """
        site = self._site
        self.body_timeout = site.clock.callLater(
            site.receive_body_s, self._abort_slow_body
        )
        if length is not None and length > site.max_body_bytes:
            self._reject_too_large()
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Append data to the body, up to the limit; called by Twisted."""
        assert self.content is not None
        if self.content.tell() + len(data) > self._site.max_body_bytes:
            self._reject_too_large()
        if not self.rejected:
            self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process the request once its body is complete; called by Twisted."""
        self._cancel_body_timeout()
        if version == b"HTTP/1.1" and not self.requestHeaders.hasHeader(b"host"):
            self.rejected = True
            self.channel._respondToBadRequestAndDisconnect()
        if not self.rejected:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason: Any) -> None:
        """Cancel the body timeout; called by Twisted."""
        self._cancel_body_timeout()
        super().connectionLost(reason)

    @property
    def _site(self) -> LimitedSite:
        channel: Any = self.channel
        site: LimitedSite = channel.site
        return site

    def _cancel_body_timeout(self) -> None:
        if self.body_timeout is not None and self.body_timeout.active():
            self.body_timeout.cancel()

    def _abort_slow_body(self) -> None:
        self.channel.forceAbortClient()

    def _reject_too_large(self) -> None:
        if self.rejected:
            return
        self.rejected = True
        error = TooLargeError(
            f"the body is larger than {self._site.max_body_bytes} bytes",
            "send a smaller body",
        )
        connection: Any = self.channel.transport
        connection.write(_error_response(b"413 Content Too Large", error))
        self.channel.loseConnection()


class LimitedChannel(http.HTTPChannel):
    """A client connection with a limit on the size of request headers."""

    _requests_in_turn = 0
    _next_turn: Any = None

    def connectionMade(self) -> None:
        """Set the header limit of this connection; called by Twisted."""
        self.totalHeadersSize = self.factory.max_header_bytes
        super().connectionMade()

    def allContentReceived(self) -> None:
        """Keep the connection open while its request is handled; called by Twisted."""
        self.factory.guard.start_request(self)
        super().allContentReceived()

    def requestDone(self, request: http.Request) -> None:
        """Go on with the next request, if answers are read; called by Twisted."""
        self.factory.guard.await_request(self)
        self._requests_in_turn += 1
        super().requestDone(request)
        if self._next_turn is None:
            self._next_turn = self.factory.clock.callLater(0.0, self._start_turn)
        is_late = self._requests_in_turn >= _MAX_REQUESTS_PER_TURN
        if self.persistent and (self._waitingForTransport or is_late):
            self.paused = True
            self._network.pauseProducing()

    def resumeProducing(self) -> None:
        """Go on with the next request: answers were read; called by Twisted."""
        super().resumeProducing()
        if self.paused and self._next_turn is None:
            self._start_turn()

    @property
    def _network(self) -> Any:
        return self._networkProducer

    def _start_turn(self) -> None:
        self._next_turn = None
        self._requests_in_turn = 0
        transport: Any = self.transport
        if self.paused and not (self._waitingForTransport or transport.disconnecting):
            self.paused = False
            self._network.resumeProducing()
            self.dataReceived(b"")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Forget the connection; called by Twisted."""
        self.factory.guard.remove(self)
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None
        super().connectionLost(reason)

    def drop_unread(self) -> None:
        """Close the connection at once."""
        self.forceAbortClient()

    def drop_received(self) -> None:
        """Close the connection at once."""
        self.forceAbortClient()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Reject a header line that is over the limit; called by Twisted."""
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:
        # Overrides Twisted's response, which has no body, to send the error as JSON.
        error = InvalidRequestError(
            "the request line or a header is malformed or over the limit",
            "send HTTP/1.1 with headers within the limit",
        )
        connection: Any = self.transport
        connection.write(_error_response(b"400 Bad Request", error))
        self.loseConnection()


class LimitedSite(Site):
    """A site that enforces size and time limits on requests.

    :param resource: root resource.
    :param clock: the reactor.
    :param max_body_bytes: maximum size of a body.
    :param max_header_bytes: maximum total size of the header lines of a request.
    :param receive_body_s: seconds within which the body must arrive.
    :param idle_s: seconds after which an idle connection is closed.
    :param guard: bounds the connections.
    :param descriptors_share: share of the process's descriptors for connections.
    """

    def __init__(
        self,
        resource: Resource,
        clock: Clock,
        *,
        max_body_bytes: int,
        max_header_bytes: int,
        receive_body_s: float,
        idle_s: float,
        guard: ConnectionGuard,
        descriptors_share: float,
    ) -> None:
        root: Any = resource
        super().__init__(root, requestFactory=LimitedRequest, timeout=idle_s)
        self.clock = clock
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes
        self.receive_body_s = receive_body_s
        self._descriptors_share = descriptors_share
        self.guard = guard
        self.displayTracebacks = False
        self.noisy = False

    protocol: Any = LimitedChannel

    def buildProtocol(self, addr: Any) -> Any:
        """Return the channel of a new connection; ``None`` closes it."""
        # Read each time, as operators may change it while the process runs.
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        limit = min(int(self._descriptors_share * descriptors), _MAX_CONNECTIONS)
        self.guard.max_connections = max(limit, 1)
        if not self.guard.make_room():
            return None
        channel: Any = super().buildProtocol(addr)
        self.guard.add(channel)
        return channel

    def log(self, request: http.Request) -> None:
        """Disable Twisted's access log; each request is logged as an Eliot action."""


__all__ = ["LimitedRequest", "LimitedSite"]
