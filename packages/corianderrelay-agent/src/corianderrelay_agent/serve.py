"""Runs the agent process: listening port, signal handling and shutdown."""

from __future__ import annotations

import signal
import sys
import time
from random import SystemRandom
from typing import TYPE_CHECKING, Any

import eliot
from result import Err, Ok

from corianderrelay.coordination.received_config import ReceivedConfig
from corianderrelay.protocol.config_exchange import ConfigExchange
from corianderrelay.protocol.messages import PROTOCOL_VERSION, Hello, Leaving
from corianderrelay.state.drain import Drain, StopProcess
from corianderrelay.state.incarnation import new_incarnation
from corianderrelay.transport.json_log import start_logging

from .coordination.attempt_scheduler import AttemptScheduler
from .coordination.engine_watch import EngineWatch
from .coordination.keyed_attempts import KeyedAttempts
from .group_service import GroupService
from .state.key_guard import KeyGuard, KeyGuardLimits
from .transport.engine_http import HttpEngine
from .transport.entry_listener import EntryListener

if TYPE_CHECKING:
    from corianderrelay.state.config_fold import ActiveVersion
    from corianderrelay.transport.tls import TlsFiles

    from .state.settings import AgentSettings

_EXIT_OK = 0
_EXIT_CUT_OFF = 1
_DRAIN_POLL_S = 0.1


def serve_agent(settings: AgentSettings, tls: TlsFiles | None) -> int:
    """Serve until a signal stops the process; return the exit code.

    :param tls: loaded certificates of the streams; ``None`` for plaintext streams.
    :returns: 0 if no attempt was cut off, 1 otherwise.
    """
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    start_logging(sys.stdout.buffer, settings.instance_id, "agent")
    service = _AgentService(settings, tls, reactor)
    reactor.callWhenRunning(service.start)
    reactor.run(installSignalHandlers=False)
    return service.exit_code


class _AgentService:
    def __init__(
        self, settings: AgentSettings, tls: TlsFiles | None, reactor: Any
    ) -> None:
        self._settings = settings
        self._tls = tls
        self._reactor = reactor
        engine = HttpEngine(reactor, settings.endpoint.url)
        self._incarnation = new_incarnation(time.time(), SystemRandom())
        limits = KeyGuardLimits(ticket_lifetime_s=settings.timing.ticket_s)
        guard = KeyGuard(self._incarnation, limits)
        engine_watch = EngineWatch(engine, reactor)
        self._scheduler = AttemptScheduler(
            engine,
            settings.endpoint,
            reactor,
            KeyedAttempts(guard, reactor.seconds),
            engine_watch.on_call_failed,
        )
        self._group: GroupService | None = None
        if settings.group is not None:
            self._group = GroupService(
                settings, settings.group, self._build_hello(), tls, reactor, time.time
            )
        self._listener = EntryListener(
            self._scheduler,
            engine_watch,
            self._build_hello(),
            ConfigExchange(ReceivedConfig(_log_active_version)),
            settings.timing,
            reactor,
            self._group.routes if self._group is not None else None,
        )
        self._drain = Drain(0.0, settings.timing.drain_deadline_s)
        self.exit_code = _EXIT_OK

    def start(self) -> None:
        """Listen for entries, join the group and install the signal handlers."""
        streams = self._settings.streams
        listening_port = self._listen(streams.host, streams.port)
        if self._group is not None:
            self._group.start()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_sighup)
        eliot.log_message(
            message_type="agent:listening", streams_port=listening_port.getHost().port
        )

    def _listen(self, host: str, port: int) -> Any:
        if self._tls is None:
            return self._reactor.listenTCP(port, self._listener, interface=host)
        return self._reactor.listenSSL(port, self._listener, self._tls, interface=host)

    def _on_sighup(self, signal_number: int, frame: object) -> None:
        self._reactor.callFromThread(self._reload_tls)

    def _reload_tls(self) -> None:
        loaded = Ok(None) if self._tls is None else self._tls.load()
        fault = str(loaded.err_value) if isinstance(loaded, Err) else ""
        eliot.log_message(message_type="agent:tls_reloaded", fault=fault)

    def _build_hello(self) -> Hello:
        endpoint = self._settings.endpoint
        return Hello(
            PROTOCOL_VERSION,
            self._settings.instance_id,
            self._incarnation,
            self._settings.zone,
            "agent",
            service=endpoint.service,
            model=endpoint.model,
            group=endpoint.group,
            rank=endpoint.rank,
            slots=endpoint.slots,
        )

    def _on_signal(self, signal_number: int, frame: object) -> None:
        self._reactor.callFromThread(
            self._drain_or_stop, signal.Signals(signal_number).name
        )

    def _drain_or_stop(self, name: str) -> None:
        open_attempts = len(self._scheduler.attempts_by_id)
        order = self._drain.on_signal(name, open_attempts, self._reactor.seconds())
        if isinstance(order, StopProcess):
            self._stop(order)
            return
        self._scheduler.leaving = True
        self._listener.broadcast(lambda: Leaving(self._incarnation))
        eliot.log_message(message_type="agent:leaving", reason=name)
        self._reactor.callLater(_DRAIN_POLL_S, self._poll_drain)

    def _poll_drain(self) -> None:
        now = self._reactor.seconds()
        order = self._drain.check_exit(self._scheduler.pending, now)
        if order is None:
            self._reactor.callLater(_DRAIN_POLL_S, self._poll_drain)
        else:
            self._stop(order)

    def _stop(self, order: StopProcess) -> None:
        cut_off = len(self._scheduler.attempts_by_id)
        self.exit_code = _EXIT_CUT_OFF if cut_off else _EXIT_OK
        eliot.log_message(
            message_type="agent:stopped", reason=order.reason, cut_off_attempts=cut_off
        )
        # The delay lets the last frames be written before the reactor stops.
        self._reactor.callLater(_DRAIN_POLL_S, self._reactor.stop)


def _log_active_version(active: ActiveVersion) -> None:
    eliot.log_message(message_type="config:in_force", version=active.version)


__all__ = ["serve_agent"]
