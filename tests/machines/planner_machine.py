"""State machine test of the expert planner with random loads.

A simple oracle checks the skews and moves.
"""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from corianderrelay.state.expert_map import ExpertMap, skew, validate_map
from corianderrelay.state.expert_placement import plan_placement
from corianderrelay.state.expert_planner import (
    ChangeMap,
    ExpertPlanner,
    KeepReason,
    PlannerDecision,
    PlannerRules,
)

_PERIOD_S = 5.0
_LEVELS = (0.0, 1.0, 5.0, 40.0, 400.0, 4000.0)


def oracle_skew(expert_map: ExpertMap, loads: list[float]) -> float:
    """Return the skew, computed from the load of each replica."""
    ranks = [0.0] * len(expert_map.experts_by_rank)
    for expert, load in enumerate(loads):
        hosts = [
            rank
            for rank, held in enumerate(expert_map.experts_by_rank)
            if expert in held
        ]
        for rank in hosts:
            ranks[rank] += load / len(hosts)
    return max(ranks) / (sum(ranks) / len(ranks))


def oracle_moves(old: ExpertMap, new: ExpertMap) -> int:
    """Return the number of experts that ranks have in ``new`` but not in ``old``."""
    pairs = zip(old.experts_by_rank, new.experts_by_rank)
    return sum(len(set(wanted) - set(held)) for held, wanted in pairs)


