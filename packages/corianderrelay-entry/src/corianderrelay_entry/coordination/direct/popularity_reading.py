"""Reads which experts are chosen, for all groups of a service together.

Callers of a service ask every group about the same things, so a few ranks tell what is
popular at all of them. Each reading holds a group up for a moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.popularity_sampler import PopularitySampler
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.catalog import ExpertModel
    from ...state.direct.popularity_sampler import CountsByRunnerId
    from ...state.direct.runner_list import RunnerList
    from .decision_log import DecisionLog
    from .rank_port import RankCalls

_READ_ANSWER_S = 1.0  # after it a reading that has not come is made again


class PopularityReading:
    """Readings of one service's ranks.

    :param take: called with the tokens of a span, by set and expert.
    :param note_lost: called with why a rank's counts did not come.
    """

    def __init__(
        self,
        runners: RunnerList,
        calls: RankCalls,
        clock: Clock,
        log: DecisionLog,
        take: Callable[[list[list[float]], ExpertModel], None],
        note_lost: Callable[[Failure], None],
    ) -> None:
        self._note_lost = note_lost
        self._runners = runners
        self._calls = calls
        self._clock = clock
        self._log = log
        self._take = take
        self._counts_by_id: CountsByRunnerId = {}
        self._asked: list[str] = []
        self._read_at = float("-inf")
        self.popularity = PopularitySampler()

    def is_due(self, stream_cost_s: float) -> bool:
        """Whether ranks should be read now.

        :param stream_cost_s: what a stream adds to a pass now; 0 if not known.
        """
        now = self._clock.seconds()
        if self._asked and now - self._read_at < _READ_ANSWER_S:
            return False
        return self.popularity.needs_sample(stream_cost_s, now)

    def read(self, ranks: list[str], experts: ExpertModel) -> bool:
        """Begin a reading if the ranks are there; return whether one was begun.

        :param ranks: those to read unless a span is under way.
        """
        asked = self.popularity.span_runner_ids or ranks
        runners = [self._runners.get(runner_id) for runner_id in asked]
        if not asked or None in runners:
            self.popularity.discard_span()
            return False
        now = self._clock.seconds()
        self._asked, self._counts_by_id, self._read_at = asked, {}, now
        for runner in filter(None, runners):
            self._calls.counts(runner).addCallbacks(
                self._take_counts,
                self._note_lost,
                callbackArgs=(runner.runner_id, experts, now),
            )
        return True

    def _take_counts(
        self, counts: list[int], runner_id: str, experts: ExpertModel, read_at: float
    ) -> None:
        size = experts.experts
        by_set = [counts[first : first + size] for first in range(0, len(counts), size)]
        if len(counts) != size * experts.sets or read_at != self._read_at:
            return
        self._counts_by_id[runner_id] = by_set
        if len(self._counts_by_id) < len(self._asked):
            return
        tokens = self.popularity.add_sample(self._counts_by_id, self._clock.seconds())
        self._log.note(
            Decision.POPULARITY_READ, ranks=self._asked, span_ends=tokens is not None
        )
        self._asked = []
        if tokens is not None:
            self._take(tokens, experts)


__all__ = ["PopularityReading"]
