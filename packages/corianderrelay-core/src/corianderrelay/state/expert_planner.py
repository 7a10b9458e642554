"""Decides when a group's expert map changes, and to which map.

The map changes only if the predicted saving of step time over the horizon exceeds the
costs of the transfer and of the pause. The planner compares the last predicted saving,
of a change that was made or rejected, with the saving at later loads, and subtracts the
smoothed shortfall from further predictions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .expert_map import ExpertMap, SlotMove, moves_between, skew
from .expert_search import PlacementSearch

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .document import Group

_SHORTFALL_RISE_RATE = 0.7  # smoothing factor of each decision
_SHORTFALL_FALL_RATE = 0.1
_INITIAL_SHORTFALL = 0.02  # of the step time
_REFUTING_FRACTION = 0.5  # of the predicted saving; a larger shortfall is not noise
_MAX_REFUTED_DECISIONS = 5  # in a row; fluctuating demand causes single ones
_MIN_SAVED_SHARE = 0.005  # of the step time
_MAX_STEPS_WITHOUT_GAIN = 12
_MAX_STEPS = 20


@dataclass(frozen=True, slots=True)
class PlannerRules:
    """Limits of a plan, and the weights of its savings and costs.

    :param slots_per_rank: maximum number of experts that a rank holds.
    :param skew_weight: weight of each second of saved step time.
    :param move_cost: weight of each second of transfer from the weight store.
    :param expert_bytes: size of one expert's weights.
    :param store_bytes_per_s: rate limit of the weight store.
    :param hold_s: time for which a switch of maps pauses the group.
    :param horizon_s: time over which a saving is counted.
    :param max_transfer_s: maximum transfer time of one plan.
    :param stale_after_s: maximum age of the load reports that a plan is based on.
    :param concentration_weight: penalty for concentrating load in single replicas, in
        relief of the most loaded rank per unit of concentrated load.
    """

    slots_per_rank: int
    skew_weight: float
    move_cost: float
    expert_bytes: int
    store_bytes_per_s: float
    hold_s: float = 0.1
    horizon_s: float = 40.0
    max_transfer_s: float = 10.0
    stale_after_s: float = 15.0
    concentration_weight: float = 1.0

    @property
    def max_moved_slots(self) -> int:
        """Return the maximum number of slots that one plan may change."""
        return int(self.max_transfer_s * self.store_bytes_per_s / self.expert_bytes)

    def transfer_s(self, slots: int) -> float:
        """Return the time that it takes to load experts into ``slots`` slots."""
        return slots * self.expert_bytes / self.store_bytes_per_s

    def net_saving_s(self, saved_share: float, slots: int) -> float:
        """Return the saving of a change less its costs, in weighted seconds.

        :param saved_share: share of the step time that the change saves.
        :param slots: number of slots that the change loads.
        """
        transfer_s = self.transfer_s(slots)
        counted_s = max(0.0, self.horizon_s - transfer_s)
        saving_s = self.skew_weight * saved_share * counted_s
        return saving_s - self.move_cost * transfer_s - self.hold_s


def rules_for_group(
    group: Group, expert_bytes: int, store_bytes_per_s: float
) -> PlannerRules:
    """Return the planner's rules for a group of the configuration document."""
    return PlannerRules(
        slots_per_rank=group.slots_per_rank,
        skew_weight=group.skew_weight,
        move_cost=group.move_cost,
        expert_bytes=expert_bytes,
        store_bytes_per_s=store_bytes_per_s,
    )


class KeepReason(Enum):
    """Why the planner keeps the current map.

    ``PREDICTIONS_FAILED`` means that a change would pay off without the shortfall of
    earlier predictions.
    """

    NO_LOAD = "no_load"
    STALE_REPORTS = "stale_reports"
    NOT_WORTH_A_MOVE = "not_worth_a_move"
    PREDICTIONS_FAILED = "predictions_failed"


@dataclass(frozen=True, slots=True)
class KeepMap:
    """Decision to keep the current map.

    :param predicted_skew: skew of the map at the estimated load; 1.0 if not computed.
    """

    reason: KeepReason
    predicted_skew: float


@dataclass(frozen=True, slots=True)
class ChangeMap:
    """Decision to switch to a new map once the ranks have loaded the moved experts."""

    expert_map: ExpertMap
    moves: tuple[SlotMove, ...]
    moved_bytes: int
    skew_before: float
    skew_after: float


PlannerDecision = KeepMap | ChangeMap


@dataclass(frozen=True, slots=True)
class _Plan:
    expert_map: ExpertMap
    slots: int
    skew: float


@dataclass(slots=True)
class _Prediction:
    """A predicted saving of step time, compared with later load until it ends.

    :param refuted_decisions: number of consecutive decisions at which the saving fell
        far short of the prediction.
    """

    old_map: ExpertMap
    new_map: ExpertMap
    saved_share: float
    ends_s: float
    refuted_decisions: int = 0

    def saved_share_at(self, tokens_per_s_by_expert: Sequence[float]) -> float:
        """Return the share of step time that the new map saves at the given load."""
        old_skew = skew(self.old_map, tokens_per_s_by_expert)
        return 1.0 - skew(self.new_map, tokens_per_s_by_expert) / old_skew


