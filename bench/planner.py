"""Compares the expert planner with its baselines on a trace of tokens by expert.

Once a period, every policy receives the same delayed, decayed load estimate. Moves
take as long as the weight store's rate requires; until they are complete, the old map
stays in use and its skew is counted.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

import click
import numpy as np
from numpy.typing import NDArray

from corianderrelay.state.expert_map import ExpertMap, moves_between, skew
from corianderrelay.state.expert_placement import plan_placement
from corianderrelay.state.expert_planner import PlannerRules
from corianderrelay.state.expert_popularity import ExpertPopularity

from bench import traces
from bench.planner_policies import (
    CostAwareReplan,
    FullReplan,
    NeverMove,
    Policy,
    ThresholdReplan,
)

EXPERT_BYTES = 50_000_000
STORE_BYTES_PER_S = 500_000_000
_REPORT_LAG_S = 2
_PERIOD_S = 5
_WARM_UP_S = 30
_HALF_LIFE_S = 5.0
_STEPS_HELD_PER_SWITCH = 3


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of one policy on one trace."""

    policy: str
    skew_mean: float
    skew_p95: float
    skew_p99: float
    moved_bytes: int
    switches: int
    steps_held: int
    decisions: int
    cpu_ms_mean: float
    cpu_ms_max: float


def run_policy(
    name: str, policy: Policy, loads: traces.Loads, ranks: int, slots_per_rank: int
) -> Figures:
    """Run one policy on a trace.

    :param loads: tokens, by second and expert.
    """
    popularity = ExpertPopularity(loads.shape[1], _HALF_LIFE_S)
    for second in range(_WARM_UP_S - _REPORT_LAG_S):
        popularity.record(second + 1.0, 1.0, loads[second].tolist())
    current = plan_placement(popularity.tokens_per_s_by_expert(), ranks, slots_per_rank)
    planned: ExpertMap | None = None
    ready_s = 0.0
    moved_slots = switches = 0
    cpu_s: list[float] = []
    skews: list[float] = []
    for second in range(_WARM_UP_S, len(loads)):
        if planned is not None and second >= ready_s:
            current, planned = planned, None
            switches += 1
        reported = second - _REPORT_LAG_S
        popularity.record(reported, 1.0, loads[reported - 1].tolist())
        if planned is None and second % _PERIOD_S == 0:
            estimated_load = popularity.tokens_per_s_by_expert()
            started_s = time.process_time()
            planned = policy.decide(current, estimated_load, _REPORT_LAG_S, second)
            cpu_s.append(time.process_time() - started_s)
            if planned is not None:
                changed_slots = len(moves_between(current, planned))
                moved_slots += changed_slots
                ready_s = second + changed_slots * EXPERT_BYTES / STORE_BYTES_PER_S
        skews.append(skew(current, loads[second].tolist()))
    return _figures(name, np.array(skews), moved_slots, switches, np.array(cpu_s))


def _figures(
    name: str,
    skews: NDArray[np.float64],
    moved_slots: int,
    switches: int,
    cpu_s: NDArray[np.float64],
) -> Figures:
    return Figures(
        policy=name,
        skew_mean=round(float(skews.mean()), 4),
        skew_p95=round(float(np.percentile(skews, 95)), 4),
        skew_p99=round(float(np.percentile(skews, 99)), 4),
        moved_bytes=moved_slots * EXPERT_BYTES,
        switches=switches,
        steps_held=switches * _STEPS_HELD_PER_SWITCH,
        decisions=len(cpu_s),
        cpu_ms_mean=round(float(cpu_s.mean()) * 1e3, 3) if len(cpu_s) else 0.0,
        cpu_ms_max=round(float(cpu_s.max()) * 1e3, 3) if len(cpu_s) else 0.0,
    )


def measure_bound(loads: traces.Loads, ranks: int, slots_per_rank: int) -> Figures:
    """Return the figures of a free, instant re-plan from each second's true load."""
    skews = np.array(
        [
            skew(plan_placement(row, ranks, slots_per_rank), row)
            for row in loads[_WARM_UP_S:].tolist()
        ]
    )
    return _figures("bound", skews, 0, 0, np.array([]))


def planner_rules(
    slots_per_rank: int,
    skew_weight: float,
    move_cost: float,
    concentration_weight: float = 1.0,
) -> PlannerRules:
    """Return planner rules that use the benchmark's weight store."""
    return PlannerRules(
        slots_per_rank=slots_per_rank,
        skew_weight=skew_weight,
        move_cost=move_cost,
        expert_bytes=EXPERT_BYTES,
        store_bytes_per_s=STORE_BYTES_PER_S,
        concentration_weight=concentration_weight,
    )


def compare_policies(
    loads: traces.Loads,
    ranks: int,
    slots_per_rank: int,
    skew_weight: float,
    move_cost: float,
) -> Iterator[Figures]:
    """Yield the figures of the planner, the baselines and the bound.

    ``planner_greedy`` is the planner with a concentration weight of 0.
    """
    weights = (slots_per_rank, skew_weight, move_cost)
    policies: dict[str, Policy] = {
        "planner": CostAwareReplan(planner_rules(*weights)),
        "planner_greedy": CostAwareReplan(
            planner_rules(*weights, concentration_weight=0.0)
        ),
        "never": NeverMove(),
        "full_replan": FullReplan(slots_per_rank),
        "threshold": ThresholdReplan(slots_per_rank),
    }
    for name, policy in policies.items():
        yield run_policy(name, policy, loads, ranks, slots_per_rank)
    yield measure_bound(loads, ranks, slots_per_rank)


def read_trace(path: Path) -> traces.Loads:
    """Return the loads of a file with one JSON line per second."""
    rows = [json.loads(line) for line in path.read_text().splitlines() if line]
    rows.sort(key=lambda row: float(row["t_s"]))
    return np.array([row["tokens_by_expert"] for row in rows], dtype=np.float64)


@click.command()
@click.option("--trace", type=click.Path(exists=True, path_type=Path))
@click.option("--generated", type=click.Choice(traces.TRACE_NAMES), default="drift")
@click.option("--seed", default=1, show_default=True)
@click.option("--ranks", default=8, show_default=True)
@click.option("--slots-per-rank", default=10, show_default=True)
@click.option("--skew-weight", default=4.0, show_default=True)
@click.option("--move-cost", default=1.0, show_default=True)
def main(
    trace: Path | None,
    generated: str,
    seed: int,
    ranks: int,
    slots_per_rank: int,
    skew_weight: float,
    move_cost: float,
) -> None:
    """Print one JSON line for each policy on a trace file or a generated trace."""
    loads = read_trace(trace) if trace else traces.generate(generated, seed)
    for figures in compare_policies(
        loads, ranks, slots_per_rank, skew_weight, move_cost
    ):
        print(json.dumps(asdict(figures)))


if __name__ == "__main__":
    main()
