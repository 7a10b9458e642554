"""Runs an entry of a direct deployment: listening ports, signals and shutdown."""

from __future__ import annotations

import os
import signal
import sys
from dataclasses import fields
from typing import TYPE_CHECKING, Any

from result import Err

from corianderrelay.state.drain import Drain, StopProcess
from corianderrelay.transport.json_log import start_logging

from .coordination.direct.decision_log import Decision
from .direct_entry import DirectEntry, DirectSources
from .state.direct.settings import DirectSettings
from .transport.direct.caller_http import CallerFactory
from .transport.direct.nonblocking_stream import NonBlockingStream
from .transport.direct.plain_site import PlainAnswer, PlainSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from corianderrelay.state.errors import SettingsError

    from .state.direct.settings import Address

_BACKLOG = 512  # callers reconnect in a burst when another entry stops
_DRAIN_POLL_S = 0.05  # small compared with a drain, which takes seconds
_DIRECTORY_TTL_FACTOR = 3.0  # some callers cache an answer for three times its TTL
# Share of the grace period in which requests are accepted; the rest is for open ones.
_ARRIVALS_SHARE = 0.5
# Share after which no waiting request is sent to a runner any more.
_SENDS_SHARE = 0.75
_EXIT_MARGIN_S = 0.5  # time left to exit before the process is killed
_ANSWERS_S = 0.25  # part of it in which the last answers are sent, at most
_REQUEST_WEIGHT = 2  # an open request takes a second descriptor at its runner
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class DirectService:
    """Runs one entry: listening ports, signals and drain.

    :param answer_directory: takes a request target and the entries' addresses, returns
        the answer in the platform's format, or ``None`` if the target is unknown.
    :param ready_path: path of the platform's readiness check.
    :param reload_settings: reads and validates the settings file again.
    """

    def __init__(
        self,
        settings: DirectSettings,
        sources: DirectSources,
        reactor: Any,
        answer_directory: Callable[[bytes, list[str]], PlainAnswer | None],
        ready_path: bytes,
        reload_settings: Callable[[], Result[DirectSettings, SettingsError]],
    ) -> None:
        self._reload_settings = reload_settings
        self._settings = settings
        self._reactor = reactor
        self._answer_directory = answer_directory
        self._ready_path = ready_path
        self._entry = DirectEntry(settings, sources, reactor)
        callers_guard = self._entry.guards.add_listener(
            "callers", self._entry.connection_limits.callers, _REQUEST_WEIGHT
        )
        self._callers = CallerFactory(self._entry, reactor, callers_guard)
        grace_s = settings.bounds.grace_s
        self._accept_while_draining_s = min(
            _DIRECTORY_TTL_FACTOR * directory_ttl_s(settings),
            _ARRIVALS_SHARE * grace_s,
        )
        self._drain = Drain(self._accept_while_draining_s, grace_s - _EXIT_MARGIN_S)

    def run(self) -> int:
        """Serve until a signal stops the process; return the exit code."""
        stream: Any = NonBlockingStream(sys.stdout.fileno())
        start_logging(stream, self._settings.entry_id, "entry")
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        return 0

    def _start(self) -> None:
        settings = self._settings
        reactor = self._reactor
        reactor.listenUDP(
            settings.peers.port, self._entry.peer_socket, settings.peers.host
        )
        self._listen(settings.callers, self._callers)
        self._listen_plain("readiness", settings.readiness, self._answer_ready)
        self._listen_plain("metrics", settings.metrics, self._answer_metrics)
        if settings.directory is not None:
            self._listen_plain("directory", settings.directory, self._answer_entries)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_hangup)
        self._entry.log.note(
            Decision.PROCESS_STARTED,
            pid=os.getpid(),
            zone=settings.zone,
            callers=str(settings.callers),
        )
        self._entry.start()

    def _listen(self, address: Address, factory: CallerFactory) -> None:
        self._reactor.listenTCP(
            address.port, factory, backlog=_BACKLOG, interface=address.host
        )

    def _listen_plain(
        self,
        name: str,
        address: Address,
        answer: Callable[[bytes, bytes], PlainAnswer],
    ) -> None:
        entry = self._entry
        guard = entry.guards.add_listener(name, entry.connection_limits.plain)
        site = PlainSite(answer, entry.account)
        self._listen(address, CallerFactory(site, self._reactor, guard))

    def _answer_ready(self, method: bytes, target: bytes) -> PlainAnswer:
        if target.partition(b"?")[0] != self._ready_path:
            return _NOT_FOUND, [], b""
        return (_OK if self._entry.ready else _UNAVAILABLE), [], b""

    def _answer_entries(self, method: bytes, target: bytes) -> PlainAnswer:
        answer = self._answer_directory(target, self._entry.entry_addresses())
        return (_NOT_FOUND, [], b"") if answer is None else answer

    def _answer_metrics(self, method: bytes, target: bytes) -> PlainAnswer:
        body, headers_by_name = self._entry.metrics.render()
        headers = [
            (name.encode(), value.encode()) for name, value in headers_by_name.items()
        ]
        return _OK, headers, body

    def _on_signal(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self._drain_or_stop, signal.Signals(number).name)

    def _on_hangup(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self._log_changed_settings)

    def _log_changed_settings(self) -> None:
        """Log which settings have changed; they take effect after a restart."""
        reloaded = self._reload_settings()
        if isinstance(reloaded, Err):
            self._entry.log.note(
                Decision.PROCESS_RELOADED, changed=[], fault=str(reloaded.err_value)
            )
            return
        changed = [
            field.name
            for field in fields(DirectSettings)
            if getattr(reloaded.ok_value, field.name)
            != getattr(self._settings, field.name)
        ]
        self._entry.log.note(
            Decision.PROCESS_RELOADED,
            changed=changed,
            remedy="restart the process to use them" if changed else None,
        )

    def _drain_or_stop(self, name: str) -> None:
        now = self._reactor.seconds()
        order = self._drain.on_signal(name, self._entry.relay.open_requests, now)
        if isinstance(order, StopProcess):
            self._answer_and_stop(order)
            return
        self._entry.log.note(
            Decision.PROCESS_LEAVING,
            reason=name,
            open_requests=self._entry.relay.open_requests,
        )
        self._entry.start_draining()
        self._reactor.callLater(
            self._accept_while_draining_s, self._entry.relay.stop_accepting
        )
        send_until_s = _SENDS_SHARE * self._settings.bounds.grace_s
        self._reactor.callLater(send_until_s, self._entry.relay.refuse_waiting)
        self._check_drained()

    def _check_drained(self) -> None:
        unfinished = self._entry.relay.open_requests + self._callers.ending_connections
        order = self._drain.check_exit(unfinished, self._reactor.seconds())
        if order is None:
            self._reactor.callLater(_DRAIN_POLL_S, self._check_drained)
        else:
            self._answer_and_stop(order)

    def _answer_and_stop(self, order: StopProcess) -> None:
        """Stop, after each open request has got an answer that says if it can run."""
        if not order.cut_off:
            self._stop(order)
            return
        self._entry.relay.end_all()
        until = self._reactor.seconds() + _ANSWERS_S
        self._reactor.callLater(_DRAIN_POLL_S, self._stop_when_sent, order, until)

    def _stop_when_sent(self, order: StopProcess, until: float) -> None:
        if self._callers.ending_connections and self._reactor.seconds() < until:
            self._reactor.callLater(_DRAIN_POLL_S, self._stop_when_sent, order, until)
        else:
            self._stop(order)

    def _stop(self, order: StopProcess) -> None:
        self._entry.log.note(
            Decision.PROCESS_STOPPED, reason=order.reason, cut_off=order.cut_off
        )
        self._reactor.stop()


def directory_ttl_s(settings: DirectSettings) -> float:
    """Return the TTL of directory answers, in whole seconds.

    Callers that cache an answer for three times its TTL must fetch a new one early
    enough that the last stream they start here can end before this process is killed.
    """
    longest_s = _ARRIVALS_SHARE * settings.bounds.grace_s / _DIRECTORY_TTL_FACTOR
    return float(max(min(int(longest_s), int(settings.bounds.directory_ttl_s)), 1))


__all__ = ["DirectService", "directory_ttl_s"]
