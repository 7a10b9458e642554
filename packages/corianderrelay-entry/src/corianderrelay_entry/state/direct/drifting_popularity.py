"""Which experts are chosen now, from counts that ranks keep since their start.

Popularity drifts in jumps. Counts between two readings mix what was before a jump with
what came after it, so they are believed only when two spans in a row agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

_AGREEMENT = 0.2  # largest share of the tokens by which two steady spans differ
_LEAST_TOKENS = 2000  # by set; fewer tell too little of single experts


class DriftingPopularity:
    """Readings of one rank at a time."""

    __slots__ = ("_counts", "_source", "_span")

    def __init__(self) -> None:
        self._counts: list[list[int]] | None = None
        self._source: tuple[str, int] = ("", 0)
        self._span: list[list[float]] | None = None

    def read(
        self, runner_id: str, epoch: int, counts_by_set: list[list[int]]
    ) -> list[list[float]] | None:
        """Take a reading; return the tokens by set if they are steady now.

        :param counts_by_set: how often each expert was chosen since the rank's start.
        """
        before = self._counts if self._source == (runner_id, epoch) else None
        if before is not None and _grown(before, counts_by_set) < _LEAST_TOKENS:
            return None
        self._counts, self._source = counts_by_set, (runner_id, epoch)
        if before is None:
            return None
        span = [
            [float(new - old) for new, old in zip(now, then)]
            for now, then in zip(counts_by_set, before)
        ]
        earlier, self._span = self._span, span
        if earlier is None or _difference(earlier, span) > _AGREEMENT:
            return None
        return span


def _grown(before: Sequence[Sequence[int]], counts: Sequence[Sequence[int]]) -> int:
    """Return how many tokens were counted since, in the set with the fewest."""
    return min((sum(now) - sum(then) for now, then in zip(counts, before)), default=0)


def _difference(
    first: Sequence[Sequence[float]], second: Sequence[Sequence[float]]
) -> float:
    """Return the largest share of a set's tokens that moved to other experts."""
    return max(
        (
            sum(abs(a / sum(one) - b / sum(two)) for a, b in zip(one, two)) / 2
            for one, two in zip(first, second)
        ),
        default=1.0,
    )


__all__ = ["DriftingPopularity"]
