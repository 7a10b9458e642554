"""Runs a group balancer for each service; only the elected entry starts switches."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...state.direct.balancer_election import BalancerElection
from ...state.direct.group_directory import GroupMembers, share_groups
from .group_balancer import GroupBalancer

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.rank_orders import RankReport
    from ...state.direct.runner_list import RunnerList
    from .config_watch import ConfigWatch
    from .decision_log import DecisionLog
    from .rank_client import RankClient
    from .service_scheduler import ServiceScheduler

# Short, because a held group makes no progress until another entry takes over. Two
# entries that balance the same group for a short time do no harm.
_PEER_TIMEOUT_S = 0.5
_DISCOVERY_INTERVALS = 2.0  # each peer has sent an update within so many intervals


class ServiceBalancers:
    """Balances the groups of all services while this entry is elected.

    :param on_report: called with each report of a rank.
    """

    def __init__(
        self,
        entry_id: str,
        runners: RunnerList,
        peers: EntryPeers,
        config: ConfigWatch,
        scheduler: ServiceScheduler,
        client: RankClient,
        clock: Clock,
        random: Random,
        log: DecisionLog,
        on_report: Callable[[RankReport], None] = lambda report: None,
    ) -> None:
        self._entry_id = entry_id
        self._runners = runners
        self._peers = peers
        self._config = config
        self._scheduler = scheduler
        self._client = client
        self._clock = clock
        self._random = random
        self._log = log
        self._on_report = on_report
        self._election = BalancerElection(entry_id)
        self._balancers_by_service: dict[str, GroupBalancer] = {}

    def tick(self, ready: bool) -> None:
        """Advance current switches; start new ones if this entry is elected."""
        now = self._clock.seconds()
        catalog = self._config.catalog
        if catalog is None:
            return
        may_switch = self._is_elected(ready, now)
        may_discover = self._election.knows_groups(now, self._discovery_s)
        for service in catalog.services_by_name.values():
            engine = service.engine
            if engine is None or engine.experts is None:
                continue
            balancer = self._balancers_by_service.get(service.name)
            if balancer is None:
                balancer = self._add_balancer(service.name)
            balancer.tick(engine, may_switch, may_discover)

    def slow_runners(self) -> dict[str, float]:
        """Return the slow ranks, if this entry is a candidate of the election."""
        return {
            runner_id: slowness
            for balancer in self._balancers_by_service.values()
            for runner_id, slowness in balancer.slow_runners().items()
            if self._election.is_candidate
        }

    def shared_groups(self, now: float) -> tuple[GroupMembers, ...]:
        """Return the groups that all entries must know, if this one asks ranks."""
        if not self._election.knows_groups(now, self._discovery_s):
            return ()
        return tuple(
            group
            for balancer in self._balancers_by_service.values()
            for group in share_groups(balancer.groups())
        )

    def _is_elected(self, ready: bool, now: float) -> bool:
        alive = self._peers.alive(now, _PEER_TIMEOUT_S)
        others = [peer_update.entry_id for peer_update in alive if peer_update.ready]
        return self._election.is_elected(ready, others, now, self._discovery_s)

    @property
    def _discovery_s(self) -> float:
        return _DISCOVERY_INTERVALS * self._peers.send_interval_s

    def _stream_cost_s(self, service: str) -> float:
        return self._scheduler.pacing.stream_cost_s(service, self._clock.seconds())

    def _add_balancer(self, service: str) -> GroupBalancer:
        balancer = GroupBalancer(
            self._entry_id,
            service,
            self._runners,
            self._client,
            self._clock,
            self._random,
            self._log,
            partial(self._scheduler.pacing.pass_s, service),
            partial(self._stream_cost_s, service),
            self._scheduler.running,
            self._on_report,
        )
        self._balancers_by_service[service] = balancer
        return balancer


__all__ = ["ServiceBalancers"]
