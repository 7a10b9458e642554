"""The planner and its baselines as policies of the planner benchmark."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from corianderrelay.state.expert_map import ExpertMap, skew
from corianderrelay.state.expert_placement import plan_placement
from corianderrelay.state.expert_planner import ChangeMap, ExpertPlanner, PlannerRules

from bench.rank_matching import relabel_ranks

_THRESHOLD_SKEW = 1.15


class Policy(Protocol):
    """Decides once a period whether a group switches to another map."""

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the next map, or ``None`` to keep the current one.

        :param estimated_load: tokens per second, by expert.
        :param age_s: age of the estimate, in seconds.
        """


class NeverMove:
    """Keeps the initial map."""

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return ``None``."""
        return None


class FullReplan:
    """Re-plans the whole map each period and relabels ranks to move fewest slots."""

    def __init__(self, slots_per_rank: int) -> None:
        self._slots_per_rank = slots_per_rank

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the greedy plan if it differs from the current map."""
        ranks = len(current.experts_by_rank)
        planned = plan_placement(estimated_load, ranks, self._slots_per_rank)
        relabelled = relabel_ranks(current, planned)
        return relabelled if relabelled != current else None


class ThresholdReplan(FullReplan):
    """Re-plans the whole map when the estimated skew exceeds a threshold."""

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the greedy plan if the skew exceeds the threshold."""
        if skew(current, estimated_load) <= _THRESHOLD_SKEW:
            return None
        return super().decide(current, estimated_load, age_s, now)


class CostAwareReplan:
    """The production planner, which weighs skew against the cost of moves."""

    def __init__(self, rules: PlannerRules) -> None:
        self._planner = ExpertPlanner(rules)

    def decide(
        self,
        current: ExpertMap,
        estimated_load: Sequence[float],
        age_s: float,
        now: float,
    ) -> ExpertMap | None:
        """Return the planner's map if it decides to change the current one."""
        decision = self._planner.decide(current, estimated_load, age_s, now)
        return decision.expert_map if isinstance(decision, ChangeMap) else None


__all__ = ["CostAwareReplan", "FullReplan", "NeverMove", "Policy", "ThresholdReplan"]
