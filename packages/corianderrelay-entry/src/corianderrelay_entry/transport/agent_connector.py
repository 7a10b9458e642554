"""Keeps one stream to each agent that the instance list names."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot
from twisted.application.internet import ClientService, backoffPolicy
from twisted.internet import protocol
from twisted.internet.endpoints import HostnameEndpoint

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.transport.framed_stream import FramedStream

from ..protocol.agent_session import AgentSession

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from corianderrelay.coordination.clock import Clock
    from corianderrelay.protocol.config_exchange import ConfigExchange
    from corianderrelay.protocol.messages import AnyMessage, Hello
    from corianderrelay.transport.tls import TlsFiles

    from ..coordination.keyed_relay import KeyedRelay
    from ..coordination.relay import Relay
    from ..state.entry_directory import EntryDirectory
    from ..state.settings import TimingSettings

_RECONNECT = backoffPolicy(initialDelay=0.2, maxDelay=5.0, factor=1.5)
_CONNECT_TIMEOUT_S = 3


class AgentConnector:
    """Opens, watches and replaces the streams to agents.

    :param hello: what this entry says first on each stream.
    :param tls: certificates of the streams; ``None`` for plain ones.
    """

    def __init__(
        self,
        relay: Relay,
        keyed: KeyedRelay,
        directory: EntryDirectory,
        config: ConfigExchange,
        hello: Hello,
        timing: TimingSettings,
        clock: Clock,
        tls: TlsFiles | None = None,
    ) -> None:
        self._relay = relay
        self._keyed = keyed
        self._directory = directory
        self._config = config
        self._leaving = False
        self._hello = hello
        self._timing = timing
        self._clock = clock
        self._tls = tls
        self._services_by_agent: dict[str, ClientService] = {}
        self._sessions_by_stream: dict[FramedStream, AgentSession] = {}
        self._sequence = 0
        self._beat = Periodic(clock, self._heartbeat)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._beat.start(self._timing.heartbeat_s)

    def stop(self) -> None:
        """Drop all streams."""
        self._beat.stop()
        for agent_id in list(self._services_by_agent):
            self.disconnect(agent_id)

    @property
    def connected_agents(self) -> int:
        """Number of open streams."""
        return len(self._sessions_by_stream)

    def follow(self, addresses_by_agent: dict[str, tuple[str, int]]) -> None:
        """Connect to the agents named and let go of the others.

        An agent that is no longer named keeps its stream while the stream lives: the
        list lags, and the agent itself says when it leaves.
        """
        new = addresses_by_agent.keys() - self._services_by_agent.keys()
        for agent_id in sorted(new):
            self._connect(agent_id, *addresses_by_agent[agent_id])
        connected = {session.agent_id for session in self._sessions_by_stream.values()}
        gone = self._services_by_agent.keys() - addresses_by_agent.keys() - connected
        for agent_id in sorted(gone):
            self.disconnect(agent_id)

    def disconnect(self, agent_id: str) -> None:
        """Drop the stream to an agent and do not open another."""
        service = self._services_by_agent.pop(agent_id)
        service.stopService()

    def announce_leaving(self) -> None:
        """Tell all agents that this entry takes no new callers; they pass it on."""
        self._leaving = True
        self._heartbeat()

    def stream_opened(self, stream: FramedStream) -> None:
        """Greet the agent."""
        session = AgentSession(
            self._relay,
            self._keyed,
            self._directory,
            self._config,
            stream,
            self._clock.seconds,
            self._timing.silent_after_s,
        )
        self._sessions_by_stream[stream] = session
        stream.send(self._hello)

    def message_received(self, stream: FramedStream, message: AnyMessage) -> None:
        """Hand the message to the stream's session."""
        self._sessions_by_stream[stream].receive(message)

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        """End the stream's session; a new stream is opened by the client service."""
        session = self._sessions_by_stream.pop(stream)
        eliot.log_message(
            message_type="entry:stream_closed",
            agent_id=session.agent_id,
            reason=reason,
        )
        session.closed()

    def _connect(self, agent_id: str, host: str, port: int) -> None:
        endpoint: Any = HostnameEndpoint(
            self._clock, host, port, timeout=_CONNECT_TIMEOUT_S
        )
        if self._tls is not None:
            endpoint = self._tls.wrap_client(endpoint, host)
        factory: Any = _StreamFactory(self, self._clock)
        clock: Any = self._clock
        service = ClientService(endpoint, factory, _RECONNECT, clock=clock)
        self._services_by_agent[agent_id] = service
        service.startService()

    def _heartbeat(self) -> None:
        silent_since = self._clock.seconds() - self._timing.silent_after_s
        self._sequence += 1
        for stream, session in list(self._sessions_by_stream.items()):
            if stream.last_received_s < silent_since:
                stream.close("the agent has been silent for too long")
            else:
                session.heartbeat(self._sequence, leaving=self._leaving)


class _StreamFactory(protocol.Factory):
    noisy = False

    def __init__(self, connector: AgentConnector, clock: Clock) -> None:
        self._connector = connector
        self._clock = clock

    def buildProtocol(self, addr: IAddress | None) -> FramedStream:
        return FramedStream(self._connector, self._clock)


__all__ = ["AgentConnector"]
