"""One entry of a direct deployment: its parts, and how they are joined."""

from __future__ import annotations

import time
from random import SystemRandom
from typing import TYPE_CHECKING, Any

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.state.incarnation import new_incarnation
from corianderrelay.transport.metrics import Metrics

from .coordination.direct.config_watch import ConfigWatch
from .coordination.direct.decision_log import Decision, DecisionLog
from .coordination.direct.direct_metrics import DirectMetrics
from .coordination.direct.direct_relay import DirectRelay
from .coordination.direct.group_balancing import GroupBalancing
from .coordination.direct.peer_exchange import PeerExchange
from .coordination.direct.runner_watch import RunnerWatch
from .coordination.direct.service_places import ServicePlaces
from .state.direct.catalog import CallerLimits
from .state.direct.runner_list import RunnerList
from .transport.direct.peer_socket import PeerSocket
from .transport.direct.runner_http import RunnerPool

if TYPE_CHECKING:
    from .coordination.direct.open_direct_call import OpenDirectCall
    from .coordination.direct.ports import (
        ConfigSource,
        Dialect,
        EntryRegistry,
        RunnerSource,
    )
    from .coordination.direct.rank_port import RankCalls
    from .state.direct.entry_peers import PeerUpdate
    from .state.direct.settings import DirectSettings
    from .transport.direct.caller_http import CallerConnection, CallerRequest

_TICK_S = 0.05  # a request is ended within this time of its deadline
_HOUSEKEEPING_S = 0.5  # idle connections and lapsed records are due within seconds
_MEASURING_S = 0.25  # some passes; what a stream costs changes within seconds


class DirectSources:
    """What the platform keeps for the entries.

    :param dialect: names of headers towards callers and runners.
    :param ranks: calls to runners that step together.
    """

    __slots__ = ("config", "runners", "entries", "dialect", "ranks")

    def __init__(
        self,
        config: ConfigSource,
        runners: RunnerSource,
        entries: EntryRegistry,
        dialect: Dialect,
        ranks: RankCalls,
    ) -> None:
        self.ranks = ranks
        self.config = config
        self.runners = runners
        self.entries = entries
        self.dialect = dialect


