"""Client side of the stream from a rank's agent to rank 0's agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot
from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet import protocol
from twisted.internet.endpoints import HostnameEndpoint

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.protocol.messages import GroupFrame, Heartbeat
from corianderrelay.transport.framed_stream import FramedStream

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from corianderrelay.coordination.clock import Clock
    from corianderrelay.protocol.messages import AnyMessage, Hello
    from corianderrelay.transport.tls import TlsFiles

    from ..protocol.group_routes import GroupRoutes
    from ..state.settings import GroupSettings, TimingSettings

_RECONNECT_POLICY = backoffPolicy(initialDelay=0.2, maxDelay=2.0, factor=1.5)
_CONNECT_TIMEOUT_S = 3


class GroupClient(protocol.Factory):
    """Maintains one stream to rank 0's agent and reconnects when it closes.

    :param hello: the first message on each stream.
    :param tls: certificates of the streams; ``None`` for plaintext streams.
    """

    noisy = False

    def __init__(
        self,
        routes: GroupRoutes,
        hello: Hello,
        group: GroupSettings,
        timing: TimingSettings,
        clock: Clock,
        tls: TlsFiles | None,
    ) -> None:
        self._routes = routes
        self._hello = hello
        self._group = group
        self._timing = timing
        self._clock = clock
        self._tls = tls
        self._stream: FramedStream | None = None
        self._heartbeat_sequence = 0
        self._heartbeat_timer = Periodic(clock, self._on_heartbeat_timer)

    def start(self) -> None:
        """Connect, reconnect whenever the stream closes, and send heartbeats."""
        reactor: Any = self._clock
        host, port = self._group.coordinator_host, self._group.coordinator_port
        endpoint: Any = HostnameEndpoint(
            reactor, host, port, timeout=_CONNECT_TIMEOUT_S
        )
        if self._tls is not None:
            endpoint = self._tls.wrap_client(endpoint, host)
        factory: Any = self
        ClientService(
            endpoint, factory, _RECONNECT_POLICY, clock=reactor
        ).startService()
        self._heartbeat_timer.start(self._timing.heartbeat_s)

    def buildProtocol(self, addr: IAddress | None) -> FramedStream:
        """Create the stream of a new connection; called by Twisted."""
        return FramedStream(self, self._clock)

    def stream_opened(self, stream: FramedStream) -> None:
        """Register the stream as the route to rank 0 and send the hello."""
        self._stream = stream
        self._routes.set_coordinator_stream(stream)
        stream.send(self._hello)

    def message_received(self, stream: FramedStream, message: AnyMessage) -> None:
        """Handle group frames; ignore messages meant for entries."""
        if isinstance(message, GroupFrame):
            self._routes.receive(stream, message)

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        """Log the reason and remove the stream from the routes."""
        eliot.log_message(message_type="agent:group_stream_closed", reason=reason)
        self._routes.remove_stream(stream)
        if self._stream is stream:
            self._stream = None

    def _on_heartbeat_timer(self) -> None:
        if self._stream is None:
            return
        self._heartbeat_sequence += 1
        silent_s = self._clock.seconds() - self._stream.last_received_s
        if silent_s > self._timing.silent_after_s:
            self._stream.close(
                "no data from rank 0's agent for longer than silent_after_s"
            )
        else:
            self._stream.send(Heartbeat(self._heartbeat_sequence))


__all__ = ["GroupClient"]
