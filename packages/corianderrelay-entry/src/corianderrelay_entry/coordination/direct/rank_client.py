"""What the balancing of groups needs of runners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ...state.direct.rank_orders import (
        ExpertSets,
        OrderOutcome,
        RankOrder,
        RankReport,
    )
    from ...state.direct.runner_list import RegisteredRunner


class RankClient(Protocol):
    """Calls to one rank; each may fail, and an order's failure tells nothing."""

    def report(self, runner: RegisteredRunner) -> Deferred[RankReport | None]:
        """Return what the rank says of itself; ``None`` if it is in no group."""

    def counts(self, runner: RegisteredRunner) -> Deferred[list[int]]:
        """Return how often each expert was chosen since the start, all sets in row."""

    def experts(self, runner: RegisteredRunner) -> Deferred[ExpertSets]:
        """Return the experts that the rank uses, set by set."""

    def order(
        self, runner: RegisteredRunner, order: RankOrder
    ) -> Deferred[OrderOutcome]:
        """Send an order; a lost answer is the outcome ``UNKNOWN``."""


__all__ = ["RankClient"]
