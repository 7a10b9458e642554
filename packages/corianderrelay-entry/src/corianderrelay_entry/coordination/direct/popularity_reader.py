"""Samples the selection counts of experts for all groups of a service.

All groups of a service receive similar prompts, so a few ranks are a sufficient sample.
Each read briefly delays the whole lock-step group of the rank.
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
    from .rank_client import RankClient

_READ_TIMEOUT_S = 1.0  # an unanswered read may be retried after this time


class PopularityReader:
    """Reads the expert counts of one service's ranks.

    :param on_tokens: called at the end of a sampling span with the tokens of each
        expert, per expert set.
    :param on_failure: called when reading a rank's counts fails.
    """

    def __init__(
        self,
        runners: RunnerList,
        client: RankClient,
        clock: Clock,
        log: DecisionLog,
        on_tokens: Callable[[list[list[float]], ExpertModel], None],
        on_failure: Callable[[Failure], None],
    ) -> None:
        self._on_failure = on_failure
        self._runners = runners
        self._client = client
        self._clock = clock
        self._log = log
        self._on_tokens = on_tokens
        self._counts_by_id: CountsByRunnerId = {}
        self._requested_ids: list[str] = []
        self._read_at = float("-inf")
        self.popularity = PopularitySampler()

    def is_due(self, stream_cost_s: float) -> bool:
        """Whether ranks should be read now.

        :param stream_cost_s: seconds that one stream adds to a pass; 0 if unknown.
        """
        now = self._clock.seconds()
        if self._requested_ids and now - self._read_at < _READ_TIMEOUT_S:
            return False
        return self.popularity.needs_sample(stream_cost_s, now)

    def read(self, ranks: list[str], experts: ExpertModel) -> bool:
        """Read the ranks' selection counts.

        :param ranks: ids of the ranks to read if this starts a new sampling span;
            within a span, the ranks at its start are read again.
        :returns: false if there are no ranks or one is not in the runner list.
        """
        rank_ids = self.popularity.span_runner_ids or ranks
        runners = [self._runners.get(runner_id) for runner_id in rank_ids]
        if not rank_ids or None in runners:
            self.popularity.discard_span()
            return False
        now = self._clock.seconds()
        self._requested_ids, self._counts_by_id, self._read_at = rank_ids, {}, now
        for runner in filter(None, runners):
            self._client.counts(runner).addCallbacks(
                self._on_counts,
                self._on_failure,
                callbackArgs=(runner.runner_id, experts, now),
            )
        return True

    def _on_counts(
        self, counts: list[int], runner_id: str, experts: ExpertModel, read_at: float
    ) -> None:
        size = experts.experts
        by_set = [counts[first : first + size] for first in range(0, len(counts), size)]
        if len(counts) != size * experts.sets or read_at != self._read_at:
            return
        self._counts_by_id[runner_id] = by_set
        if len(self._counts_by_id) < len(self._requested_ids):
            return
        tokens = self.popularity.add_sample(self._counts_by_id, self._clock.seconds())
        self._log.note(
            Decision.POPULARITY_READ,
            ranks=self._requested_ids,
            span_ends=tokens is not None,
        )
        self._requested_ids = []
        if tokens is not None:
            self._on_tokens(tokens, experts)


__all__ = ["PopularityReader"]
