"""Runs the planner benchmark on all generated traces, group sizes and weights."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

import click

from bench import traces
from bench.planner import Figures, measure_bound, planner_rules, run_policy
from bench.planner_policies import (
    CostAwareReplan,
    FullReplan,
    NeverMove,
    Policy,
    ThresholdReplan,
)

SLOTS_PER_RANK_BY_RANKS = {8: 10, 32: 4, 256: 2}
WEIGHTS_BY_USER = {"Vindlaus": (4.0, 1.0), "Rafovi": (1.0, 2.0)}
_PROCESSES = 3


@dataclass(frozen=True, slots=True)
class Case:
    """One policy on one trace; ``user`` selects the planner's weights."""

    trace: str
    ranks: int
    policy: str
    user: str
    seed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """A case with its figures."""

    case: Case
    figures: Figures


def all_cases(seed: int, planner_only: bool = False) -> Iterator[Case]:
    """Yield all cases; baselines run once because they use no weights."""
    baselines = [("full_replan", ""), ("threshold", ""), ("never", ""), ("bound", "")]
    planners = itertools.product(("planner", "planner_greedy"), WEIGHTS_BY_USER)
    policies = [*planners] if planner_only else [*baselines, *planners]
    for ranks, trace in itertools.product(SLOTS_PER_RANK_BY_RANKS, traces.TRACE_NAMES):
        for policy, user in policies:
            yield Case(trace, ranks, policy, user, seed)


def run_case(case: Case) -> Outcome:
    """Run one case and return its figures."""
    loads = traces.generate(case.trace, case.seed)
    slots = SLOTS_PER_RANK_BY_RANKS[case.ranks]
    if case.policy == "bound":
        return Outcome(case, measure_bound(loads, case.ranks, slots))
    policy = _policy(case, slots)
    return Outcome(case, run_policy(case.policy, policy, loads, case.ranks, slots))


def _policy(case: Case, slots_per_rank: int) -> Policy:
    if case.policy == "never":
        return NeverMove()
    if case.policy == "full_replan":
        return FullReplan(slots_per_rank)
    if case.policy == "threshold":
        return ThresholdReplan(slots_per_rank)
    concentration_weight = 0.0 if case.policy == "planner_greedy" else 1.0
    skew_weight, move_cost = WEIGHTS_BY_USER[case.user]
    return CostAwareReplan(
        planner_rules(slots_per_rank, skew_weight, move_cost, concentration_weight)
    )


def run_suite(seed: int, planner_only: bool = False) -> list[Outcome]:
    """Run all cases in a pool of processes."""
    with ProcessPoolExecutor(_PROCESSES) as pool:
        return list(pool.map(run_case, all_cases(seed, planner_only)))


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--planner-only", is_flag=True, help="Skip the baselines.")
def main(seed: int, planner_only: bool) -> None:
    """Print one JSON line for each case."""
    for outcome in run_suite(seed, planner_only):
        print(json.dumps(asdict(outcome.case) | asdict(outcome.figures)))


if __name__ == "__main__":
    main()
