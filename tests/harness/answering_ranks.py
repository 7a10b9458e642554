"""A lock-step group whose ranks answer at once, for tests of balancers."""

from __future__ import annotations

from twisted.internet.defer import Deferred, succeed

from corianderrelay_entry.state.direct.catalog import EngineModel, ExpertModel
from corianderrelay_entry.state.direct.rank_orders import (
    ExpertSets,
    OrderOutcome,
    RankOrder,
    RankReport,
)
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner

SERVICE = "s"
ENGINE = EngineModel(0.01, 4, 0.2, ExpertModel(1, 8, 4, 2, 0.01))
NEW_RANK = "new"


class AnsweringRanks:
    """Answers for all ranks of one group.

    ``asked`` counts the report calls by runner, ``counts_read`` names the ranks whose
    selection counts were read.
    """

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.epoch_by_name = dict.fromkeys(names, 1)
        self.counts_read: set[str] = set()
        self.asked = dict.fromkeys([*names, NEW_RANK], 0)

    def report(self, runner: RegisteredRunner) -> Deferred[RankReport | None]:
        name = runner.runner_id
        self.asked[name] += 1
        return succeed(
            RankReport(
                name,
                "g",
                self.epoch_by_name[name],
                self.names.index(name),
                True,
                len(self.names),
                step=1,
                map_version=0,
            )
        )

    def counts(self, runner: RegisteredRunner) -> Deferred[list[int]]:
        self.counts_read.add(runner.runner_id)
        return succeed([1] * 8)

    def experts(self, runner: RegisteredRunner) -> Deferred[ExpertSets]:
        return succeed(((0, 1),))

    def order(
        self, runner: RegisteredRunner, order: RankOrder
    ) -> Deferred[OrderOutcome]:
        return succeed(OrderOutcome.DONE)


def rank_runner(name: str) -> RegisteredRunner:
    """Return the record of a rank."""
    return RegisteredRunner(name, SERVICE, "10.0.0.1", 1, "z", 6)


__all__ = ["ENGINE", "NEW_RANK", "SERVICE", "AnsweringRanks", "rank_runner"]