class ExpertPlanner:
    """Plans one group's expert map and tracks the accuracy of its predictions."""

    __slots__ = ("_rules", "_prediction", "_shortfall")

    def __init__(self, rules: PlannerRules) -> None:
        self._rules = rules
        self._prediction: _Prediction | None = None
        self._shortfall = _INITIAL_SHORTFALL

    @property
    def shortfall(self) -> float:
        """Return the smoothed shortfall of predictions, as a share of step time."""
        return self._shortfall

    def decide(
        self,
        expert_map: ExpertMap,
        tokens_per_s_by_expert: Sequence[float],
        report_age_s: float,
        now: float,
    ) -> PlannerDecision:
        """Decide whether to change the active map.

        Don't call this while a change is pending.

        :param tokens_per_s_by_expert: estimated load of each expert.
        :param report_age_s: age of the newest report in the estimate.
        """
        if sum(tokens_per_s_by_expert) <= 0.0:
            return KeepMap(KeepReason.NO_LOAD, 1.0)
        if report_age_s > self._rules.stale_after_s:
            return KeepMap(KeepReason.STALE_REPORTS, 1.0)
        self._evaluate_prediction(tokens_per_s_by_expert, now)
        search = PlacementSearch(
            expert_map,
            tokens_per_s_by_expert,
            self._rules.slots_per_rank,
            self._rules.concentration_weight,
        )
        current_skew = search.map.skew
        plan = self._find_best_plan(search)
        if plan is None:
            return KeepMap(KeepReason.NOT_WORTH_A_MOVE, current_skew)
        saved_share = 1.0 - plan.skew / current_skew
        if saved_share < _MIN_SAVED_SHARE:
            return KeepMap(KeepReason.NOT_WORTH_A_MOVE, current_skew)
        discounted_share = saved_share - self._shortfall
        if self._rules.net_saving_s(discounted_share, plan.slots) <= 0.0:
            if self._is_prediction_obsolete:
                self._track_prediction(expert_map, plan.expert_map, saved_share, now)
            return KeepMap(KeepReason.PREDICTIONS_FAILED, current_skew)
        self._track_prediction(expert_map, plan.expert_map, saved_share, now)
        return ChangeMap(
            expert_map=plan.expert_map,
            moves=moves_between(expert_map, plan.expert_map),
            moved_bytes=plan.slots * self._rules.expert_bytes,
            skew_before=current_skew,
            skew_after=plan.skew,
        )

    def _find_best_plan(self, search: PlacementSearch) -> _Plan | None:
        """Search while a better plan is possible; return the best one within limits."""
        rules = self._rules
        current_skew = search.map.skew
        max_saved_share = 1.0 - 1.0 / current_skew
        best: _Plan | None = None
        best_saving_s = 0.0
        slots = steps = best_step = 0
        while (
            steps < min(_MAX_STEPS, best_step + _MAX_STEPS_WITHOUT_GAIN)
            and slots < rules.max_moved_slots
            and rules.net_saving_s(max_saved_share, slots + 1) > best_saving_s
            and search.apply_best_step()
        ):
            slots = search.map.moved_slots
            steps += 1
            candidate_saving_s = rules.net_saving_s(
                1.0 - search.map.skew / current_skew, slots
            )
            if candidate_saving_s > best_saving_s and slots <= rules.max_moved_slots:
                best_saving_s = candidate_saving_s
                best_step = steps
                best = _Plan(search.map.as_map(), slots, search.map.skew)
        return best

    def _track_prediction(
        self, old_map: ExpertMap, new_map: ExpertMap, saved_share: float, now: float
    ) -> None:
        ends_s = now + self._rules.horizon_s
        self._prediction = _Prediction(old_map, new_map, saved_share, ends_s)

    @property
    def _is_prediction_obsolete(self) -> bool:
        """Whether no prediction is tracked, or demand has shifted away from its basis.

        The shortfall already includes such a prediction. Tracking it further would
        keep rejecting changes that suit the current demand.
        """
        return (
            self._prediction is None
            or self._prediction.refuted_decisions >= _MAX_REFUTED_DECISIONS
        )

    def _evaluate_prediction(
        self, tokens_per_s_by_expert: Sequence[float], now: float
    ) -> None:
        """Update the shortfall from the tracked prediction and the current load."""
        prediction = self._prediction
        if prediction is None:
            return
        share_shortfall = prediction.saved_share - prediction.saved_share_at(
            tokens_per_s_by_expert
        )
        share_shortfall = max(0.0, share_shortfall)
        is_refuted = share_shortfall > _REFUTING_FRACTION * prediction.saved_share
        prediction.refuted_decisions = (
            prediction.refuted_decisions + 1 if is_refuted else 0
        )
        rising = share_shortfall > self._shortfall
        smoothing_rate = _SHORTFALL_RISE_RATE if rising else _SHORTFALL_FALL_RATE
        self._shortfall += smoothing_rate * (share_shortfall - self._shortfall)
        if now >= prediction.ends_s:
            self._prediction = None


__all__ = [
    "ChangeMap",
    "ExpertPlanner",
    "KeepReason",
    "KeepMap",
    "PlannerDecision",
    "PlannerRules",
    "rules_for_group",
]
