"""The interface through which group balancing calls ranks."""

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
    """Sends requests to ranks; each may fail, and a failed order may still have run."""

    def report(self, runner: RegisteredRunner) -> Deferred[RankReport | None]:
        """Return the rank's state; ``None`` if it is in no group."""

    def counts(self, runner: RegisteredRunner) -> Deferred[list[int]]:
        """Return the experts' selection counts since the rank's start, set by set."""

    def experts(self, runner: RegisteredRunner) -> Deferred[ExpertSets]:
        """Return the experts that the rank serves, per expert set."""

    def order(
        self, runner: RegisteredRunner, order: RankOrder
    ) -> Deferred[OrderOutcome]:
        """Send an order; its outcome is ``UNKNOWN`` if the rank does not answer."""


__all__ = ["RankClient"]