class PlannerMachine(RuleBasedStateMachine):
    """A group with changing load, whose map changes take time to complete."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.change_ready_s = 0.0
        self.pending: ExpertMap | None = None
        self.unchanged_map_load: list[float] | None = None

    @initialize(
        ranks=st.integers(1, 6),
        slots_per_rank=st.integers(1, 4),
        spare=st.integers(0, 6),
        skew_weight=st.sampled_from([0.0, 1.0, 4.0, 50.0]),
        move_cost=st.sampled_from([0.0, 1.0, 8.0]),
        max_transfer_s=st.sampled_from([0.25, 1.0, 10.0]),
        data=st.data(),
    )
    def start(
        self,
        ranks: int,
        slots_per_rank: int,
        spare: int,
        skew_weight: float,
        move_cost: float,
        max_transfer_s: float,
        data: Any,
    ) -> None:
        self.ranks = ranks
        self.experts = max(1, ranks * slots_per_rank - spare)
        self.planner_rules = PlannerRules(
            slots_per_rank=slots_per_rank,
            skew_weight=skew_weight,
            move_cost=move_cost,
            expert_bytes=100,
            store_bytes_per_s=1000,
            max_transfer_s=max_transfer_s,
        )
        self.planner = ExpertPlanner(self.planner_rules)
        self.identical_planner = ExpertPlanner(self.planner_rules)
        self.load = data.draw(self._loads())
        self.map = plan_placement(self.load, ranks, slots_per_rank)
        self._check_valid(self.map)

    def _loads(self) -> st.SearchStrategy[list[float]]:
        level = st.sampled_from(_LEVELS)
        return st.lists(level, min_size=self.experts, max_size=self.experts)

    @rule(data=st.data())
    def change_all_loads(self, data: Any) -> None:
        """Draw a new load for all experts."""
        self.load = data.draw(self._loads())

    @rule(expert=st.integers(0, 100), factor=st.floats(0.5, 2.0))
    def change_one_load(self, expert: int, factor: float) -> None:
        """Change the load of one expert by a factor of up to 2."""
        self.load = [*self.load]
        self.load[expert % self.experts] *= factor

    @rule(expert=st.integers(0, 100))
    def concentrate_load(self, expert: int) -> None:
        """Give one expert more load than all others together."""
        self.load = [*self.load]
        self.load[expert % self.experts] = 2.0 * sum(self.load) + 1.0

    @precondition(lambda self: self.pending is None)
    @rule()
    def decide(self) -> None:
        """Let the planner decide after a period; check and begin its change, if any."""
        self.now += _PERIOD_S
        decision = self._decide(report_age_s=2.0)
        if isinstance(decision, ChangeMap):
            self._check_change(decision)
            self.pending = decision.expert_map
            self.change_ready_s = self.now + self.planner_rules.transfer_s(
                len(decision.moves)
            )
        elif decision.reason is KeepReason.NOT_WORTH_A_MOVE:
            self.unchanged_map_load = self.load
            self._check_no_further_change()

    @precondition(lambda self: self.pending is not None)
    @rule()
    def finish_change(self) -> None:
        """Complete the pending change after all ranks have loaded their experts."""
        assert self.pending is not None
        self.now = max(self.now, self.change_ready_s)
        self.map, self.pending = self.pending, None

    @precondition(lambda self: self.pending is None)
    @rule()
    def decide_on_stale_reports(self) -> None:
        """Check that reports older than the limit never cause a change."""
        decision = self._decide(self.planner_rules.stale_after_s + 0.1)
        assert not isinstance(decision, ChangeMap), decision

    @precondition(lambda self: self.pending is None)
    @rule()
    def check_constant_load(self) -> None:
        """Check that the map stops changing within 12 decisions on a constant load."""
        changes = 0
        for _ in range(12):
            self.now += _PERIOD_S
            decision = self._decide(report_age_s=2.0)
            if isinstance(decision, ChangeMap):
                self._check_change(decision)
                self.map = decision.expert_map
                changes += 1
            elif decision.reason is KeepReason.NOT_WORTH_A_MOVE:
                self._check_no_further_change()
                return
        assert changes < 12, "the planner keeps moving experts on a constant load"

    def _decide(self, report_age_s: float) -> PlannerDecision:
        load = tuple(self.load)
        decision = self.planner.decide(self.map, load, report_age_s, self.now)
        identical_decision = self.identical_planner.decide(
            self.map, load, report_age_s, self.now
        )
        assert decision == identical_decision, (decision, identical_decision)
        return decision

    def _check_no_further_change(self) -> None:
        """Check that further decisions on the same load and map also keep the map."""
        for _ in range(3):
            self.now += _PERIOD_S
            decision = self._decide(report_age_s=2.0)
            assert not isinstance(decision, ChangeMap), decision

    def _check_valid(self, expert_map: ExpertMap) -> None:
        valid = validate_map(
            expert_map, self.ranks, self.experts, self.planner_rules.slots_per_rank
        )
        assert valid.is_ok(), valid
        held = [set(experts) for experts in expert_map.experts_by_rank]
        assert set().union(*held) == set(range(self.experts))
        assert all(
            len(experts) <= self.planner_rules.slots_per_rank for experts in held
        )

    def _check_change(self, decision: ChangeMap) -> None:
        self._check_valid(decision.expert_map)
        slots = oracle_moves(self.map, decision.expert_map)
        assert 0 < slots == len(decision.moves), (slots, decision.moves)
        assert decision.moved_bytes == slots * self.planner_rules.expert_bytes
        transfer_s = (
            slots
            * self.planner_rules.expert_bytes
            / self.planner_rules.store_bytes_per_s
        )
        assert transfer_s <= self.planner_rules.max_transfer_s, transfer_s
        before = oracle_skew(self.map, self.load)
        after = oracle_skew(decision.expert_map, self.load)
        assert abs(skew(self.map, self.load) - before) < 1e-6 * before
        assert abs(decision.skew_after - after) < 1e-6 * after, (decision, after)
        saved_s = (1.0 - after / before) * (self.planner_rules.horizon_s - transfer_s)
        cost_s = self.planner_rules.move_cost * transfer_s + self.planner_rules.hold_s
        assert self.planner_rules.skew_weight * saved_s > cost_s - 1e-6, (
            saved_s,
            cost_s,
        )
        for move in decision.moves:
            held = self.map.experts_by_rank[move.rank]
            assert move.added_expert not in held
            assert move.removed_expert is None or move.removed_expert in held


__all__ = ["PlannerMachine"]
