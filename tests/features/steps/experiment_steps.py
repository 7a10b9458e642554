"""Steps for the simulation model of lock-step groups and its experiments."""

from __future__ import annotations

import statistics
from random import Random
from typing import Any

from behave import then, when
from click.testing import CliRunner

from bench.experiment import SITES, main, run_experiment
from bench.group_model import median_pass_s

_SEEDS = 4
_PASSES = 200


@then(
    "the median pass of a {site} group with {streams:d} streams lasts "
    "{recorded_ms:d} ms, within {error:d} in 100"
)
def step_median_pass(
    context: Any, site: str, streams: int, recorded_ms: int, error: int
) -> None:
    shape, events = SITES[site].shape, SITES[site].mean_events
    modelled_s = statistics.median(
        median_pass_s(shape, streams, events, _PASSES, Random(seed))
        for seed in range(_SEEDS)
    )
    assert abs(1000 * modelled_s - recorded_ms) <= recorded_ms * error / 100, modelled_s


@then(
    "two simulations of the {site} site with seed 3 have equal outcomes, "
    "and one with seed 4 differs"
)
def step_same_seed(context: Any, site: str) -> None:
    first, second = (
        run_experiment(site, "experts_shift", "all", 5, 10.0) for _ in range(2)
    )
    assert first[3] == second[3]
    assert first[3] != first[4]


@when(
    "the {site} site is simulated under {load} with the policies {policy} "
    "and all for {length:g} s"
)
def step_compare_policy(
    context: Any, site: str, load: str, policy: str, length: float
) -> None:
    context.in_time = [
        statistics.fmean(
            outcome.in_time for outcome in run_experiment(site, load, chosen, 2, length)
        )
        for chosen in (policy, "all")
    ]


@then(
    "the share of streams in time is higher with the policy all, "
    "by at least {points:d} in 100"
)
def step_higher_share(context: Any, points: int) -> None:
    with_policy, with_all = context.in_time
    assert with_all >= with_policy + points / 100, context.in_time


@when('the experiment is run with the load "{load}"')
def step_run_with_load(context: Any, load: str) -> None:
    context.result = CliRunner().invoke(main, ["--loads", load])


@then('the experiment exits with status {status:d} and lists "{name}"')
def step_lists_names(context: Any, status: int, name: str) -> None:
    assert context.result.exit_code == status, context.result.output
    assert name in context.result.output
