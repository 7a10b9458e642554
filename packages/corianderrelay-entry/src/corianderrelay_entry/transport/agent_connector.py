"""Keeps one stream to each agent; ``Members`` decides when to open and drop it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot
from twisted.internet import protocol
from twisted.internet.endpoints import HostnameEndpoint

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.protocol.messages import Heartbeat, Hello
from corianderrelay.state.members import Connect, DropStream, SendHeartbeat
from corianderrelay.transport.framed_stream import FramedStream

from ..protocol.agent_session import AgentSession

if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.internet.interfaces import IAddress

    from corianderrelay.coordination.clock import Clock
    from corianderrelay.protocol.config_exchange import ConfigExchange
    from corianderrelay.protocol.messages import AnyMessage
    from corianderrelay.state.members import ListedInstance, MemberOrder, Members
    from corianderrelay.transport.tls import TlsFiles

    from ..coordination.keyed_relay import KeyedRelay
    from ..coordination.relay import Relay
    from ..state.entry_directory import EntryDirectory

_CONNECT_TIMEOUT_S = 3
_TICK_S = 0.1


class AgentConnector:
    """Opens, monitors and replaces the streams to agents.

    :param directory: records which entries agents report as leaving.
    :param config: exchanges configuration snapshots with the agents.
    :param members: decides which streams to open and drop.
    :param hello: first message that this entry sends on each stream.
    :param tls: certificates of the streams; ``None`` disables TLS.
    """

    def __init__(
        self,
        relay: Relay,
        keyed: KeyedRelay,
        directory: EntryDirectory,
        config: ConfigExchange,
        members: Members,
        hello: Hello,
        clock: Clock,
        tls: TlsFiles | None = None,
    ) -> None:
        self._relay = relay
        self._keyed = keyed
        self._directory = directory
        self._config = config
        self._members = members
        self._hello = hello
        self._clock = clock
        self._tls = tls
        self._sessions_by_stream: dict[FramedStream, AgentSession] = {}
        self._streams_by_id: dict[int, FramedStream] = {}
        self._last_stream_id = 0
        self._leaving = False
        self._stopped = False
        self._tick = Periodic(clock, self._on_tick)

    def start(self) -> None:
        """Start connecting to agents and sending heartbeats."""
        self._tick.start(_TICK_S)

    def stop(self) -> None:
        """Stop the heartbeats and close all streams."""
        self._stopped = True
        self._tick.stop()
        for stream in list(self._sessions_by_stream):
            stream.close("this entry is shutting down")

    def update_agents(self, listed: Iterable[ListedInstance]) -> None:
        """Add or update agents from the platform's list; never remove any."""
        self._members.seed(listed, self._clock.seconds())

    def announce_leaving(self) -> None:
        """Notify agents that this entry is leaving; they notify the other entries."""
        self._leaving = True
        for session in self._sessions_by_stream.values():
            heartbeat = Heartbeat(0, config_version=self._config.version, leaving=True)
            session.send(heartbeat)

    def stream_opened(self, stream: FramedStream, expected_id: str) -> None:
        """Create the stream's session and send Hello."""
        self._last_stream_id += 1
        session = AgentSession(
            self._relay,
            self._keyed,
            self._directory,
            self._config,
            self._members,
            stream,
            self._clock.seconds,
            expected_id,
            self._last_stream_id,
        )
        self._sessions_by_stream[stream] = session
        self._streams_by_id[self._last_stream_id] = stream
        stream.send(self._hello)

    def message_received(self, stream: FramedStream, message: AnyMessage) -> None:
        """Pass the message to the session; after Hello, send a heartbeat at once."""
        self._sessions_by_stream[stream].receive(message)
        if isinstance(message, Hello):
            self._on_tick()

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        """Close the stream's session; ``Members`` schedules the reconnect."""
        session = self._sessions_by_stream.pop(stream)
        self._streams_by_id.pop(session.stream_id)
        eliot.log_message(
            message_type="entry:stream_closed",
            agent_id=session.expected_id,
            reason=reason,
        )
        session.on_closed()

    def _on_tick(self) -> None:
        now = self._clock.seconds()
        for order in self._members.tick(now):
            self._execute(order)
        min_opened_s = now - self._members.suspect_after_s
        timed_out = [
            stream
            for stream, session in self._sessions_by_stream.items()
            if not session.agent_id and session.opened_s < min_opened_s
        ]
        for stream in timed_out:
            stream.close("the agent sent no Hello in time")

    def _execute(self, order: MemberOrder) -> None:
        match order:
            case Connect():
                self._connect(order)
            case DropStream():
                stream = self._streams_by_id.get(order.stream_id)
                if stream is not None:
                    stream.close("timeout: nothing received from the agent")
            case SendHeartbeat():
                stream = self._streams_by_id.get(order.stream_id)
                if stream is not None:
                    stream.send(self._build_heartbeat(order))

    def _build_heartbeat(self, order: SendHeartbeat) -> Heartbeat:
        return Heartbeat(
            order.sequence,
            config_version=self._config.version,
            leaving=self._leaving,
            echo=order.echo,
            period_ms=int(order.period_s * 1000),
        )

    def _connect(self, order: Connect) -> None:
        endpoint: Any = HostnameEndpoint(
            self._clock, order.host, order.port, timeout=_CONNECT_TIMEOUT_S
        )
        if self._tls is not None:
            endpoint = self._tls.wrap_client(endpoint, order.host)
        factory: Any = _StreamFactory(self, order.instance_id, self._clock)
        connecting = endpoint.connect(factory)
        connecting.addErrback(lambda failure: self._on_connect_failed(order, failure))

    def _on_connect_failed(self, order: Connect, failure: Any) -> None:
        if self._stopped:
            return
        eliot.log_message(
            message_type="entry:connect_failed",
            agent_id=order.instance_id,
            reason=failure.getErrorMessage(),
        )
        now = self._clock.seconds()
        self._members.stream_closed(order.instance_id, None, now)


class _AgentStreamListener:
    """Forwards stream events to the connector, with the expected agent's id."""

    def __init__(self, connector: AgentConnector, expected_id: str) -> None:
        self._connector = connector
        self._expected_id = expected_id

    def stream_opened(self, stream: FramedStream) -> None:
        self._connector.stream_opened(stream, self._expected_id)

    def message_received(self, stream: FramedStream, message: AnyMessage) -> None:
        self._connector.message_received(stream, message)

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        self._connector.stream_closed(stream, reason)


class _StreamFactory(protocol.Factory):
    noisy = False

    def __init__(
        self, connector: AgentConnector, expected_id: str, clock: Clock
    ) -> None:
        self._listener = _AgentStreamListener(connector, expected_id)
        self._clock = clock

    def buildProtocol(self, addr: IAddress | None) -> FramedStream:
        return FramedStream(self._listener, self._clock)


__all__ = ["AgentConnector"]
