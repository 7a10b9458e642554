"""What an entry has seen of one runner's answers, and how it ranks for the next one.

A runner can fail while its health probe is good, so answers decide. The evidence fades,
and a runner under suspicion still gets a request now and then that may be repeated.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

_FADE_S = 4.0  # time constant of evidence; a mended runner is trusted again in seconds
_LATENCY_WEIGHT = 0.2  # share of the newest answer in the mean latency
_PRIOR_ANSWERS = 2.0  # good answers that a new runner is credited with
_FAILURE_EXPONENT = 3.0  # failures weigh more than the same factor in latency
_UNKNOWN_LATENCY_S = 0.05  # less than most, so that an untried runner is tried
_MIN_RATE = 0.05  # keeps the cost of a failing runner finite


@dataclass(slots=True)
class RunnerStanding:
    """Fading counts of one runner's answers and failures.

    :param running: this entry's requests that it has now.
    :param latency_s: mean time to the first byte of its answers.
    """

    running: int = 0
    latency_s: float = 0.0
    good: float = 0.0
    bad: float = 0.0
    noted_at: float = 0.0

    def answered(self, latency_s: float, now: float) -> None:
        """Note a whole answer, or the first event of a stream."""
        self._fade(now)
        self.good += 1.0
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def failed(self, now: float) -> None:
        """Note an answer that was lost, spoiled or late, or a refused connection."""
        self._fade(now)
        self.bad += 1.0

    def success_rate(self, now: float) -> float:
        """Return the believed share of requests that it answers."""
        fade = math.exp((self.noted_at - now) / _FADE_S)
        good = self.good * fade + _PRIOR_ANSWERS
        return max(good / (good + self.bad * fade), _MIN_RATE)

    def cost(self, running: float, now: float) -> float:
        """Return what sending a request there costs; less is better.

        :param running: requests of all entries that it is believed to have.
        """
        latency_s = self.latency_s or _UNKNOWN_LATENCY_S
        rate = math.pow(self.success_rate(now), _FAILURE_EXPONENT)
        return (running + 1.0) * latency_s / rate

    def _fade(self, now: float) -> None:
        fade = math.exp((self.noted_at - now) / _FADE_S)
        self.good *= fade
        self.bad *= fade
        self.noted_at = now


__all__ = ["RunnerStanding"]
