"""Runs an entry process: its listening ports, signal handlers and shutdown."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Any

import eliot

from corianderrelay.state.drain import Drain, StopProcess
from corianderrelay.transport.instance_list_http import HttpInstanceList
from corianderrelay.transport.json_log import start_logging
from corianderrelay.transport.log_http import HttpLogClient

from .coordination.direct.connection_guard import ConnectionGuard
from .coordination.direct.decision_log import DecisionLog
from .entry import Entry
from .transport.callers_site import CallersSite
from .transport.limited_request import CALLERS_SHARE, OPERATORS_SHARE, LimitedSite
from .transport.operators_site import OperatorsSite

if TYPE_CHECKING:
    from twisted.web.resource import Resource

    from corianderrelay.transport.tls import TlsFiles

    from .state.settings import EntrySettings
    from .transport.entry_tls import EntryTls

_EXIT_OK = 0
_EXIT_REQUESTS_CUT_OFF = 1
_DRAIN_POLL_S = 0.1
# Share of the drain deadline in which requests are accepted.
_ARRIVALS_SHARE = 0.5
_ANSWERS_S = 0.25  # in which the last answers are sent


def serve_entry(settings: EntrySettings, operators_token: str, tls: EntryTls) -> int:
    """Run the reactor until a signal stops the process; return the exit code.

    :param operators_token: bearer token of the operators' routes.
    :param tls: TLS files, already loaded.
    :returns: 0 if all requests finished, 1 if open requests were cut off.
    """
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    start_logging(sys.stdout.buffer, settings.instance_id, "entry")
    service = _EntryService(settings, operators_token, tls, reactor)
    reactor.callWhenRunning(service.start)
    reactor.run(installSignalHandlers=False)
    return service.exit_code


class _EntryService:
    def __init__(
        self, settings: EntrySettings, token: str, tls: EntryTls, reactor: Any
    ) -> None:
        self._settings = settings
        self._token = token
        self._tls = tls
        self._reactor = reactor
        log = HttpLogClient(reactor, settings.platform.log_url)
        instances = HttpInstanceList(reactor, settings.platform.instances_url)
        self._log = DecisionLog(reactor.seconds)
        self._entry = Entry(settings, log, instances, reactor, tls.own_streams)
        timing = settings.timing
        # Callers may keep using a cached list that contains this entry for this long.
        min_drain_s = timing.entries_ttl_s + timing.silent_after_s
        self._drain = Drain(min_drain_s, timing.drain_deadline_s)
        self._accept_while_draining_s = min(
            min_drain_s, _ARRIVALS_SHARE * timing.drain_deadline_s
        )
        self.exit_code = _EXIT_OK

    def start(self) -> None:
        """Open the listening ports, start the entry and install signal handlers."""
        callers = self._settings.callers
        operators = self._settings.operators
        caller_port = self._listen(
            "callers",
            CallersSite(self._entry),
            callers.host,
            callers.port,
            self._tls.callers,
            CALLERS_SHARE,
        )
        operator_port = self._listen(
            "operators",
            OperatorsSite(self._entry, self._token),
            operators.host,
            operators.port,
            self._tls.operators,
            OPERATORS_SHARE,
        )
        self._entry.address = callers.address or f"{callers.host}:{caller_port}"
        self._entry.start()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_hangup)
        eliot.log_message(
            message_type="entry:listening",
            callers_port=caller_port,
            operators_port=operator_port,
        )

    def _listen(
        self,
        name: str,
        resource: Resource,
        host: str,
        port: int,
        tls: TlsFiles | None,
        descriptors_share: float,
    ) -> int:
        guard = ConnectionGuard(name, log=self._log)
        self._entry.client_guards.append(guard)
        limits = self._settings.limits
        site = LimitedSite(
            resource,
            self._reactor,
            max_body_bytes=limits.body_bytes,
            max_header_bytes=limits.header_bytes,
            receive_body_s=limits.receive_body_s,
            idle_s=limits.caller_idle_s,
            guard=guard,
            descriptors_share=descriptors_share,
        )
        if tls is None:
            listening = self._reactor.listenTCP(port, site, interface=host)
        else:
            listening = self._reactor.listenSSL(port, site, tls, interface=host)
        return int(listening.getHost().port)

    def _on_signal(self, signal_number: int, frame: object) -> None:
        self._reactor.callFromThread(
            self._drain_or_stop, signal.Signals(signal_number).name
        )

    def _on_hangup(self, signal_number: int, frame: object) -> None:
        self._reactor.callFromThread(self._tls.reload)

    def _drain_or_stop(self, name: str) -> None:
        order = self._drain.on_signal(
            name, self._entry.open_requests, self._reactor.seconds()
        )
        if isinstance(order, StopProcess):
            self._stop(order)
            return
        self._entry.drain(name)
        self._reactor.callLater(
            self._accept_while_draining_s, self._entry.stop_accepting
        )
        self._stop_when_drained()

    def _stop_when_drained(self) -> None:
        now = self._reactor.seconds()
        order = self._drain.check_exit(self._entry.open_requests, now)
        if order is None:
            self._reactor.callLater(_DRAIN_POLL_S, self._stop_when_drained)
        else:
            self._stop(order)

    def _stop(self, order: StopProcess) -> None:
        if order.cut_off:
            self._entry.relay.end_all()
            self._reactor.callLater(_ANSWERS_S, self._exit, order)
        else:
            self._exit(order)

    def _exit(self, order: StopProcess) -> None:
        self.exit_code = _EXIT_REQUESTS_CUT_OFF if order.cut_off else _EXIT_OK
        eliot.log_message(
            message_type="entry:stopped",
            reason=order.reason,
            cut_off_requests=order.cut_off,
        )
        self._entry.connector.stop()
        self._reactor.stop()


__all__ = ["serve_entry"]
