"""Guards against a late release that starts a pass with two maps during a rollback.

The first coordinator freezes with its release in flight. The second one finds the group
held and rolls the switch back. The release arrives after the first rank is disarmed.
"""

from __future__ import annotations

from random import Random

from corianderrelay_entry.state.direct.group_coordinator import GroupCoordinator
from corianderrelay_entry.state.direct.rank_orders import OrderKind, RankOrder
from corianderrelay_entry.state.direct.sequenced_switch import SwitchTimeouts

from .sequenced_group import ModelGroup

_RANKS = 4
_PASS_S = 0.06
_STEP_S = 0.01
_LAG_S = 0.2
_LIMIT_S = 20.0


class LateRelease:
    """Simulates the race; a pass with two maps raises ``AssertionError``."""

    def __init__(self) -> None:
        self.group = ModelGroup(_RANKS, copy_s=0.1)
        initial_map = tuple(((rank,),) for rank in range(_RANKS))
        self.first, self.second = (
            GroupCoordinator(
                self.group.names, initial_map, name, SwitchTimeouts(), Random(number)
            )
            for number, name in enumerate(("first", "second"))
        )
        self.first.request_map(initial_map)
        self.now = 0.0
        self.next_pass_at = 0.0
        self.release: RankOrder | None = None
        self.disarmed = 0

    def run(self) -> None:
        """Run until the second coordinator has released the group."""
        while self.release is None:
            self._advance()
            self._run_coordinator(self.first)
        while self.second.last_switch is None or self.group.held:
            self._advance()
            self.second.request_survey(self.now)
            self._run_coordinator(self.second)
            if self.disarmed and self.release is not None:
                self.group.execute(self.release, self.now)
                self.release = None
                self._begin_passes()

    def _advance(self) -> None:
        assert self.now < _LIMIT_S, "the late release did not occur before the limit"
        self.now += _STEP_S
        self.group.advance(self.now)
        if self.now >= self.next_pass_at:
            self.next_pass_at = self.now + _PASS_S
            self.group.begin_pass()

    def _begin_passes(self) -> None:
        for _ in range(_RANKS * _RANKS):
            self.group.begin_pass()

    def _run_coordinator(self, coordinator: GroupCoordinator) -> None:
        for name in coordinator.ranks_to_poll(self.now):
            report = self.group.report(name, _LAG_S, self.now)
            coordinator.record_report(report, self.now, self.now)
        for order in coordinator.orders(_PASS_S, self.now):
            if coordinator is self.first and order.kind is OrderKind.RELEASE:
                self.release = order
                return
            if self.disarmed and self.release is not None:
                continue  # delays the orders to the other ranks
            self.disarmed += order.kind is OrderKind.DISARM
            outcome = self.group.execute(order, self.now)
            coordinator.record_outcome(order, outcome, self.now)


__all__ = ["LateRelease"]
