"""Decides when to sample expert popularity and computes tokens per expert.

Popularity changes in jumps. After a jump the active map fits worse and passes take
longer, which shows in the pauses between events of streams. Popularity is then measured
as the difference of two counter samples, both taken after the jump, so that older
traffic is not included.

A jump can occur shortly after a map switch. The cost of a stream is therefore compared
with a baseline over the last seconds, which may cover earlier maps.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_MIN_SPAN_S = 0.3  # several passes, so that streams of a rank cover several topics
_MAX_SPAN_S = 1.5  # a longer span mixes popularity from before and after a jump
_MIN_TOKENS_PER_SET = 2000  # fewer give unreliable counts of single experts
_SETTLE_S = 0.6  # until the pause window holds only pauses under the new map
_RESAMPLE_S = 8.0  # detects drift that pauses do not show, such as with few streams
_DRIFT_RATIO = 1.3  # stream cost over its baseline; long prompts stay below
_COST_HISTORY_S = 12.0  # spans several jumps; the map fits during part of it
_COST_INTERVAL_S = 0.1  # about one pass
_BASELINE_QUANTILE = 0.25  # of the cost history; excludes the costs of unfit maps
_SWITCH_S = 1.5  # copying experts, report lag and the switch itself
_INITIAL_SUPPRESSION_S = 1.0  # after a false positive; doubles with each further one

CountsByRunnerId = dict[str, list[list[int]]]  # selections per set and expert


class PopularitySampler:
    """Schedules the popularity samples of one service."""

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
        self._suppress_s = _INITIAL_SUPPRESSION_S
        self._suppressed_until = 0.0

    def on_map_kept(self, now: float) -> None:
        """Record that the active map fits the current popularity and stays."""
        self._map_confirmed_at = now
        if self._suspects_drift:
            # False positive: the cost rose for another reason, which may persist.
            self._suspects_drift = False
            self._suppressed_until = now + self._suppress_s
            self._suppress_s = min(2 * self._suppress_s, _RESAMPLE_S)

    def on_map_planned(self, now: float) -> None:
        """Record that a switch was planned; ignore costs for its expected duration."""
        self._map_confirmed_at = now
        self._suspects_drift = False
        self._suppressed_until = now + _SWITCH_S

    def on_map_changed(self) -> None:
        """Record that another map is active, for which no sample exists yet."""
        self._map_confirmed_at = None
        self._suspects_drift = False
        self._suppress_s = _INITIAL_SUPPRESSION_S
        self._suppressed_until = 0.0

    def discard_span(self) -> None:
        """Discard the current span because a rank that it covers is unavailable."""
        self._span_started_at = None

    def needs_sample(self, cost_s: float, now: float) -> bool:
        """Return whether the ranks' counters should be read now.

        :param cost_s: time that a stream adds to a pass, in seconds; 0 if unknown.
        """
        if self._span_started_at is not None:
            return now - self._span_started_at >= _MIN_SPAN_S
        return self._should_start_span(cost_s, now)

    def add_sample(
        self, counts_by_id: CountsByRunnerId, now: float
    ) -> list[list[float]] | None:
        """Add a sample; return the span's tokens by set and expert if it ends the span.

        :param counts_by_id: counters of the runners in ``span_runner_ids``.
        """
        start_counts, started_at = self._span_start_counts, self._span_started_at
        is_stale = started_at is None or now - started_at > _MAX_SPAN_S
        if is_stale or start_counts.keys() != counts_by_id.keys():
            self._span_start_counts, self._span_started_at = counts_by_id, now
            return None
        tokens = _token_deltas(start_counts, counts_by_id)
        if min(map(sum, tokens), default=0.0) < _MIN_TOKENS_PER_SET:
            return None  # the span continues until it has enough tokens
        self._span_started_at = None
        return tokens

    @property
    def span_runner_ids(self) -> list[str]:
        """The runners whose counters started the current span."""
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
        """Add a cost to the history and return the baseline cost of a stream."""
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
    """Return the tokens between two samples, summed over the ranks.

    A restarted rank counts from zero; its negative differences count as zero.
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
