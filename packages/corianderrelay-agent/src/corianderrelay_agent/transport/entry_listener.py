"""Accepts streams from entries and the group's agents and sends heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot
from twisted.internet import protocol

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.protocol.messages import GroupFrame, Heartbeat
from corianderrelay.state.expiring_marks import ExpiringMarks
from corianderrelay.transport.framed_stream import FramedStream

from ..protocol.entry_session import EntrySession

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress

    from corianderrelay.coordination.clock import Clock
    from corianderrelay.protocol.config_exchange import ConfigExchange
    from corianderrelay.protocol.messages import AnyMessage, Hello

    from ..coordination.attempt_scheduler import AttemptScheduler
    from ..coordination.engine_watch import EngineWatch
    from ..protocol.group_routes import GroupRoutes
    from ..state.settings import TimingSettings

_LEAVING_ENTRY_TTL_S = 60.0


class EntryListener(protocol.Factory):
    """Creates a session for each stream from an entry or another agent of the group.

    :param engine_watch: tells whether the engine is down.
    :param hello: the first message on each stream.
    :param routes: handles frames from the group's other agents; ``None`` if this agent
        belongs to no group.
    """

    noisy = False

    def __init__(
        self,
        scheduler: AttemptScheduler,
        engine_watch: EngineWatch,
        hello: Hello,
        config: ConfigExchange,
        timing: TimingSettings,
        clock: Clock,
        routes: GroupRoutes | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._engine_watch = engine_watch
        self._routes = routes
        self._hello = hello
        self._config = config
        self._timing = timing
        self._clock = clock
        self._sessions_by_stream: dict[FramedStream, EntrySession] = {}
        self._leaving_entries = ExpiringMarks(_LEAVING_ENTRY_TTL_S)
        self._heartbeat_sequence = 0
        self._heartbeat_timer = Periodic(clock, self._on_heartbeat_timer)

    def buildProtocol(self, addr: IAddress | None) -> FramedStream:
        """Create the stream of a new connection; called by Twisted."""
        return FramedStream(self, self._clock)

    def startFactory(self) -> None:
        """Start the heartbeat timer; called by Twisted."""
        self._heartbeat_timer.start(self._timing.heartbeat_s)

    def stopFactory(self) -> None:
        """Stop the heartbeat timer; called by Twisted."""
        self._heartbeat_timer.stop()

    def stream_opened(self, stream: FramedStream) -> None:
        """Create the session, then send the hello and a first heartbeat."""
        session = EntrySession(
            self._scheduler,
            stream,
            self._hello.incarnation,
            self._clock.seconds,
            self._leaving_entries,
            self._config,
            self._build_heartbeat,
        )
        self._sessions_by_stream[stream] = session
        stream.send(self._hello)
        stream.send(self._build_heartbeat())

    def message_received(self, stream: FramedStream, message: AnyMessage) -> None:
        """Pass the message to the stream's session, or a group frame to the routes."""
        if isinstance(message, GroupFrame):
            if self._routes is not None:
                self._routes.receive(stream, message)
            return
        self._sessions_by_stream[stream].receive(message)

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        """Log the reason and close the stream's session."""
        session = self._sessions_by_stream.pop(stream)
        if self._routes is not None:
            self._routes.remove_stream(stream)
        eliot.log_message(
            message_type="agent:stream_closed",
            entry_id=session.entry_id,
            reason=reason,
        )
        session.on_stream_closed()

    def broadcast(self, build_message: Callable[[], AnyMessage]) -> None:
        """Send one message on every open stream."""
        message = build_message()
        for stream in self._sessions_by_stream:
            stream.send(message)

    def _on_heartbeat_timer(self) -> None:
        silent_since = self._clock.seconds() - self._timing.silent_after_s
        silent = [
            stream
            for stream in self._sessions_by_stream
            if stream.last_received_s < silent_since
        ]
        for stream in silent:
            stream.close("no data from the peer for longer than silent_after_s")
        self._scheduler.expire_attempts(self._timing.reattach_s)
        self._heartbeat_sequence += 1
        for stream, session in self._sessions_by_stream.items():
            if not session.heartbeat_answered:
                stream.send(self._build_heartbeat(session.echo_sequence))
            session.heartbeat_answered = False

    def _build_heartbeat(self, echo: int = 0) -> Heartbeat:
        return Heartbeat(
            self._heartbeat_sequence,
            config_version=self._config.version,
            running=self._scheduler.running,
            queued=self._scheduler.queued,
            queued_tokens=self._scheduler.queued_tokens,
            leaving=self._scheduler.leaving,
            engine_up=self._engine_watch.up,
            echo=echo,
            leaving_entries=self._leaving_entries.marked(self._clock.seconds()),
        )


__all__ = ["EntryListener"]
