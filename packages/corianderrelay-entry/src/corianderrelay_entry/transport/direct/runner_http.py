"""The HTTP/1.1 client for runners, based on h11, with strict connection reuse.

A connection is reused only if every byte received on it belonged to the answer to a
request. Unexpected bytes close it. A late answer to an earlier request is recognised
by its request id and skipped; one without an id ends the connection if it has carried
another request.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, cast

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from corianderrelay.state.http_status import is_final_status

from .caller_http import end_to_end_headers
from .socket_options import enable_dead_peer_detection

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...coordination.direct.ports import AttemptListener, Dialect, RunnerRequest
    from ...state.direct.call import Headers
    from ...state.direct.runner_list import RegisteredRunner

_CONNECT_TIMEOUT_S = 0.4  # connecting takes a few ms; a lost SYN is resent after 1 s
_MAX_IDLE_S = 8.0  # shorter than the usual idle timeouts of servers
# The server starts its idle timer before its answer arrives here.
_KEEP_ALIVE_MARGIN_S = 1.0
_MAX_IDLE_PER_RUNNER = 6  # the usual number of slots of a runner
_MAX_HEAD_BYTES = 65_536  # a runner that sends a longer head does not speak HTTP
# Late answers to other requests are skipped up to this size.
_MAX_SKIPPED_BYTES = 1_048_576
_MAX_INTERIM_ANSWERS = 16  # servers send one or two; each costs as much as an answer


class RunnerConnection(Protocol):
    """One connection to a runner; carries at most one request at a time."""

    def __init__(self, owner: RunnerPool, runner_id: str) -> None:
        self._owner = owner
        self._runner_id = runner_id
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._request: RunnerRequest | None = None
        self._listener: AttemptListener | None = None
        self._skipping_answer = False
        self._skipped_bytes = 0
        self._interim_answers = 0
        self._answered_before = False
        self._idle_limit_s = _MAX_IDLE_S
        self.idle_until = 0.0
        self.open = False

    def connectionMade(self) -> None:
        """Set socket options."""
        self.open = True
        enable_dead_peer_detection(self.transport)
        cast("Any", self.transport).setTcpNoDelay(True)

    def send_request(self, request: RunnerRequest, listener: AttemptListener) -> None:
        """Send a request on the connection."""
        self._request = request
        self._listener = listener
        self._skipped_bytes = 0
        self._interim_answers = 0
        self._write_request(to_wire=True)

    def cancel(self) -> None:
        """Close the connection and discard its answer."""
        self._listener = None
        self._abort()

    def pause(self) -> None:
        """Stop reading."""
        if self.open:
            cast("Any", self.transport).pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self.open:
            cast("Any", self.transport).resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Parse received data; close the connection if no answer is due."""
        if self._request is None:
            self._abort()
            return
        self._skipped_bytes += len(data)
        try:
            self._http.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._fail(f"the runner's answer is not valid HTTP: {error}")
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            self._fail(
                f"the runner sent {self._skipped_bytes} bytes without an answer to "
                "this request"
            )

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the current answer, complete or not, and leave the pool."""
        self.open = False
        self._owner.remove_idle(self._runner_id, self)
        if self._listener is None:
            return
        if not reason.check(connectionDone.type):
            self._fail(f"the connection was lost: {reason.getErrorMessage()}")
            return
        try:
            self._http.receive_data(b"")
            self._parse()
        except h11.RemoteProtocolError:
            pass  # a truncated answer is reported below
        if self._listener is not None:
            self._fail(
                "the runner closed the connection before the answer was complete"
            )

    def _write_request(self, *, to_wire: bool) -> None:
        request = cast("RunnerRequest", self._request)
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        events: list[Any] = [
            h11.Request(method=request.method, target=request.target, headers=headers)
        ]
        if request.body:
            events.append(h11.Data(data=request.body))
        events.append(h11.EndOfMessage())
        data = b"".join(self._http.send(event) or b"" for event in events)
        if to_wire:
            cast("Any", self.transport).write(data)

    def _parse(self) -> None:
        while self._request is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._on_head(event)
            elif isinstance(event, h11.InformationalResponse):
                self._on_interim_answer()
            elif isinstance(event, h11.Data):
                if not self._skipping_answer and self._listener is not None:
                    self._skipped_bytes = 0
                    self._listener.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_end()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _on_interim_answer(self) -> None:
        self._interim_answers += 1
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            self._fail(
                f"the runner sent {self._interim_answers} interim answers without an "
                "answer"
            )

    def _on_head(self, response: h11.Response) -> None:
        headers: Headers = list(response.headers)
        request = cast("RunnerRequest", self._request)
        dialect = self._owner.dialect
        answered = dialect.answered_request_id(headers)
        if answered is not None and answered != request.request_id:
            self._skipping_answer = True
            return
        if answered is None and self._answered_before:
            self._fail(
                "the runner's answer on a kept connection does not name its request; "
                "it may be a copy of an earlier one"
            )
            return
        if not is_final_status(response.status_code):
            self._fail(f"the runner's status {response.status_code} is not valid")
            return
        self._idle_limit_s = _read_idle_limit_s(headers)
        if self._listener is not None:
            head = dialect.decode_head(
                response.status_code, end_to_end_headers(headers)
            )
            head.body_bytes = _read_body_bytes(headers)
            self._listener.on_head(head)

    def _on_end(self) -> None:
        if self._skipping_answer:
            self._skip_to_own_answer()
            return
        listener, self._listener = self._listener, None
        self._request = None
        self._reuse_or_close()
        if listener is not None:
            listener.on_end()

    def _skip_to_own_answer(self) -> None:
        trailing_bytes, closed = self._http.trailing_data
        self._skipping_answer = False
        if closed or self._http.their_state is h11.MUST_CLOSE:
            self._fail("the connection ended after the answer to another request")
            return
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        # The new parser accepts an answer only after it has encoded the request.
        self._write_request(to_wire=False)
        if trailing_bytes:
            self._http.receive_data(trailing_bytes)

    def _reuse_or_close(self) -> None:
        both_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        if not both_done or self._http.trailing_data[0] or not self.open:
            self._abort()
            return
        self._http.start_next_cycle()
        self._answered_before = True
        self._owner.keep_idle(self._runner_id, self, self._idle_limit_s)

    def _fail(self, reason: str) -> None:
        listener, self._listener = self._listener, None
        self._request = None
        self._abort()
        if listener is not None:
            listener.on_incomplete(reason)

    def _abort(self) -> None:
        self._request = None
        if self.open:
            self.open = False
            cast("Any", self.transport).abortConnection()


class _ConnectionFactory(ClientFactory):
    """Opens a connection for one request."""

    noisy = False

    def __init__(
        self,
        pool: RunnerPool,
        runner_id: str,
        request: RunnerRequest,
        listener: AttemptListener,
    ) -> None:
        self._pool = pool
        self._runner_id = runner_id
        self._request = request
        self._listener: AttemptListener | None = listener
        self._connection: RunnerConnection | None = None
        self.connector: Any = None

    def buildProtocol(self, addr: Any) -> RunnerConnection | None:
        """Return a connection that sends the request.

        :return: ``None`` if it was cancelled, or its runner takes no request any more.
        """
        if self._listener is None:
            return None
        if not self._listener.may_be_sent():
            listener, self._listener = self._listener, None
            listener.on_not_sent("the runner was evacuated while connecting")
            return None
        self._connection = _NewConnection(
            self._pool, self._runner_id, self._request, self._listener
        )
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report that the request was not sent."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_not_sent(reason.getErrorMessage())

    def cancel(self) -> None:
        """Stop connecting, or close the connection."""
        self._listener = None
        if self._connection is not None:
            self._connection.cancel()
        elif self.connector is not None:
            self.connector.disconnect()

    def pause(self) -> None:
        """Stop reading."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read on."""
        if self._connection is not None:
            self._connection.resume()


