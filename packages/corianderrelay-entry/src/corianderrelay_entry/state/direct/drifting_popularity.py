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

_SPAN_S = 0.3  # some passes, so that the streams of a rank ask about several things
_LONGEST_SPAN_S = 1.5  # a longer one mixes what was popular before and after a jump
_LEAST_TOKENS = 2000  # by set; fewer tell too little of single experts
_SETTLING_S = 0.6  # until the pauses show a new map and nothing of the old one
_RECHECK_S = 8.0  # finds what the pauses do not show, as while few streams run
_ALARM = 1.3  # cost of a stream over the usual one; long prompts stay below it
_REMEMBERED_S = 12.0  # some jumps; maps fitted for a part of it
_SAMPLE_EVERY_S = 0.1  # about a pass
_USUAL = 0.25  # share of the remembered costs that lie below the usual one
_SWITCHING_S = 1.5  # copies, reports that lag, and the switch itself
_FIRST_PATIENCE_S = 1.0  # after a false alarm; doubled after each further one

CountsById = dict[str, list[list[int]]]  # by rank: how often each expert, set by set


class DriftingPopularity:
    """Decides on readings for the groups of one service."""

    __slots__ = (
        "_first",
        "_first_at",
        "_balanced_at",
        "_costs",
        "_alarmed",
        "_patience_s",
        "_calm_until",
    )

    def __init__(self) -> None:
        self._first: CountsById = {}
        self._first_at: float | None = None
        self._balanced_at: float | None = None
        self._costs: deque[tuple[float, float]] = deque()
        self._alarmed = False
        self._patience_s = _FIRST_PATIENCE_S
        self._calm_until = 0.0

    def balanced(self, now: float) -> None:
        """Note that the map in use fits what is popular now."""
        self._balanced_at = now
        if self._alarmed:
            # Streams cost more for another reason, which may last.
            self._alarmed = False
            self._calm_until = now + self._patience_s
            self._patience_s = min(2 * self._patience_s, _RECHECK_S)

    def planned(self, now: float) -> None:
        """Note that the map will change; until it has, longer pauses tell nothing."""
        self._balanced_at = now
        self._alarmed = False
        self._calm_until = now + _SWITCHING_S

    def changed(self) -> None:
        """Note that another map is in use; whether it fits is not known yet."""
        self._balanced_at = None
        self._alarmed = False
        self._patience_s = _FIRST_PATIENCE_S
        self._calm_until = 0.0

    def begin_anew(self) -> None:
        """Drop the span that was begun: a rank that it rests on is gone."""
        self._first_at = None

    def wants_reading(self, cost_s: float, now: float) -> bool:
        """Whether counts should be read now.

        :param cost_s: what a stream adds to a pass, in seconds; 0 if not known.
        """
        if self._first_at is not None:
            return now - self._first_at >= _SPAN_S
        return self._is_in_doubt(cost_s, now)

    def read(self, counts_by_id: CountsById, now: float) -> list[list[float]] | None:
        """Take a reading; return the tokens of the span that it ends, by set.

        :param counts_by_id: of the same ranks as the reading that began the span.
        """
        first, first_at = self._first, self._first_at
        stale = first_at is None or now - first_at > _LONGEST_SPAN_S
        if stale or first.keys() != counts_by_id.keys():
            self._first, self._first_at = counts_by_id, now
            return None
        tokens = _grown(first, counts_by_id)
        if min(map(sum, tokens), default=0.0) < _LEAST_TOKENS:
            return None  # the span goes on
        self._first_at = None
        return tokens

    @property
    def ranks_read(self) -> list[str]:
        """The ranks whose counts began the present span."""
        return list(self._first) if self._first_at is not None else []

    def _is_in_doubt(self, cost_s: float, now: float) -> bool:
        if self._balanced_at is None or now - self._balanced_at > _RECHECK_S:
            return True
        usual_s = self._usual_cost_s(cost_s, now)
        settled = max(self._balanced_at + _SETTLING_S, self._calm_until)
        self._alarmed = cost_s > _ALARM * usual_s and now >= settled
        return self._alarmed

    def _usual_cost_s(self, cost_s: float, now: float) -> float:
        """Return what streams cost while the map fitted, this cost included."""
        costs = self._costs
        if cost_s > 0.0 and (not costs or now - costs[-1][0] >= _SAMPLE_EVERY_S):
            costs.append((now, cost_s))
        while costs and now - costs[0][0] > _REMEMBERED_S:
            costs.popleft()
        ordered = sorted(cost_s for _, cost_s in costs)
        return ordered[int(_USUAL * len(ordered))] if ordered else cost_s


def _grown(
    first: Mapping[str, list[list[int]]], last: Mapping[str, list[list[int]]]
) -> list[list[float]]:
    """Return the tokens that were counted between, added up over the ranks.

    A rank that has started anew counts from nothing; it adds nothing.
    """
    spans = [
        [
            [float(max(after - before, 0)) for before, after in zip(*counts)]
            for counts in zip(first[runner_id], last[runner_id])
        ]
        for runner_id in first
    ]
    return [
        [sum(tokens) for tokens in zip(*expert_tokens)] for expert_tokens in zip(*spans)
    ]


__all__ = ["CountsById", "DriftingPopularity"]
