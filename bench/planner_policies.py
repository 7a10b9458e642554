"""The planner and its baselines as policies of the planner bench."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from corianderrelay.state.expert_map import ExpertMap, skew
from corianderrelay.state.expert_placement import plan_placement
from corianderrelay.state.expert_planner import ChangeMap, ExpertPlanner, PlannerRules

from bench.rank_matching import relabel_ranks

_THRESHOLD_SKEW = 1.15


class Policy(Protocol):
    """Decides once a period whether a group takes another map."""

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the next map, or ``None`` to keep the present one."""


class NeverMove:
    """Keeps the first map."""

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Keep the map."""
        return None


class FullReplan:
    """Plans the whole map anew each period, with ranks relabelled."""

    def __init__(self, slots_per_rank: int) -> None:
        self._slots_per_rank = slots_per_rank

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the greedy plan for the estimate if it differs."""
        ranks = len(current.experts_by_rank)
        planned = plan_placement(estimated_load, ranks, self._slots_per_rank)
        relabelled = relabel_ranks(current, planned)
        return relabelled if relabelled != current else None


class ThresholdReplan(FullReplan):
    """Plans the whole map anew whenever the estimated skew is over a threshold."""

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the greedy plan when the skew calls for one."""
        if skew(current, estimated_load) <= _THRESHOLD_SKEW:
            return None
        return super().decide(current, estimated_load, age_s, now)


class CostAware:
    """The planner of the product."""

    def __init__(self, rules: PlannerRules) -> None:
        self._planner = ExpertPlanner(rules)

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the planner's map when it decides on a change."""
        decision = self._planner.decide(current, estimated_load, age_s, now)
        return decision.expert_map if isinstance(decision, ChangeMap) else None


__all__ = ["CostAware", "FullReplan", "NeverMove", "Policy", "ThresholdReplan"]
