"""When to read which experts are chosen, and what two readings say.

Popularity drifts in jumps that show in the pauses of streams: the map that fitted makes
passes longer. What is popular is then read over a span that begins after the jump, so
that nothing from before is mixed into it.

A jump can come while a new map settles, so the pauses are compared with those of the
last seconds, and not only with those that this map has had.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_MIN_SPAN_S = 0.3  # some passes, so that the streams of a rank ask about several things
_MAX_SPAN_S = 1.5  # a longer one mixes what was popular before and after a jump
_MIN_TOKENS_PER_SET = 2000  # by set; fewer tell too little of single experts
_SETTLE_S = 0.6  # until the pauses show a new map and nothing of the old one
_RESAMPLE_S = 8.0  # finds what the pauses do not show, as while few streams run
_DRIFT_RATIO = 1.3  # cost of a stream over the usual one; long prompts stay below it
_COST_HISTORY_S = 12.0  # some jumps; maps fitted for a part of it
_COST_INTERVAL_S = 0.1  # about a pass
_BASELINE_QUANTILE = 0.25  # share of the remembered costs that lie below the usual one
_SWITCH_S = 1.5  # copies, reports that lag, and the switch itself
_INITIAL_SUPPRESS_S = 1.0  # after a false alarm; doubled after each further one

CountsByRunnerId = dict[
    str, list[list[int]]
]  # by rank: how often each expert, set by set


class PopularitySampler:
    """Decides on readings for the groups of one service."""

    __slots__ = (
        "_span_start_counts",
        "_span_started_at",
        "_map_confirmed_at",
        "_costs",
        "_suspects_drift",
        "_suppress_s",
        "_suppressed_until",
    )

    def __init__(self) -> None:
        self._span_start_counts: CountsByRunnerId = {}
        self._span_started_at: float | None = None
        self._map_confirmed_at: float | None = None
        self._costs: deque[tuple[float, float]] = deque()
        self._suspects_drift = False
        self._suppress_s = _INITIAL_SUPPRESS_S
        self._suppressed_until = 0.0

    def map_kept(self, now: float) -> None:
        """Note that the map in use fits what is popular now."""
        self._map_confirmed_at = now
        if self._suspects_drift:
            # Streams cost more for another reason, which may last.
            self._suspects_drift = False
            self._suppressed_until = now + self._suppress_s
            self._suppress_s = min(2 * self._suppress_s, _RESAMPLE_S)

    def map_planned(self, now: float) -> None:
        """Note that the map will change; until it has, longer pauses tell nothing."""
        self._map_confirmed_at = now
        self._suspects_drift = False
        self._suppressed_until = now + _SWITCH_S

    def map_changed(self) -> None:
        """Note that another map is in use; whether it fits is not known yet."""
        self._map_confirmed_at = None
        self._suspects_drift = False
        self._suppress_s = _INITIAL_SUPPRESS_S
        self._suppressed_until = 0.0

    def discard_span(self) -> None:
        """Drop the span that was begun: a rank that it rests on is gone."""
        self._span_started_at = None

    def needs_sample(self, cost_s: float, now: float) -> bool:
        """Whether counts should be read now.

        :param cost_s: what a stream adds to a pass, in seconds; 0 if not known.
        """
        if self._span_started_at is not None:
            return now - self._span_started_at >= _MIN_SPAN_S
        return self._should_start_span(cost_s, now)

    def add_sample(
        self, counts_by_id: CountsByRunnerId, now: float
    ) -> list[list[float]] | None:
        """Take a reading; return the tokens of the span that it ends, by set.

        :param counts_by_id: of the same ranks as the reading that began the span.
        """
        start_counts, started_at = self._span_start_counts, self._span_started_at
        stale = started_at is None or now - started_at > _MAX_SPAN_S
        if stale or start_counts.keys() != counts_by_id.keys():
            self._span_start_counts, self._span_started_at = counts_by_id, now
            return None
        tokens = _token_deltas(start_counts, counts_by_id)
        if min(map(sum, tokens), default=0.0) < _MIN_TOKENS_PER_SET:
            return None  # the span goes on
        self._span_started_at = None
        return tokens

    @property
    def span_runner_ids(self) -> list[str]:
        """The ranks whose counts began the present span."""
        return (
            list(self._span_start_counts) if self._span_started_at is not None else []
        )

    def _should_start_span(self, cost_s: float, now: float) -> bool:
        if self._map_confirmed_at is None or now - self._map_confirmed_at > _RESAMPLE_S:
            return True
        baseline_s = self._baseline_cost_s(cost_s, now)
        evaluate_from = max(self._map_confirmed_at + _SETTLE_S, self._suppressed_until)
        self._suspects_drift = (
            cost_s > _DRIFT_RATIO * baseline_s and now >= evaluate_from
        )
        return self._suspects_drift

    def _baseline_cost_s(self, cost_s: float, now: float) -> float:
        """Return what streams cost while the map fitted, this cost included."""
        costs = self._costs
        if cost_s > 0.0 and (not costs or now - costs[-1][0] >= _COST_INTERVAL_S):
            costs.append((now, cost_s))
        while costs and now - costs[0][0] > _COST_HISTORY_S:
            costs.popleft()
        sorted_costs = sorted(cost_s for _, cost_s in costs)
        return (
            sorted_costs[int(_BASELINE_QUANTILE * len(sorted_costs))]
            if sorted_costs
            else cost_s
        )


def _token_deltas(
    start_counts: Mapping[str, list[list[int]]],
    end_counts: Mapping[str, list[list[int]]],
) -> list[list[float]]:
    """Return the tokens that were counted between, added up over the ranks.

    A rank that has started anew counts from nothing; it adds nothing.
    """
    spans = [
        [
            [float(max(after - before, 0)) for before, after in zip(*counts)]
            for counts in zip(start_counts[runner_id], end_counts[runner_id])
        ]
        for runner_id in start_counts
    ]
    return [
        [sum(tokens) for tokens in zip(*expert_tokens)] for expert_tokens in zip(*spans)
    ]


__all__ = ["CountsByRunnerId", "PopularitySampler"]
