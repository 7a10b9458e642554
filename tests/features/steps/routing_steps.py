"""Steps for routing and for the subset of runners at scale."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from behave import given, then, when

from corianderrelay.state.routing import Router, RouteRequest
from corianderrelay.state.runner_load import LoadReport
from corianderrelay.state.runner_subset import runner_subset

from bench.routing_policies import POLICIES_BY_NAME
from bench.routing_simulation import Scenario, simulate

_REQUEST = RouteRequest(b"prefix", 1000, 1200)
_RUNNERS = ["runner-0", "runner-1", "runner-2"]
_PERCENTILES = (0.5, 0.95, 0.99)


@when(
    "routing is measured at 12 runners with {rate:f} requests a second and reports "
    "{lag:f} s late"
)
def step_measure(context: Any, rate: float, lag: float) -> None:
    scenario = Scenario(12, 6, 120, rate, 60.0, lag)
    context.outcomes = {name: simulate(scenario, name) for name in POLICIES_BY_NAME}
    context.router_outcome = context.outcomes.pop("ours")


@then("routing has at least {share:f} of the best baseline's cache hits")
def step_cache_hits(context: Any, share: float) -> None:
    best = max(outcome.hit_ratio for outcome in context.outcomes.values())
    assert context.router_outcome.hit_ratio >= share * best, (
        context.router_outcome.hit_ratio,
        best,
    )


@then("routing has at most {share:f} of the best baseline's times to first token")
def step_first_token_times(context: Any, share: float) -> None:
    for percentile in _PERCENTILES:
        best = min(
            outcome.percentile_s(percentile) for outcome in context.outcomes.values()
        )
        router_s = context.router_outcome.percentile_s(percentile)
        assert router_s <= share * best, (percentile, router_s, best)


@when(
    "routing is measured with a runner that becomes 10 times slower and reports "
    "{lag:f} s late"
)
def step_slow(context: Any, lag: float) -> None:
    scenario = Scenario(12, 6, 120, 4.0, 60.0, lag, slow_runner_from_s=30.0)
    context.picks = simulate(scenario, "ours").picks


@then("routing gives the slow runner less than a quarter of its share 3 s later")
def step_share(context: Any) -> None:
    before = [name for now, name in context.picks if 10.0 <= now < 30.0]
    after = [name for now, name in context.picks if now >= 33.0]
    share_before = before.count("runner-0") / len(before)
    share_after = after.count("runner-0") / len(after)
    assert share_after < share_before / 4, (share_before, share_after)


def _pick(context: Any, now: float) -> str:
    picked = context.router.pick(_REQUEST, _RUNNERS, now, context.random)
    assert picked is not None
    return str(picked)


@given("routing over 3 idle runners")
def step_idle(context: Any) -> None:
    context.router = Router()
    context.random = Random(1)
    for runner_id in _RUNNERS:
        context.router.add_runner(runner_id, "")
        context.router.report(runner_id, LoadReport(0, 4000.0), 0.0)
    context.home = _pick(context, 0.0)


@when("routing records 3 failures of the home runner")
def step_failures(context: Any) -> None:
    for attempt in range(3):
        context.router.on_dispatched(str(attempt), context.home, _REQUEST, 0.0)
        context.router.on_ended(str(attempt), context.home, 0.1, failed=True)


@then("routing picks another runner")
def step_another_runner(context: Any) -> None:
    assert _pick(context, 0.2) != context.home


@then("routing picks the home runner again {later:d} s later")
def step_home_again(context: Any, later: int) -> None:
    assert _pick(context, 0.2 + later) == context.home


@when("routing dispatches 50 requests of one prefix at once")
def step_burst(context: Any) -> None:
    context.used = Counter()
    for attempt in range(50):
        runner_id = _pick(context, 0.0)
        context.router.on_dispatched(str(attempt), runner_id, _REQUEST, 0.0)
        context.used[runner_id] += 1


@then("routing has used more than one runner")
def step_spread(context: Any) -> None:
    assert len(context.used) > 1, context.used


def _subsets(context: Any, entries: int, runners: int) -> None:
    context.zones = {f"runner-{i}": f"zone-{i % 3}" for i in range(runners)}
    context.subsets = {
        f"entry-{i}": runner_subset(f"entry-{i}", f"zone-{i % 3}", context.zones)
        for i in range(entries)
    }


@then(
    "routing subsets of {entries:d} entries over {runners:d} runners cover each runner"
)
def step_subset_cover(context: Any, entries: int, runners: int) -> None:
    _subsets(context, entries, runners)
    entries_by_runner = Counter(
        name for subset in context.subsets.values() for name in subset
    )
    assert (
        len(entries_by_runner) == runners
    ), f"{runners - len(entries_by_runner)} runners are in no entry's subset"


@then("routing subsets hold at most {size:d} runners, half of them of the entry's zone")
def step_subset_size(context: Any, size: int) -> None:
    for entry, subset in context.subsets.items():
        zone = f"zone-{int(entry.removeprefix('entry-')) % 3}"
        assert len(set(subset)) == len(subset) == size
        assert sum(context.zones[name] == zone for name in subset) == size // 2


@then("routing subsets change by at most {most:d} runner when a runner is removed")
def step_subset_change(context: Any, most: int) -> None:
    zones = {name: z for name, z in context.zones.items() if name != "runner-7"}
    for entry, subset in context.subsets.items():
        zone = f"zone-{int(entry.removeprefix('entry-')) % 3}"
        after = runner_subset(entry, zone, zones)
        assert len(set(after) - set(subset)) <= most


@when("routing retains only {runner_id}")
def step_retain(context: Any, runner_id: str) -> None:
    context.router.retain_runners({runner_id})


@then("routing tracks {count:d} runner")
def step_tracked(context: Any, count: int) -> None:
    assert len(context.router.runner_ids) == count
