"""Plans the group's expert map on rank 0 from the ranks' expert popularity reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from corianderrelay.state.expert_placement import plan_placement
from corianderrelay.state.expert_planner import ChangeMap, ExpertPlanner, PlannerRules
from corianderrelay.state.expert_popularity import ExpertPopularity
from corianderrelay.state.group_map import decode_expert_map, encode_group_map

if TYPE_CHECKING:
    from corianderrelay.coordination.map_coordinator import MapCoordinator
    from corianderrelay.state.expert_planner import KeepReason, PlannerDecision
    from corianderrelay.state.switch_types import PopularityReport

    from ..state.settings import GroupSettings

_MS_PER_S = 1000


class GroupMapPlanner:
    """Proposes expert maps to the group's coordinator.

    :param coordinator: applies a proposed map, or rejects it while busy.
    """

    def __init__(self, group: GroupSettings, coordinator: MapCoordinator) -> None:
        self._group = group
        self._coordinator = coordinator
        self._popularity = ExpertPopularity(group.experts, group.half_life_s)
        self._planner = ExpertPlanner(
            PlannerRules(
                slots_per_rank=group.slots_per_rank,
                skew_weight=group.skew_weight,
                move_cost=group.move_cost,
                expert_bytes=group.expert_bytes,
                store_bytes_per_s=group.store_bytes_per_s,
            )
        )

        self._last_keep_reason: KeepReason | None = None

    def on_report(self, report: PopularityReport, now: float) -> None:
        """Record a rank's popularity report.

        A report whose number of experts differs from the group's is ignored.
        """
        if len(report.tokens_by_expert) == self._group.experts:
            interval_s = report.interval_ms / _MS_PER_S
            self._popularity.record(now, interval_s, report.tokens_by_expert)

    def plan_map(self, now: float) -> None:
        """Propose an initial map, or a new one if its benefit outweighs its cost.

        Does nothing while a switch is pending or the group's state is unknown. Once the
        group has a map, no other is proposed before the first popularity report.
        """
        switch = self._coordinator.switch
        if not switch.idle or switch.state is None:
            return
        if not switch.state.maps:
            self._propose_initial_map()
            return
        current_map = decode_expert_map(switch.state.maps[0].group_map)
        age_s = self._popularity.age_s(now)
        if age_s is None:
            return
        tokens = self._popularity.tokens_per_s_by_expert()
        decision = self._planner.decide(current_map, tokens, age_s, now)
        self._log_decision(decision, age_s)
        if isinstance(decision, ChangeMap):
            self._coordinator.propose(encode_group_map(decision.expert_map))

    def _log_decision(self, decision: PlannerDecision, age_s: float) -> None:
        """Log each planned map, and the reason to keep the map when that changes."""
        if isinstance(decision, ChangeMap):
            self._last_keep_reason = None
            eliot.log_message(
                message_type="agent:map_planned",
                skew=decision.skew_before,
                planned_skew=decision.skew_after,
                moves=len(decision.moves),
                report_age_s=age_s,
            )
        elif decision.reason is not self._last_keep_reason:
            self._last_keep_reason = decision.reason
            eliot.log_message(
                message_type="agent:map_kept",
                reason=decision.reason.value,
                skew=decision.predicted_skew,
                shortfall=self._planner.shortfall,
                report_age_s=age_s,
            )

    def _propose_initial_map(self) -> None:
        uniform_load = [1.0] * self._group.experts
        ranks, slots = self._group.ranks, self._group.slots_per_rank
        initial_map = plan_placement(uniform_load, ranks, slots)
        self._coordinator.propose(encode_group_map(initial_map))


__all__ = ["GroupMapPlanner"]
