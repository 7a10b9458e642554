"""Steps for the balancers of many entries before one group."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from corianderrelay_entry.coordination.direct.decision_log import DecisionLog
from corianderrelay_entry.coordination.direct.service_balancers import ServiceBalancers
from corianderrelay_entry.state.direct.catalog import Catalog, Service
from corianderrelay_entry.state.direct.entry_peers import EntryPeers, PeerUpdate
from corianderrelay_entry.state.direct.runner_list import RunnerList

from tests.harness.answering_ranks import ENGINE, SERVICE, AnsweringRanks, rank_runner

_TICK_S = 0.05
_CATALOG = Catalog(
    version=1,
    routes_by_host={},
    services_by_name={SERVICE: Service(SERVICE, ENGINE)},
    workspaces_by_key={},
    needs_key=False,
)


class _Entry:
    """The balancers of one entry and its view of the others."""

    def __init__(self, number: int, runners: RunnerList, ranks: Any, clock: Any):
        self.entry_id = f"entry-{number:03}"
        self.sequence = 0
        self.next_update_at = 0.0
        self.peers = EntryPeers(self.entry_id)
        pacing = SimpleNamespace(
            pass_s=lambda service: 0.0, stream_cost_s=lambda service, now: 0.0
        )
        scheduler: Any = SimpleNamespace(pacing=pacing, running=lambda runner_id: 0)
        config: Any = SimpleNamespace(catalog=_CATALOG)
        self.balancers = ServiceBalancers(
            self.entry_id,
            runners,
            self.peers,
            config,
            scheduler,
            ranks,
            clock,
            Random(number),
            DecisionLog(clock.seconds),
        )

    @property
    def knows_group(self) -> bool:
        balancers = self.balancers._balancers_by_service.values()
        return any(balancer._groups_by_name for balancer in balancers)

    def update(self) -> PeerUpdate:
        self.sequence += 1
        return PeerUpdate(self.entry_id, 1, self.sequence, "a:1", "a", 2, True)


def _run(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / _TICK_S)):
        context.clock.advance(_TICK_S)
        now = context.clock.seconds()
        for entry in context.entries:
            if now >= entry.next_update_at:
                entry.next_update_at = now + entry.peers.send_interval_s
                update = entry.update()
                for other in context.entries:
                    other.peers.on_update(update, now)
            entry.balancers.tick(ready=True)


@given("{count:d} entries that balance a group of {ranks:d} ranks")
def step_entries(context: Any, count: int, ranks: int) -> None:
    context.clock = Clock()
    runners = RunnerList()
    names = [f"rank {number}" for number in range(ranks)]
    for name in names:
        runners.put(rank_runner(name))
    context.ranks = AnsweringRanks(names)
    context.entries = [
        _Entry(number, runners, context.ranks, context.clock) for number in range(count)
    ]


@when("all of them become ready at once and run for {seconds:d} s")
def step_become_ready(context: Any, seconds: int) -> None:
    _run(context, seconds)


@when("the first entry is killed and the others run for {seconds:d} s")
def step_first_killed(context: Any, seconds: int) -> None:
    del context.entries[0]
    _run(context, seconds)


@then("{count:d} entries know the group")
def step_know(context: Any, count: int) -> None:
    knowing = [entry.entry_id for entry in context.entries if entry.knows_group]
    assert knowing == [f"{entry.entry_id}" for entry in context.entries[:count]]


@then("the entries have asked each rank at most {most:d} times")
def step_asked(context: Any, most: int) -> None:
    asked = {name: context.ranks.asked[name] for name in context.ranks.names}
    assert max(asked.values()) <= most, asked


@then("the next entry has taken over")
def step_taken_over(context: Any) -> None:
    assert context.entries[0].balancers._election.is_candidate
    assert not any(
        entry.balancers._election.is_candidate for entry in context.entries[1:]
    )
