"""Which entry balances the groups of which service."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...state.direct.balancer_election import BalancerElection
from .group_balancer import GroupBalancer

if TYPE_CHECKING:
    from random import Random

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.runner_list import RunnerList
    from .config_watch import ConfigWatch
    from .decision_log import DecisionLog
    from .rank_port import RankCalls
    from .service_places import ServicePlaces

_MISSED_S = 0.5  # a group that is held stands still; two that balance it are safe


class GroupBalancing:
    """Balances groups while this entry is the first of those that are there."""

    def __init__(
        self,
        entry_id: str,
        runners: RunnerList,
        peers: EntryPeers,
        config: ConfigWatch,
        places: ServicePlaces,
        calls: RankCalls,
        clock: Clock,
        random: Random,
        log: DecisionLog,
    ) -> None:
        self._entry_id = entry_id
        self._runners = runners
        self._peers = peers
        self._config = config
        self._places = places
        self._calls = calls
        self._clock = clock
        self._random = random
        self._log = log
        self._turn = BalancerElection(entry_id)
        self._balancers_by_service: dict[str, GroupBalancer] = {}

    def tick(self, ready: bool) -> None:
        """Go on with switches; begin new ones if it is this entry's turn."""
        now = self._clock.seconds()
        catalog = self._config.catalog
        if catalog is None:
            return
        may_switch = self._is_mine(ready, now)
        for service in catalog.services_by_name.values():
            engine = service.engine
            if engine is None or engine.experts is None:
                continue
            balancer = self._balancers_by_service.get(service.name)
            if balancer is None:
                balancer = self._balancer(service.name)
            balancer.tick(engine, may_switch)

    def slow_runners(self) -> dict[str, float]:
        """Return the slow ranks of the groups that this entry balances."""
        return {
            runner_id: slowness
            for balancer in self._balancers_by_service.values()
            for runner_id, slowness in balancer.slow_runners().items()
            if self._turn.is_candidate
        }

    def _is_mine(self, ready: bool, now: float) -> bool:
        alive = self._peers.alive(now, _MISSED_S)
        others = [news.entry_id for news in alive if news.ready]
        return self._turn.is_elected(ready, others, now)

    def _stream_cost_s(self, service: str) -> float:
        return self._places.stream_cost_s(service, self._clock.seconds())

    def _balancer(self, service: str) -> GroupBalancer:
        balancer = GroupBalancer(
            self._entry_id,
            service,
            self._runners,
            self._calls,
            self._clock,
            self._random,
            self._log,
            partial(self._places.pass_s, service),
            partial(self._stream_cost_s, service),
            self._places.running,
        )
        self._balancers_by_service[service] = balancer
        return balancer


__all__ = ["GroupBalancing"]