class _NewConnection(RunnerConnection):
    """A new connection that sends its first request when it is established."""

    def __init__(
        self,
        owner: RunnerPool,
        runner_id: str,
        request: RunnerRequest,
        listener: AttemptListener,
    ) -> None:
        super().__init__(owner, runner_id)
        self._first_request = (request, listener)

    def connectionMade(self) -> None:
        """Set socket options and send the first request."""
        super().connectionMade()
        self.send_request(*self._first_request)


class RunnerPool:
    """Connects to runners; keeps idle connections for reuse for a limited time.

    :param dialect: decodes the headers of answers.
    """

    def __init__(self, reactor: Any, clock: Clock, dialect: Dialect) -> None:
        self._reactor = reactor
        self._clock = clock
        self.dialect = dialect
        self._idle_by_runner: dict[str, deque[RunnerConnection]] = {}

    def send(
        self,
        runner: RegisteredRunner,
        request: RunnerRequest,
        listener: AttemptListener,
    ) -> RunnerConnection | _ConnectionFactory:
        """Send one request on an idle connection, or on a new one.

        A request that must not run twice gets a new connection: if the runner closes an
        idle one just as the request is sent, it is unknown whether the request ran.
        """
        idle_connection = (
            self._take_idle(runner.runner_id) if request.may_reuse_connection else None
        )
        if idle_connection is not None:
            idle_connection.send_request(request, listener)
            return idle_connection
        connecting = _ConnectionFactory(self, runner.runner_id, request, listener)
        connecting.connector = self._reactor.connectTCP(
            runner.host, runner.port, connecting, timeout=_CONNECT_TIMEOUT_S
        )
        return connecting

    def keep_idle(
        self, runner_id: str, connection: RunnerConnection, idle_limit_s: float
    ) -> None:
        """Add a connection to the pool for at most ``idle_limit_s``."""
        idle = self._idle_by_runner.setdefault(runner_id, deque())
        connection.idle_until = self._clock.seconds() + idle_limit_s
        idle.append(connection)
        if len(idle) > _MAX_IDLE_PER_RUNNER:
            idle.popleft().cancel()

    def remove_idle(self, runner_id: str, connection: RunnerConnection) -> None:
        """Remove a closed connection from the pool."""
        idle = self._idle_by_runner.get(runner_id)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def close_idle(self, runner_id: str) -> None:
        """Close the idle connections to a removed runner."""
        for connection in self._idle_by_runner.pop(runner_id, ()):
            connection.cancel()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._clock.seconds()
        for idle in self._idle_by_runner.values():
            while idle and now >= idle[0].idle_until:
                idle.popleft().cancel()

    def _take_idle(self, runner_id: str) -> RunnerConnection | None:
        idle = self._idle_by_runner.get(runner_id)
        now = self._clock.seconds()
        while idle:
            connection = idle.pop()
            if connection.open and now < connection.idle_until:
                return connection
            connection.cancel()
        return None


def _read_body_bytes(headers: Headers) -> int | None:
    """Return the length of the body; ``None`` if it is not known in advance."""
    values = (value for name, value in headers if name.lower() == b"content-length")
    length = next(values, b"")
    return int(length) if length.isdigit() else None


def _read_idle_limit_s(headers: Headers) -> float:
    """Return the seconds for which an idle connection may be reused."""
    keep_alive = next(
        (value for name, value in headers if name.lower() == b"keep-alive"), b""
    )
    for parameter in keep_alive.split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return min(max(int(value) - _KEEP_ALIVE_MARGIN_S, 0.0), _MAX_IDLE_S)
    return _MAX_IDLE_S


__all__ = ["RunnerConnection", "RunnerPool"]
