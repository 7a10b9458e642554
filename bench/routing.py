"""Compares the router with random, round-robin, least-reported and affinity routing.

Prints, for each scenario and report lag, the cache hit ratio and the times to first
token of each policy. The last row is the router's ratio to the best baseline for each
measure: above 1 is better for hits, below 1 is better for times. A further table shows
how quickly picks move away from a runner that becomes slow.
"""

from __future__ import annotations

import sys
import time

from bench.routing_policies import POLICIES_BY_NAME
from bench.routing_simulation import Outcome, Scenario, simulate

_LAGS_S = (0.1, 1.0, 5.0)
_REQUESTS_PER_RUNNER_S = 4.0
_SURGE_PER_RUNNER_S = 6.0
_SLOW_FROM_S = 60.0
_ADAPTATION_S = 3.0
_QUANTILES = (0.5, 0.95, 0.99)


def _measures_of(outcome: Outcome) -> list[float]:
    return [
        outcome.hit_ratio,
        *(outcome.percentile_s(quantile) for quantile in _QUANTILES),
    ]


def _print_scenario(title: str, scenario: Scenario) -> None:
    started = time.monotonic()
    rows = {name: _measures_of(simulate(scenario, name)) for name in POLICIES_BY_NAME}
    print(f"{title}, report lag {scenario.report_lag_s} s, 1 in 10 reports lost")
    print(f"  {'policy':<16}{'hits':>8}{'p50 s':>9}{'p95 s':>9}{'p99 s':>9}")
    for name, row in rows.items():
        cells = "".join(f"{value:9.3f}" for value in row[1:])
        print(f"  {name:<16}{row[0]:8.3f}{cells}")
    router_measures = rows.pop("ours")
    best_baseline = [max(row[0] for row in rows.values())]
    best_baseline += [
        min(row[i] for row in rows.values()) for i in range(1, len(router_measures))
    ]
    ratios = [
        measured / baseline
        for measured, baseline in zip(router_measures, best_baseline)
    ]
    print(
        f"  {'ours / best':<16}{ratios[0]:8.2f}"
        + "".join(f"{r:9.2f}" for r in ratios[1:])
    )
    print(f"  ({time.monotonic() - started:.0f} s)")


def _slow_runner_share(outcome: Outcome, start_s: float, end_s: float) -> float:
    picks = [name for now, name in outcome.picks if start_s <= now < end_s]
    return picks.count("runner-0") / len(picks)


def _print_slow_runner(lag_s: float) -> None:
    scenario = Scenario(
        12,
        6,
        120,
        _REQUESTS_PER_RUNNER_S,
        90.0,
        lag_s,
        slow_runner_from_s=_SLOW_FROM_S,
    )
    print(
        f"1 of 12 runners becomes 10 times slower, report lag {lag_s} s: its pick share"
    )
    for name in ("round robin", "pure affinity", "ours"):
        outcome = simulate(scenario, name)
        before = _slow_runner_share(outcome, 20.0, _SLOW_FROM_S)
        after = _slow_runner_share(outcome, _SLOW_FROM_S + _ADAPTATION_S, 90.0)
        print(f"  {name:<16} before {before:.3f}, from 3 s after {after:.3f}")


def main() -> None:
    """Run all scenarios; with the argument ``small``, only those with 12 runners."""
    for lag_s in _LAGS_S:
        _print_scenario(
            "12 runners, 6 entries",
            Scenario(12, 6, 120, _REQUESTS_PER_RUNNER_S, 120.0, lag_s),
        )
        _print_scenario(
            "12 runners, 6 entries, traffic surge",
            Scenario(12, 6, 120, _SURGE_PER_RUNNER_S, 120.0, lag_s),
        )
        _print_slow_runner(lag_s)
    if "small" in sys.argv[1:]:
        return
    for lag_s in _LAGS_S:
        _print_scenario(
            "600 runners, 330 entries with a subset of 32",
            Scenario(600, 330, 3000, _REQUESTS_PER_RUNNER_S, 10.0, lag_s),
        )


if __name__ == "__main__":
    main()
