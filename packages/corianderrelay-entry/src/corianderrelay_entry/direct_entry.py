"""Assembles an entry of a direct deployment and schedules its periodic tasks."""

from __future__ import annotations

import time
from random import SystemRandom
from typing import TYPE_CHECKING, Any

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.state.incarnation import new_incarnation
from corianderrelay.transport.metrics import Metrics

from .coordination.direct.byte_account import ByteAccount
from .coordination.direct.cold_watch import ColdWatch
from .coordination.direct.config_watch import ConfigWatch
from .coordination.direct.connection_guard import ClientGuards
from .coordination.direct.crash_watch import CrashWatch
from .coordination.direct.decision_log import Decision, DecisionLog
from .coordination.direct.direct_metrics import DirectMetrics
from .coordination.direct.direct_relay import DirectRelay
from .coordination.direct.evacuation_watch import EvacuationWatch
from .coordination.direct.group_watch import GroupWatch
from .coordination.direct.peer_exchange import PeerExchange
from .coordination.direct.quarantine_watch import QuarantineWatch
from .coordination.direct.runner_watch import RunnerWatch
from .coordination.direct.service_balancers import ServiceBalancers
from .coordination.direct.service_scheduler import ServiceScheduler
from .coordination.direct.statement_watch import StatementWatch
from .coordination.direct.store_sharing import StoreSharing
from .state.direct.catalog import CallerLimits
from .state.direct.connection_limits import connection_limits
from .state.direct.group_directory import GroupDirectory
from .state.direct.held_bytes import held_bytes_limit
from .state.direct.quarantines import Quarantines
from .state.direct.runner_list import RunnerList
from .state.direct.store_news import ReadDuty
from .transport.direct.peer_socket import PeerSocket
from .transport.direct.runner_http import RunnerPool

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .coordination.direct.open_direct_call import OpenDirectCall
    from .coordination.direct.ports import (
        ConfigSource,
        Dialect,
        EntryRegistry,
        QuarantineStore,
        RunnerProbe,
        RunnerSource,
    )
    from .coordination.direct.rank_client import RankClient
    from .state.direct.entry_peers import PeerUpdate
    from .state.direct.group_directory import GroupMembers
    from .state.direct.rank_orders import RankReport
    from .state.direct.runner_list import RegisteredRunner
    from .state.direct.settings import DirectSettings
    from .state.direct.store_news import StoreAnswer, StoreQuestion
    from .transport.direct.caller_http import CallerConnection, CallerRequest

_TICK_S = 0.05  # maximum delay between a deadline and the end of its request
_SHARING_S = 0.1  # a fraction of the periods of relays and of questions to readers
_PEERS_CHANGED_S = 0.02  # many entries send updates at all times; a pass takes longer
_HOUSEKEEPING_S = 0.5  # idle connections and records live for several seconds
_URGENT_UPDATE_S = 0.05  # collects changes of the same moment in one update
_MEASURING_S = 0.25  # several passes; the cost of a stream changes within seconds


class DirectSources:
    """The platform's implementations of the interfaces that an entry uses.

    :param dialect: codec of the headers of callers and runners.
    :param quarantine: stores the quarantined fingerprints of requests.
    :param ranks: client for the ranks of lock-step groups.
    :param probe: asks runners who they are.
    """

    __slots__ = (
        "config",
        "runners",
        "entries",
        "quarantine",
        "dialect",
        "ranks",
        "probe",
    )

    def __init__(
        self,
        config: ConfigSource,
        runners: RunnerSource,
        entries: EntryRegistry,
        quarantine: QuarantineStore,
        dialect: Dialect,
        ranks: RankClient,
        probe: RunnerProbe,
    ) -> None:
        self.ranks = ranks
        self.probe = probe
        self.config = config
        self.runners = runners
        self.entries = entries
        self.quarantine = quarantine
        self.dialect = dialect


