"""Steps for the expert planner and for the bench's relabelling of ranks."""

from __future__ import annotations

import itertools
import random
from typing import Any

from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test

from corianderrelay.state.expert_map import ExpertMap, moves_between
from corianderrelay.state.expert_placement import plan_placement
from corianderrelay.state.expert_planner import ChangeMap, ExpertPlanner, PlannerRules

from bench.rank_matching import relabel_ranks
from tests.machines.planner_machine import PlannerMachine
from tests.machines.settings import machine_settings

_DECISION_INTERVAL_S = 0.2
_MAX_DECISIONS = 400


def _rules(slots_per_rank: int, skew_weight: float, move_cost: float) -> PlannerRules:
    return PlannerRules(
        slots_per_rank=slots_per_rank,
        skew_weight=skew_weight,
        move_cost=move_cost,
        expert_bytes=100,
        store_bytes_per_s=1000,
    )


@then("the planner state machine passes {examples:d} examples of {steps:d} steps")
def step_run_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        PlannerMachine, settings=machine_settings(examples, steps)
    )


@given(
    "a planner's group of {ranks:d} ranks with {slots:d} slots each and {n:d} experts"
)
def step_group(context: Any, ranks: int, slots: int, n: int) -> None:
    context.slots = slots
    context.load = [100.0] * n
    context.map = plan_placement(context.load, ranks, slots)
    context.planner = ExpertPlanner(_rules(slots, 8.0, 1.0))


@given("the planner's load of expert 0 is {factor:g} times that of the others")
def step_load(context: Any, factor: float) -> None:
    context.load[0] *= factor


@when("a planner with skew weight {weight:g} and move cost {cost:g} decides")
def step_decide(context: Any, weight: float, cost: float) -> None:
    planner = ExpertPlanner(_rules(context.slots, weight, cost))
    context.decision = planner.decide(context.map, context.load, 0.0, 0.0)


@then("the planner changes the map")
def step_map_changed(context: Any) -> None:
    assert isinstance(context.decision, ChangeMap), context.decision


@then("the planner keeps the map as {reason}")
def step_map_kept(context: Any, reason: str) -> None:
    assert not isinstance(context.decision, ChangeMap), context.decision
    assert context.decision.reason.value == reason, context.decision


@when("the planner's load is drawn at random for each of {count:d} decisions")
def step_random_loads(context: Any, count: int) -> None:
    source = random.Random(11)
    context.changes = []
    for period in range(count):
        load = [source.uniform(80.0, 120.0) for _ in context.load]
        decision = context.planner.decide(context.map, load, 0.0, 5.0 * period)
        context.changes.append(isinstance(decision, ChangeMap))
        if isinstance(decision, ChangeMap):
            context.map = decision.expert_map


@then(
    "the planner changes the map at most {most:d} times in the last {last:d} decisions"
)
def step_few_changes(context: Any, most: int, last: int) -> None:
    assert any(context.changes), "no random load caused a change of the map"
    assert sum(context.changes[-last:]) <= most, context.changes


@when("the planner's load becomes stable with ten times the load on expert 0")
def step_stable_load(context: Any) -> None:
    load = [1000.0, *[100.0] * (len(context.load) - 1)]
    context.decision = context.planner.decide(context.map, load, 0.0, 1000.0)


@given("a planner with skew weight {weight:g} and move cost {cost:g}")
def step_planner(context: Any, weight: float, cost: float) -> None:
    context.planner = ExpertPlanner(_rules(context.slots, weight, cost))


@when("the planner's load moves to other experts after each change, {times:d} times")
def step_moving_load(context: Any, times: int) -> None:
    experts = len(context.load)
    now = 0.0
    context.decision_counts = []
    for change in range(times):
        popular = {3 * change % experts, (3 * change + 1) % experts}
        load = [900.0 if expert in popular else 100.0 for expert in range(experts)]
        for wait in range(_MAX_DECISIONS):
            now += _DECISION_INTERVAL_S
            decision = context.planner.decide(context.map, load, 0.0, now)
            if isinstance(decision, ChangeMap):
                context.map = decision.expert_map
                break
        context.decision_counts.append(wait + 1)


@then("the planner changes the map each time within {most:d} decisions")
def step_changed_in_time(context: Any, most: int) -> None:
    assert max(context.decision_counts) <= most, context.decision_counts


@then("the planner bench's relabelling moves as few slots as any order of ranks")
def step_relabel(context: Any) -> None:
    source = random.Random(7)
    for _ in range(40):
        ranks = source.randint(1, 6)
        old, new = (
            plan_placement([source.random() for _ in range(6)], ranks, 12 // ranks)
            for _ in range(2)
        )
        fewest = min(
            len(moves_between(old, ExpertMap(order)))
            for order in itertools.permutations(new.experts_by_rank)
        )
        relabelled = relabel_ranks(old, new)
        assert sorted(relabelled.experts_by_rank) == sorted(new.experts_by_rank)
        assert len(moves_between(old, relabelled)) == fewest