class DirectEntry:
    """An entry process without its listening ports; handles callers' requests."""

    def __init__(
        self, settings: DirectSettings, sources: DirectSources, reactor: Any
    ) -> None:
        self.settings = settings
        self.leaving = False
        self._dialect = sources.dialect
        self._reactor = reactor
        self.log = DecisionLog(reactor.seconds)
        self.collectors = DirectMetrics()
        self.metrics = Metrics(self.collectors.collectors())
        self.runners = RunnerList()
        self.config = ConfigWatch(
            sources.config,
            reactor,
            _true_seconds,
            settings.bounds.revoke_s,
            self.log,
            self.collectors,
        )
        self.peer_socket = PeerSocket(self._hear, self._note_malformed_datagram)
        random = SystemRandom()
        self.exchange = PeerExchange(
            settings,
            new_incarnation(time.time(), random),
            sources.entries,
            reactor,
            self.log,
            self.peer_socket.tell,
            self._take_news,
        )
        self.places = ServicePlaces(
            self.runners, self.exchange.peers, settings.bounds, random, self.config
        )
        self.connections = RunnerPool(reactor, reactor, sources.dialect)
        self.runner_watch = RunnerWatch(
            sources.runners,
            self.runners,
            reactor,
            self.log,
            self.collectors,
            self._forget_runner,
            settings.bounds.leaving_s,
        )
        self.relay = DirectRelay(
            sources.dialect,
            self.connections,
            self.config,
            self.places,
            reactor,
            self.log,
            self.collectors,
        )
        self.balancing = GroupBalancing(
            settings.entry_id,
            self.runners,
            self.exchange.peers,
            self.config,
            self.places,
            sources.ranks,
            reactor,
            random,
            self.log,
        )
        self._tick = Periodic(reactor, self.relay.tick)
        self._balance = Periodic(reactor, self._balance_groups)
        self._housekeeping = Periodic(reactor, self._keep_house)
        self._measuring = Periodic(reactor, self._measure_pace)

    @property
    def limits(self) -> CallerLimits:
        """The bounds on callers that are in force."""
        catalog = self.config.catalog
        return CallerLimits() if catalog is None else catalog.limits

    @property
    def ready(self) -> bool:
        """Whether new callers may come here."""
        return (
            not self.leaving
            and self.runner_watch.known
            and self.config.catalog is not None
            and self.config.keys_trusted()
        )

    def start(self) -> None:
        """Begin to follow the log and the other entries."""
        self.config.start()
        self.runner_watch.start()
        self.exchange.start()
        self._tick.start(_TICK_S)
        self._housekeeping.start(_HOUSEKEEPING_S)
        self._measuring.start(_MEASURING_S)
        self._balance.start(_TICK_S)
        self._tell_peers()

    def leave(self) -> None:
        """Take no new callers; serve those that still come."""
        self.leaving = True
        self._tell_now()

    def entry_addresses(self) -> list[str]:
        """Return where callers may connect: the entries that are there and ready."""
        now = self._reactor.seconds()
        addresses = [
            news.callers_address
            for news in self.exchange.peers.alive(now)
            if news.ready
        ]
        return [str(self.settings.callers), *addresses] if self.ready else addresses

    def handle(
        self, request: CallerRequest, connection: CallerConnection
    ) -> _CallerWork:
        """Work on a caller's request."""
        call = self._dialect.decode_call(
            request.method,
            request.target,
            request.headers,
            request.body,
            self._reactor.seconds(),
        )
        return _CallerWork(self.relay, self.relay.submit(call, connection))

    def rejected(self, status: int, reason: str) -> None:
        """Note bytes of a caller that were not a request."""
        self.collectors.refusals.inc({"status": str(status)})
        self.log.note(Decision.REQUEST_MALFORMED, status=status, reason=reason)

    def _tell_peers(self) -> None:
        self._tell_now()
        self._reactor.callLater(self.exchange.peers.send_interval_s, self._tell_peers)

    def _tell_now(self) -> None:
        slowness = self.balancing.slow_runners()
        self.places.set_own_slowness(slowness)
        self.exchange.tell(
            self.ready,
            self.places.own_running(),
            self.places.own_waiting(),
            slowness,
        )

    def _hear(self, news: PeerUpdate) -> None:
        self.exchange.hear(news)

    def _take_news(self) -> None:
        self.places.hear_peers(self._reactor.seconds())
        self.relay.admit_waiting()

    def _note_malformed_datagram(self, sender: str, reason: str) -> None:
        self.log.note(Decision.DATAGRAM_MALFORMED, sender=sender, reason=reason)

    def _forget_runner(self, runner_id: str) -> None:
        self.connections.drop(runner_id)
        self.places.forget_runner(runner_id)

    def _balance_groups(self) -> None:
        self.balancing.tick(self.ready)

    def _measure_pace(self) -> None:
        for measured in self.places.measure_pace(self._reactor.seconds()):
            self.log.note(Decision.PACE_SEEN, **measured)

    def _keep_house(self) -> None:
        self.runner_watch.expire()
        self.connections.trim()
        now = self._reactor.seconds()
        collectors = self.collectors
        collectors.peers.set({}, len(self.exchange.peers.alive(now)))
        collectors.running.set({}, sum(self.places.own_running().values()))
        collectors.config_age_s.set({}, self.config.age_s)
        for service in {runner.service for runner in self.runners.all()}:
            usable = len(self.runners.usable(service))
            collectors.usable_runners.set({"service": service}, usable)
            waiting = self.places.own_waiting().get(service, 0)
            collectors.waiting.set({"service": service}, waiting)


class _CallerWork:
    """A caller's request that may still be open."""

    __slots__ = ("_relay", "_opened")

    def __init__(self, relay: DirectRelay, opened: OpenDirectCall | None) -> None:
        self._relay = relay
        self._opened = opened

    def caller_gone(self) -> None:
        """The caller has closed its connection."""
        if self._opened is not None:
            self._relay.abandon(self._opened)


def _true_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["DirectEntry", "DirectSources"]
