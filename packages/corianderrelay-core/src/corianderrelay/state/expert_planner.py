"""Decides when a group's expert map changes, and to which map.

Experts move only if the predicted saving of step time over the horizon pays for the
bytes moved. By how much predictions fell short is learnt from the last change, or from
one that was held back, and is taken off later predictions.
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

_SHORTFALL_RISE_RATE = 0.7
_SHORTFALL_FALL_RATE = 0.1
_INITIAL_SHORTFALL = 0.02
_REFUTING_SHORTFALL_FRACTION = (
    0.5  # of the predicted saving; a miss beyond it is no chance error
)
_MAX_REFUTED_DECISIONS = 5  # in a row; single ones come from demand that fluctuates
_MIN_SAVED_SHARE = 0.005
_MAX_STEPS_WITHOUT_GAIN = 12
_MAX_STEPS = 20


@dataclass(frozen=True, slots=True)
class PlannerRules:
    """What a plan has to respect and how its gains and costs are weighed.

    :param slots_per_rank: most experts that a rank holds.
    :param skew_weight: seconds of moving that a second of saved step time is worth.
    :param move_cost: weight of each second that the weight store is busy with moves.
    :param expert_bytes: weights of one expert.
    :param store_bytes_per_s: rate limit of the weight store.
    :param hold_s: time for which a switch of maps holds the group.
    :param horizon_s: time over which a saving is counted.
    :param max_transfer_s: longest transfer of one plan.
    :param stale_after_s: age from which reports of load are too old to plan on.
    :param concentration_weight: relief of the most loaded rank that a step gives up to
        spread heavy experts over more replicas, both in units of load.
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
        """Return the most slots that one plan may change."""
        return int(self.max_transfer_s * self.store_bytes_per_s / self.expert_bytes)

    def transfer_s(self, slots: int) -> float:
        """Return how long the weight store takes for so many slots."""
        return slots * self.expert_bytes / self.store_bytes_per_s

    def net_saving_s(self, saved_share: float, slots: int) -> float:
        """Return what a change is worth after its costs, in weighted seconds.

        :param saved_share: part of the step time that the change saves.
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


class HoldReason(Enum):
    """Why the planner leaves the map as it is."""

    NO_LOAD = "no_load"
    STALE_REPORTS = "stale_reports"
    NOT_WORTH_A_MOVE = "not_worth_a_move"
    PREDICTIONS_FAILED = "predictions_failed"


@dataclass(frozen=True, slots=True)
class KeepMap:
    """The map stays."""

    reason: HoldReason
    predicted_skew: float


@dataclass(frozen=True, slots=True)
class ChangeMap:
    """The map changes once the ranks have loaded the moved experts."""

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
    """A prediction under observation: the new map saves a share of the old one's.

    :param refuted: decisions in a row at which it fell far short.
    """

    old_map: ExpertMap
    new_map: ExpertMap
    saved_share: float
    ends_s: float
    refuted_decisions: int = 0

    def saved_share_at(self, tokens_per_s_by_expert: Sequence[float]) -> float:
        """Return the share of step time that the new map saves at this load."""
        old_skew = skew(self.old_map, tokens_per_s_by_expert)
        return 1.0 - skew(self.new_map, tokens_per_s_by_expert) / old_skew


class ExpertPlanner:
    """Plans one group's expert map and remembers how well its predictions held."""

    __slots__ = ("_rules", "_prediction", "_shortfall")

    def __init__(self, rules: PlannerRules) -> None:
        self._rules = rules
        self._prediction: _Prediction | None = None
        self._shortfall = _INITIAL_SHORTFALL

    @property
    def shortfall(self) -> float:
        """Return the share of step time by which predictions lately fell short."""
        return self._shortfall

    def decide(
        self,
        expert_map: ExpertMap,
        tokens_per_s_by_expert: Sequence[float],
        report_age_s: float,
        now: float,
    ) -> PlannerDecision:
        """Decide on the map in force; not to be called while a change is under way.

        :param tokens_per_s_by_expert: estimate of each expert's load.
        :param report_age_s: age of the newest report in the estimate.
        """
        if sum(tokens_per_s_by_expert) <= 0.0:
            return KeepMap(HoldReason.NO_LOAD, 1.0)
        if report_age_s > self._rules.stale_after_s:
            return KeepMap(HoldReason.STALE_REPORTS, 1.0)
        self._evaluate_prediction(tokens_per_s_by_expert, now)
        search = PlacementSearch(
            expert_map,
            tokens_per_s_by_expert,
            self._rules.slots_per_rank,
            self._rules.concentration_weight,
        )
        before = search.map.skew
        plan = self._find_best_plan(search)
        if plan is None:
            return KeepMap(HoldReason.NOT_WORTH_A_MOVE, before)
        saved_share = 1.0 - plan.skew / before
        if saved_share < _MIN_SAVED_SHARE:
            return KeepMap(HoldReason.NOT_WORTH_A_MOVE, before)
        discounted_share = saved_share - self._shortfall
        if self._rules.net_saving_s(discounted_share, plan.slots) <= 0.0:
            if self._is_prediction_obsolete:
                self._track_prediction(expert_map, plan.expert_map, saved_share, now)
            return KeepMap(HoldReason.PREDICTIONS_FAILED, before)
        self._track_prediction(expert_map, plan.expert_map, saved_share, now)
        return ChangeMap(
            expert_map=plan.expert_map,
            moves=moves_between(expert_map, plan.expert_map),
            moved_bytes=plan.slots * self._rules.expert_bytes,
            skew_before=before,
            skew_after=plan.skew,
        )

    def _find_best_plan(self, search: PlacementSearch) -> _Plan | None:
        """Search while a better plan can still pay; return the best one passed."""
        rules = self._rules
        before = search.map.skew
        max_saved_share = 1.0 - 1.0 / before
        best: _Plan | None = None
        best_s = 0.0
        slots = steps = best_step = 0
        while (
            steps < min(_MAX_STEPS, best_step + _MAX_STEPS_WITHOUT_GAIN)
            and slots < rules.max_moved_slots
            and rules.net_saving_s(max_saved_share, slots + 1) > best_s
            and search.apply_best_step()
        ):
            slots = search.map.moved_slots
            steps += 1
            net_s = rules.net_saving_s(1.0 - search.map.skew / before, slots)
            if net_s > best_s and slots <= rules.max_moved_slots:
                best_s = net_s
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
        """Whether the trial has no more to tell: demand has left what it was made for.

        Its shortfall has been learnt; going on would hold back what fits demand now.
        """
        return (
            self._prediction is None
            or self._prediction.refuted_decisions >= _MAX_REFUTED_DECISIONS
        )

    def _evaluate_prediction(
        self, tokens_per_s_by_expert: Sequence[float], now: float
    ) -> None:
        """Compare the predicted saving with the one that the present load gives."""
        prediction = self._prediction
        if prediction is None:
            return
        share_shortfall = prediction.saved_share - prediction.saved_share_at(
            tokens_per_s_by_expert
        )
        share_shortfall = max(0.0, share_shortfall)
        is_refuted = (
            share_shortfall > _REFUTING_SHORTFALL_FRACTION * prediction.saved_share
        )
        prediction.refuted_decisions = (
            prediction.refuted_decisions + 1 if is_refuted else 0
        )
        rising = share_shortfall > self._shortfall
        step = _SHORTFALL_RISE_RATE if rising else _SHORTFALL_FALL_RATE
        self._shortfall += step * (share_shortfall - self._shortfall)
        if now >= prediction.ends_s:
            self._prediction = None


__all__ = [
    "ChangeMap",
    "ExpertPlanner",
    "HoldReason",
    "KeepMap",
    "PlannerDecision",
    "PlannerRules",
    "rules_for_group",
]
