"""Steps for the expert maps of lock-step groups."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from corianderrelay_entry.coordination.direct.decision_log import DecisionLog
from corianderrelay_entry.coordination.direct.popularity_reader import PopularityReader
from corianderrelay_entry.state.direct import sequenced_switch
from corianderrelay_entry.state.direct.catalog import ExpertModel
from corianderrelay_entry.state.direct.group_coordinator import (
    GroupCoordinator,
    round_robin_map,
)
from corianderrelay_entry.state.direct.popularity_sampler import PopularitySampler
from corianderrelay_entry.state.direct.rank_orders import OrderKind
from corianderrelay_entry.state.direct.replica_plan import (
    ReplicaLimits,
    pass_skew,
    plan_replicas,
)
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner
from corianderrelay_entry.state.direct.sequenced_switch import SwitchTimeouts

from tests.machines.group_coordinator_simulation import GroupSimulation
from tests.machines.late_release import LateRelease
from tests.machines.sequenced_group import ModelGroup

_ZIPF_EXPONENT = 1.3
_SEED = 11
_MAX_NEW_PER_SET = 4
_MUTANT_SEEDS = range(20)


class _PlanScenario:
    def __init__(self, ranks: int, experts: int, sets: int, expert_slots: int) -> None:
        self.random = Random(_SEED)
        self.ranks, self.experts, self.sets, self.expert_slots = (
            ranks,
            experts,
            sets,
            expert_slots,
        )
        self.first = round_robin_map(ranks, experts, sets)
        self.active = self.first
        self.slowness = [1.0] * ranks

    def popularity(self) -> list[list[float]]:
        """Return tokens per expert of a Zipf distribution in a new random order."""
        shares = [1000.0 / (n + 1) ** _ZIPF_EXPONENT for n in range(self.experts)]
        return [self.random.sample(shares, len(shares)) for _ in range(self.sets)]

    def plan(self, tokens: list[list[float]], copies: int) -> Any:
        """Return the planned map for these tokens."""
        limits = ReplicaLimits(self.expert_slots, _MAX_NEW_PER_SET, copies)
        return plan_replicas(tokens, self.first, self.active, self.slowness, limits)


@given(
    "a group of {ranks:d} ranks with {experts:d} experts in {sets:d} sets "
    "and {expert_slots:d} expert slots"
)
def step_group(
    context: Any, ranks: int, experts: int, sets: int, expert_slots: int
) -> None:
    context.plans = _PlanScenario(ranks, experts, sets, expert_slots)


@when("popularity jumps {jumps:d} times")
def step_jumps(context: Any, jumps: int) -> None:
    context.jumps = [context.plans.popularity() for _ in range(jumps)]


@then("plans with {copies:d} copies per rank leave a skew of at most {skew:f}")
def step_skew(context: Any, copies: int, skew: float) -> None:
    plans = context.plans
    context.plans_made = []
    for tokens in context.jumps:
        before = plans.active
        plans.active = plans.plan(tokens, copies)
        context.plans_made.append((before, plans.active, copies))
        measured_skew = pass_skew(tokens, plans.active, plans.slowness)
        assert measured_skew <= skew, measured_skew


@then("each plan keeps every expert and respects the slot and copy limits")
def step_plan_limits(context: Any) -> None:
    plans = context.plans
    for before, plan, copies in context.plans_made:
        for number in range(plans.sets):
            held = [set(experts[number]) for experts in plan]
            assert set().union(*held) == set(range(plans.experts))
            for experts in plan:
                assert len(set(experts[number])) == len(experts[number])
                assert len(experts[number]) <= plans.expert_slots
            new = [len(h - set(b[number])) for h, b in zip(held, before)]
            assert max(new) <= _MAX_NEW_PER_SET
        for rank in range(plans.ranks):
            copied = [set(a) - set(b) for a, b in zip(plan[rank], before[rank])]
            assert sum(map(len, copied)) <= copies


@when("rank {rank:d} takes {times:f} times as long")
def step_slow_rank(context: Any, rank: int, times: float) -> None:
    context.slow = (rank, times)


@then("the plan's skew is at most half of that of a plan without this information")
def step_half_skew(context: Any) -> None:
    plans = context.plans
    rank, times = context.slow
    tokens = plans.popularity()
    without_slowness = plans.plan(tokens, 3)
    plans.slowness[rank] = times
    with_slowness = plans.plan(tokens, 3)
    unaware_skew = pass_skew(tokens, without_slowness, plans.slowness)
    aware_skew = pass_skew(tokens, with_slowness, plans.slowness)
    assert aware_skew <= 0.5 * unaware_skew, (aware_skew, unaware_skew)


@when("two plans are made in turn for the same popularity")
def step_two_plans(context: Any) -> None:
    plans = context.plans
    tokens = plans.popularity()
    plans.active = plans.plan(tokens, 3)
    context.second = plans.plan(tokens, 3)


@then("the second plan copies nothing")
def step_no_copies(context: Any) -> None:
    for rank, experts in enumerate(context.second):
        for now, before in zip(experts, context.plans.active[rank]):
            assert set(now) <= set(before)


@given("a balanced map, with streams that cost {cost:f} ms")
def step_balanced(context: Any, cost: float) -> None:
    context.now = 0.0
    context.popularity = PopularitySampler()
    context.popularity.on_map_kept(0.0)
    context.now = 1.0
    assert not context.popularity.needs_sample(cost / 1000, context.now)


@then("no sample is due while streams cost {cost:f} ms")
def step_no_sample_due(context: Any, cost: float) -> None:
    context.now += 0.7
    assert not context.popularity.needs_sample(cost / 1000, context.now)


@when("streams cost {cost:f} ms")
def step_cost(context: Any, cost: float) -> None:
    context.now += 0.1
    context.cost_s = cost / 1000


@then("a sample is due, and another after {span:f} s")
def step_sample_due(context: Any, span: float) -> None:
    popularity = context.popularity
    assert popularity.needs_sample(context.cost_s, context.now)
    first = {"a": [[5, 5], [0, 0]], "b": [[1, 1], [7, 7]]}
    assert popularity.add_sample(first, context.now) is None
    assert not popularity.needs_sample(context.cost_s, context.now + span - 0.05)
    context.now += span
    assert popularity.needs_sample(context.cost_s, context.now)
    assert popularity.span_runner_ids == ["a", "b"]


@then("the span between them holds the tokens of both ranks")
def step_span(context: Any) -> None:
    last = {"a": [[3005, 5], [3000, 0]], "b": [[1, 101], [7, 107]]}
    tokens = context.popularity.add_sample(last, context.now)
    assert tokens == [[3000.0, 100.0], [3000.0, 100.0]]


@when("a sample is added, and the next one comes {seconds:d} s later")
def step_late_sample(context: Any, seconds: int) -> None:
    counts = {"a": [[5, 5], [0, 0]]}
    assert context.popularity.add_sample(counts, context.now) is None
    context.now += seconds


@then("the second sample starts a new span")
def step_new_span(context: Any) -> None:
    second_counts = {"a": [[9005, 5], [9000, 0]]}
    assert context.popularity.add_sample(second_counts, context.now) is None
    assert context.popularity.span_runner_ids == ["a"]


_TICK_S = 0.05


def _run_with_cost(context: Any, cost: float, seconds: float) -> int:
    """Run with this stream cost in ms; return the number of sampled spans."""
    popularity = context.popularity
    spans = 0
    for _ in range(round(seconds / _TICK_S)):
        context.now += _TICK_S
        if not popularity.needs_sample(cost / 1000, context.now):
            continue
        counts = {"a": [[int(context.now * 10000)], [int(context.now * 10000)]]}
        if popularity.add_sample(counts, context.now) is not None:
            spans += 1
            popularity.on_map_kept(context.now)
    return spans


@when(
    "streams cost that for {seconds:d} s, and then another map is active and "
    "found balanced"
)
def step_map_changed(context: Any, seconds: int) -> None:
    _run_with_cost(context, 1.0, seconds)
    context.popularity.on_map_changed()
    context.popularity.on_map_kept(context.now)


@when("streams cost {cost:f} ms from then on")
def step_cost_from_then(context: Any, cost: float) -> None:
    context.cost_s = cost / 1000


@then("a sample is due within {seconds:f} s")
def step_sample_due_within(context: Any, seconds: float) -> None:
    end = context.now + seconds
    while not context.popularity.needs_sample(context.cost_s, context.now):
        context.now += _TICK_S
        assert context.now <= end


@when(
    "streams cost that for {baseline_s:d} s, and then {cost:f} ms for {seconds:d} s, "
    "while the map stays balanced"
)
def step_cost_rises(context: Any, baseline_s: int, cost: float, seconds: int) -> None:
    _run_with_cost(context, 1.0, baseline_s)
    context.spans = _run_with_cost(context, cost, seconds)


@then("at most {most:d} spans are sampled")
def step_span_count(context: Any, most: int) -> None:
    assert 1 <= context.spans <= most, context.spans


@given("a group of {ranks:d} ranks whose coordinator surveyed it {age:f} s ago")
def step_surveyed(context: Any, ranks: int, age: float) -> None:
    context.group = ModelGroup(ranks, copy_s=0.1)
    context.map = tuple(((rank,),) for rank in range(ranks))
    context.coordinator = GroupCoordinator(
        context.group.names, context.map, "first", SwitchTimeouts(), Random(1)
    )
    context.group.advance(0.0)
    context.coordinator.request_survey(0.0)
    for name in context.coordinator.ranks_to_poll(0.0):
        context.coordinator.record_report(
            context.group.report(name, 0.0, 0.0), 0.0, 0.0
        )
    context.now = age


@when("a map is requested")
def step_request_map(context: Any) -> None:
    context.coordinator.request_map(context.map)
    context.polled_ids = context.coordinator.ranks_to_poll(context.now)
    context.orders = context.coordinator.orders(0.06, context.now)


@then("the coordinator sends {orders:d} orders to prepare it and requests no report")
def step_sends_prepare_orders(context: Any, orders: int) -> None:
    assert context.polled_ids == []
    assert [each.kind for each in context.orders] == [OrderKind.PREPARE] * orders


@then("the coordinator requests reports from {ranks:d} ranks and sends no order")
def step_requests_reports(context: Any, ranks: int) -> None:
    assert len(context.polled_ids) == ranks
    assert context.orders == []


class _CountingRanks:
    """Ranks whose counters increase; one may be unavailable."""

    def __init__(self) -> None:
        self.read_ids: list[str] = []
        self.unavailable = ""

    def get(self, runner_id: str) -> RegisteredRunner | None:
        if runner_id == self.unavailable:
            return None
        return RegisteredRunner(runner_id, "assistant", "", 0, "", 5)

    def counts(self, runner: RegisteredRunner) -> Deferred[list[int]]:
        self.read_ids.append(runner.runner_id)
        return succeed([1000 * self.read_ids.count(runner.runner_id)] * 4)


@given("a popularity reader for {ranks:d} ranks of one service")
def step_popularity_reader(context: Any, ranks: int) -> None:
    context.clock = Clock()
    context.ranks = [f"rank-{number}" for number in range(ranks)]
    context.counting_ranks = _CountingRanks()
    context.token_sums = []
    context.failures = []
    context.reader = PopularityReader(
        context.counting_ranks,
        context.counting_ranks,
        context.clock,
        DecisionLog(context.clock.seconds),
        lambda tokens, _: context.token_sums.append(tokens),
        lambda failure: context.failures.append(failure),
    )
    context.experts = ExpertModel(2, 2, 1, 1, 0.1)


def _read_if_due(context: Any, ranks: list[str]) -> bool:
    reader = context.reader
    return bool(reader.is_due(0.0) and reader.read(ranks, context.experts))


@when("a sample is due and is read")
def step_read_sample(context: Any) -> None:
    assert _read_if_due(context, context.ranks)


@then("each rank is sampled once, and once more after {span:f} s")
def step_sampled_twice(context: Any, span: float) -> None:
    assert context.counting_ranks.read_ids == context.ranks
    assert not _read_if_due(context, context.ranks)
    context.clock.advance(span)
    assert _read_if_due(context, ["others"])
    assert context.counting_ranks.read_ids == context.ranks * 2


@then("the tokens of all ranks are summed")
def step_summed(context: Any) -> None:
    assert context.token_sums == [[[3000.0, 3000.0], [3000.0, 3000.0]]]


@when("a rank becomes unavailable before the span ends")
def step_rank_unavailable(context: Any) -> None:
    context.counting_ranks.unavailable = context.ranks[1]
    context.clock.advance(0.35)
    assert not _read_if_due(context, context.ranks)


@then("the next sample starts a new span")
def step_next_span(context: Any) -> None:
    context.counting_ranks.unavailable = ""
    context.counting_ranks.read_ids.clear()
    assert _read_if_due(context, context.ranks)
    assert context.counting_ranks.read_ids == context.ranks
    assert context.token_sums == []


@when("the active map is found to fit")
def step_map_fits(context: Any) -> None:
    assert context.popularity.needs_sample(context.cost_s, context.now)
    context.popularity.on_map_kept(context.now)


@then(
    "{groups:d} simulated groups never start a pass with two maps, and none stays held"
)
def step_simulated(context: Any, groups: int) -> None:
    switches = 0
    for seed in range(groups):
        simulation = GroupSimulation(seed)
        simulation.run()
        switches += simulation.group.switches
    assert switches > groups, "too few maps were switched"


@then("the simulated group of seed {seed:d} never starts a pass with two maps")
def step_earlier_failure(context: Any, seed: int) -> None:
    GroupSimulation(seed).run()


def _release_early(self: Any, rank: Any, order: Any, now: float) -> None:
    _ORIGINAL_ON_DONE(self, rank, order, now)
    if self.phase is sequenced_switch.SwitchPhase.ARMING and rank.armed:
        self._enter(sequenced_switch.SwitchPhase.RELEASING, now)


def _roll_back_without_hold(self: Any, reason: str, now: float) -> None:
    _ORIGINAL_ROLL_BACK(self, reason, now)
    self._enter(sequenced_switch.SwitchPhase.CLEARING, now)


def _release_at_once(self: Any, reason: str, now: float) -> None:
    _ORIGINAL_ROLL_BACK(self, reason, now)
    self._enter(sequenced_switch.SwitchPhase.RELEASING_ALL, now)


_ORIGINAL_ON_DONE = sequenced_switch.SequencedSwitch._on_done
_ORIGINAL_ROLL_BACK = sequenced_switch.SequencedSwitch._roll_back
_MUTANTS = {
    "releases before all ranks are armed": ("_on_done", _release_early),
    "disarms without a second hold": ("_roll_back", _roll_back_without_hold),
    "releases before late orders are fenced": ("_roll_back", _release_at_once),
}


@then("the simulation detects a pass with two maps if a switch {mistake}")
def step_mutant(context: Any, mistake: str) -> None:
    name, mutant = _MUTANTS[mistake]
    with mock.patch.object(sequenced_switch.SequencedSwitch, name, mutant):
        simulations: list[Callable[[], Any]] = [
            LateRelease,
            *(partial(GroupSimulation, n) for n in _MUTANT_SEEDS),
        ]
        if any(_finds_mixed_maps(create) for create in simulations):
            return
    raise AssertionError("no simulation found a pass with two maps")


def _finds_mixed_maps(create: Callable[[], Any]) -> bool:
    try:
        create().run()
    except AssertionError as error:
        return "starts with maps" in str(error)
    return False


@then("no pass starts with two maps if the release arrives while ranks are disarmed")
def step_late_release(context: Any) -> None:
    LateRelease().run()