class DirectEntry:
    """An entry without its listening ports; handles callers' requests."""

    def __init__(
        self, settings: DirectSettings, sources: DirectSources, reactor: Any
    ) -> None:
        self.settings = settings
        self.draining = False
        self._peers_changed = False
        self._update_is_urgent = True  # the first update tells all where this entry is
        self._dialect = sources.dialect
        self._reactor = reactor
        self.log = DecisionLog(reactor.seconds)
        self.collectors = DirectMetrics()
        self.metrics = Metrics(self.collectors.collectors())
        self.runners = RunnerList()
        self.groups = GroupDirectory()
        duty = ReadDuty()
        self.peer_socket = PeerSocket(self)
        random = SystemRandom()
        self.exchange = PeerExchange(
            settings,
            new_incarnation(time.time(), random),
            sources.entries,
            reactor,
            self.log,
            self.peer_socket,
        )
        self.config = ConfigWatch(
            sources.config,
            reactor,
            _boottime_seconds,
            settings.bounds,
            self.log,
            self.collectors,
            duty,
            self.exchange.settled,
            self._on_log_restored,
        )
        self.cold = ColdWatch(
            self.exchange.peers,
            self.runners,
            self.config,
            settings.bounds,
            time.time,
            self.log,
            self._send_update_soon,
        )
        self.statements = StatementWatch(
            self.exchange.peers,
            self.runners,
            self.log,
            self._send_update_soon,
            self.cold,
        )
        self.group_watch = GroupWatch(
            self.groups,
            self.runners,
            self.exchange.peers,
            self.config,
            settings.bounds.stall_s,
            self.log,
            self.collectors,
            self._send_update_soon,
        )
        self.zones = EvacuationWatch(
            self.config,
            self.runners,
            self.exchange.peers,
            settings.bounds.evacuate_s,
            lambda: self.runner_watch.loaded,
            reactor,
            _boottime_seconds,
            self.log,
            self.collectors,
            self._on_evacuations_changed,
        )
        self.scheduler = ServiceScheduler(
            self.runners,
            self.exchange.peers,
            settings.bounds,
            random,
            self.config,
            self.statements,
            self.group_watch,
            self.zones,
            self.groups,
            least_cost=settings.least_cost,
        )
        self.connections = RunnerPool(reactor, reactor, sources.dialect)
        self.runner_watch = RunnerWatch(
            sources.runners,
            self.runners,
            reactor,
            self.log,
            self.collectors,
            self._remove_runner,
            settings.bounds.leaving_s,
            _boottime_seconds,
            duty,
            self._on_log_restored,
            self._is_cold_news,
        )
        self.crashes = CrashWatch(
            self.runners,
            sources.probe,
            reactor,
            random,
            self.log,
            self._send_update_soon,
        )
        self.quarantine_watch = QuarantineWatch(
            sources.quarantine,
            Quarantines(self.crashes.ledger, self.crashes.parts.ledger),
            reactor,
            time.time,
            random,
            self.log,
            self.collectors,
            duty,
        )
        self.sharing = StoreSharing(
            self.exchange.peers,
            self.config,
            self.runner_watch,
            self.quarantine_watch,
            self.runners,
            duty,
            reactor,
            _boottime_seconds,
            self.peer_socket,
            self.log,
        )
        self.account = ByteAccount(held_bytes_limit(settings.memory_mb), self.log)
        self.connection_limits = connection_limits(
            settings.memory_mb, settings.max_descriptors
        )
        self.guards = ClientGuards(self.connection_limits.received_bytes, self.log)
        self.relay = DirectRelay(
            sources.dialect,
            self.connections,
            self.config,
            self.scheduler,
            self.crashes,
            self.statements,
            self.group_watch,
            reactor,
            self.log,
            self.collectors,
            self.account,
        )
        self.balancers = ServiceBalancers(
            settings.entry_id,
            self.runners,
            self.exchange.peers,
            self.config,
            self.scheduler,
            sources.ranks,
            reactor,
            random,
            self.log,
            self._on_rank_report,
        )
        self._tick = Periodic(reactor, self._run_tick)
        self._balance = Periodic(reactor, self._balance_groups)
        self._housekeeping = Periodic(reactor, self._run_housekeeping)
        self._measuring = Periodic(reactor, self._measure_pace)
        self._sharing = Periodic(reactor, self.sharing.tick)
        self._relaying = Periodic(reactor, self.exchange.relay_if_due)

    @property
    def limits(self) -> CallerLimits:
        """The limits on callers in the active configuration."""
        catalog = self.config.catalog
        return CallerLimits() if catalog is None else catalog.limits

    @property
    def ready(self) -> bool:
        """Whether this entry accepts new callers."""
        return (
            not self.draining
            and self.runner_watch.loaded
            and self.exchange.discovered
            and self.quarantine_watch.loaded
            and self.config.catalog is not None
            and self.config.keys_trusted()
        )

    def start(self) -> None:
        """Start polling the log, exchanging peer updates and the periodic tasks."""
        self.config.start()
        self.runner_watch.start()
        self.exchange.start()
        self.quarantine_watch.start()
        self._tick.start(_TICK_S)
        self._housekeeping.start(_HOUSEKEEPING_S)
        self._measuring.start(_MEASURING_S)
        self._balance.start(_TICK_S)
        self._sharing.start(_SHARING_S)
        self._relaying.start(_SHARING_S)
        self._send_updates_periodically()

    def start_draining(self) -> None:
        """Report this entry as not ready; requests that still arrive are served."""
        self.draining = True
        self._send_update(urgent=True)

    def entry_addresses(self) -> list[str]:
        """Return the addresses for callers of all ready entries, this one first."""
        now = self._reactor.seconds()
        addresses = [
            peer_update.callers_address
            for peer_update in self.exchange.peers.alive(now)
            if peer_update.ready
        ]
        return [str(self.settings.callers), *addresses] if self.ready else addresses

    def handle(
        self, request: CallerRequest, connection: CallerConnection
    ) -> _SubmittedRequest:
        """Decode a caller's request and submit it to the relay."""
        call = self._dialect.decode_call(
            request.method,
            request.target,
            request.headers,
            request.body,
            self._reactor.seconds(),
        )
        return _SubmittedRequest(self.relay, self.relay.submit(call, connection))

    def on_malformed_request(self, status: int, reason: str) -> None:
        """Log a malformed request of a caller."""
        self.collectors.refusals.inc({"status": str(status)})
        self.log.note(Decision.REQUEST_MALFORMED, status=status, reason=reason)

    def _send_updates_periodically(self) -> None:
        urgent, self._update_is_urgent = self._update_is_urgent, False
        self._send_update(urgent=urgent)
        self._next_update = self._reactor.callLater(
            self.exchange.peers.send_interval_s, self._send_updates_periodically
        )

    def _send_update_soon(self) -> None:
        """Advance the next update: other entries may hold requests by it."""
        self._update_is_urgent = True
        due_s = self._next_update.getTime() - self._reactor.seconds()
        if due_s > _URGENT_UPDATE_S:
            self._next_update.reset(_URGENT_UPDATE_S)

    def _send_update(self, *, urgent: bool) -> None:
        now = self._reactor.seconds()
        slowness = self.balancers.slow_runners()
        self.scheduler.set_own_slowness(slowness)
        self.statements.update_entries(now)
        groups = self.balancers.shared_groups(now)
        self._learn_groups(groups)
        self.exchange.send_update(
            self.ready,
            self.scheduler.own_running(),
            self.scheduler.own_waiting(),
            slowness,
            self.crashes.ledger.next_shared(now),
            self.crashes.parts.ledger.next_shared(now),
            self.statements.shared_limits(now),
            self.statements.leaving_runners(),
            self.config.version or 0,
            self.config.generation,
            groups=groups,
            outages=self.group_watch.shared(now),
            evacuated=self.zones.shared(),
            waiting_by_priority=self.scheduler.own_waiting_by_priority(),
            pauses=self.scheduler.shared_pauses(),
            urgent=urgent,
        )

    def _learn_groups(self, groups: Iterable[GroupMembers]) -> None:
        if self.groups.update(groups):
            self.log.note(
                Decision.GROUPS_LEARNED,
                groups={group.name: len(group.runner_ids) for group in groups},
            )

    def on_updates(self, aged_updates: Sequence[tuple[PeerUpdate, float]]) -> None:
        """Apply updates of other entries and their ages in seconds."""
        now = self._reactor.seconds()
        for peer_update, age_s in self.exchange.receive(aged_updates):
            self.config.learn_version(
                peer_update.config_generation, peer_update.config_version
            )
            self.crashes.receive(peer_update.lost_attempts, peer_update.lost_parts)
            self.statements.receive(peer_update, now, age_s)
            self._learn_groups(peer_update.groups)
            self.group_watch.receive(
                peer_update.outages, peer_update.entry_id, age_s, now
            )
            self.zones.receive(peer_update.evacuated)
        if not self.exchange.peers.relayed:
            self._apply_peer_updates()
        elif not self._peers_changed:
            self._peers_changed = True
            self._reactor.callLater(_PEERS_CHANGED_S, self._apply_peer_updates)

    def _apply_peer_updates(self) -> None:
        self._peers_changed = False
        self.scheduler.apply_peer_updates(self._reactor.seconds())
        self.relay.admit_waiting()

    def on_relayed(self, bundle: bytes) -> None:
        """Pass a bundle of another zone on to the entries of this zone."""
        self.exchange.pass_on(bundle)

    def on_question(self, question: StoreQuestion) -> None:
        """Answer another entry's question for what is new in the log."""
        self.sharing.on_question(question)

    def on_answer(self, answer: StoreAnswer) -> None:
        """Apply what another entry knows of the log."""
        self.sharing.on_answer(answer)

    def on_fault(self, sender: str, reason: str) -> None:
        """Log a datagram that is malformed or could not be sent."""
        self.log.note(Decision.DATAGRAM_MALFORMED, sender=sender, reason=reason)

    def _on_log_restored(self) -> None:
        """Have all readers of the log check what they know, as one was misled."""
        self.exchange.register_again()
        self.config.check_newest()
        self.runner_watch.check_newest()
        self.quarantine_watch.check_newest()

    def _on_rank_report(self, report: RankReport) -> None:
        self.group_watch.on_report(report, self._reactor.seconds())

    def _is_cold_news(self, runner: RegisteredRunner, started: bool) -> bool:
        return self.cold.on_record(runner, started, self._reactor.seconds())

    def _remove_runner(self, runner_id: str) -> None:
        self.connections.close_idle(runner_id)
        self.scheduler.remove_runner(runner_id)

    def _balance_groups(self) -> None:
        self.balancers.tick(self.ready)

    def _on_evacuations_changed(self) -> None:
        self._send_update_soon()
        self.relay.refuse_evacuated()
        self.relay.admit_waiting()

    def _run_tick(self) -> None:
        self.zones.tick()
        self.account.tick(self._reactor.seconds())
        self.relay.tick()

    def _measure_pace(self) -> None:
        for measured in self.scheduler.measure_pace(self._reactor.seconds()):
            self.log.note(Decision.PACE_SEEN, **measured)
        for group, limit, running in self.scheduler.group_loads():
            self.collectors.group_limit.set({"group": group}, limit)
            self.collectors.group_running.set({"group": group}, running)

    def _run_housekeeping(self) -> None:
        self.runner_watch.expire()
        self.crashes.tick()
        self.quarantine_watch.tick()
        self.connections.close_expired()
        now = self._reactor.seconds()
        if self.runner_watch.loaded:
            self.statements.forget_ended(self.runners.all(), now)
        collectors = self.collectors
        collectors.cold_runners.set({}, self.cold.count(now))
        collectors.peers.set({}, len(self.exchange.peers.alive(now)))
        collectors.running.set({}, sum(self.scheduler.own_running().values()))
        collectors.config_age_s.set({}, self.config.age_s)
        collectors.held_bytes.set({}, self.account.held_bytes)
        collectors.cut_answers.set({}, self.account.cut_answers)
        collectors.refused_uploads.set({}, self.account.refused_uploads)
        self.guards.report(collectors)
        collectors.quarantined.set({}, len(self.crashes.ledger.quarantined()))
        suspects = self.crashes.parts.ledger.suspects()
        collectors.suspected_parts.set({}, len(suspects))
        for service in {runner.service for runner in self.runners.all()}:
            usable = len(self.runners.usable(service))
            collectors.usable_runners.set({"service": service}, usable)
            waiting = self.scheduler.own_waiting().get(service, 0)
            collectors.waiting.set({"service": service}, waiting)
            closed_groups = self.group_watch.closed_groups(service, now)
            collectors.closed_groups.set({"service": service}, closed_groups)


class _SubmittedRequest:
    """A submitted request, which is cancelled if its caller disconnects."""

    __slots__ = ("_relay", "_opened")

    def __init__(self, relay: DirectRelay, opened: OpenDirectCall | None) -> None:
        self._relay = relay
        self._opened = opened

    def on_caller_disconnected(self) -> None:
        """Cancel the request."""
        if self._opened is not None:
            self._relay.abandon(self._opened)


def _boottime_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["DirectEntry", "DirectSources"]
