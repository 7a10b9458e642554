"""Expert popularity: exponentially decayed average of the tokens of each expert.

Reports may be late, missing or out of order, so each is weighted by the age of its
measurement. The average is reset when a report shows a shift of demand that random
variation does not explain; the planner then need not wait for old reports to decay.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


_MIN_SHIFTED_FRACTION = 0.1  # of the tokens, in addition to the sampling noise
_NOISE_DEVIATIONS = 3.0  # tolerated standard deviations of the sampling noise


class ExpertPopularity:
    """Exponentially decayed average of tokens per second by expert.

    :param experts: number of experts of the group.
    :param half_life_s: age at which a report has half its weight, in seconds.
    """

    __slots__ = (
        "_half_life_s",
        "_newest_measured_at_s",
        "_started_s",
        "_weight_s",
        "_tokens_by_expert",
    )

    def __init__(self, experts: int, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._newest_measured_at_s: float | None = None
        self._started_s = -math.inf
        self._weight_s = 0.0
        self._tokens_by_expert = [0.0] * experts

    def record(
        self, measured_at_s: float, interval_s: float, tokens_by_expert: Sequence[float]
    ) -> None:
        """Add a report; ignore one whose interval began before the last reset.

        :param measured_at_s: end of the interval that the report covers.
        :param interval_s: length of the interval.
        :param tokens_by_expert: tokens that each expert received in the interval.
        :raises ValueError: if the report has another number of experts.
        """
        if len(tokens_by_expert) != len(self._tokens_by_expert):
            raise ValueError(
                f"the report has {len(tokens_by_expert)} experts, "
                f"but the group has {len(self._tokens_by_expert)}; "
                "report a token count for each expert of the group"
            )
        if measured_at_s - interval_s < self._started_s:
            return
        newest_measured_at_s = (
            self._newest_measured_at_s
            if self._newest_measured_at_s is not None
            else measured_at_s
        )
        if measured_at_s > newest_measured_at_s:
            self._decay(measured_at_s - newest_measured_at_s)
            if self._has_shifted(tokens_by_expert):
                self._reset(measured_at_s - interval_s)
        self._newest_measured_at_s = max(newest_measured_at_s, measured_at_s)
        weight = self._decay_factor(self._newest_measured_at_s - measured_at_s)
        self._weight_s += weight * interval_s
        self._tokens_by_expert = [
            averaged_tokens + weight * tokens
            for averaged_tokens, tokens in zip(self._tokens_by_expert, tokens_by_expert)
        ]

    def tokens_per_s_by_expert(self) -> tuple[float, ...]:
        """Return the estimated rates; all are zero before the first report."""
        if self._weight_s <= 0.0:
            return tuple(self._tokens_by_expert)
        return tuple(tokens / self._weight_s for tokens in self._tokens_by_expert)

    def age_s(self, now: float) -> float | None:
        """Return the age of the newest report, or ``None`` before the first."""
        return (
            None
            if self._newest_measured_at_s is None
            else now - self._newest_measured_at_s
        )

    def _has_shifted(self, tokens_by_expert: Sequence[float]) -> bool:
        """Return whether the report's distribution differs from the average's.

        The measure is the total variation distance, with a tolerance for the sampling
        noise of a report with few tokens.
        """
        reported = sum(tokens_by_expert)
        averaged = sum(self._tokens_by_expert)
        if reported <= 0.0 or averaged <= 0.0:
            return False
        distance = 0.5 * sum(
            abs(tokens / reported - averaged_tokens / averaged)
            for tokens, averaged_tokens in zip(tokens_by_expert, self._tokens_by_expert)
        )
        noise = math.sqrt(len(tokens_by_expert) / reported)
        return distance > _MIN_SHIFTED_FRACTION + _NOISE_DEVIATIONS * noise

    def _reset(self, started_s: float) -> None:
        self._started_s = started_s
        self._weight_s = 0.0
        self._tokens_by_expert = [0.0] * len(self._tokens_by_expert)

    def _decay(self, elapsed_s: float) -> None:
        factor = self._decay_factor(elapsed_s)
        self._weight_s *= factor
        self._tokens_by_expert = [tokens * factor for tokens in self._tokens_by_expert]

    def _decay_factor(self, elapsed_s: float) -> float:
        return float(0.5 ** (elapsed_s / self._half_life_s))


__all__ = ["ExpertPopularity"]
