"""What an entry has seen of one runner's answers, and how it ranks for the next one.

A runner can fail while its health probe is good, so answers decide. The evidence fades,
and a runner under suspicion still gets a request now and then that may be repeated.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

_DECAY_S = 4.0  # time constant of evidence; a mended runner is trusted again in seconds
_LATENCY_WEIGHT = 0.2  # share of the newest answer in the mean latency
_PRIOR_SUCCESSES = 2.0  # good answers that a new runner is credited with
_FAILURE_EXPONENT = 3.0  # failures weigh more than the same factor in latency
_DEFAULT_LATENCY_S = 0.05  # less than most, so that an untried runner is tried
_MIN_SUCCESS_RATE = 0.05  # keeps the cost of a failing runner finite


@dataclass(slots=True)
class RunnerHealth:
    """Fading counts of one runner's answers and failures.

    :param running: this entry's requests that it has now.
    :param latency_s: mean time to the first byte of its answers.
    """

    running: int = 0
    latency_s: float = 0.0
    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0

    def record_success(self, latency_s: float, now: float) -> None:
        """Note a whole answer, or the first event of a stream."""
        self._decay(now)
        self.successes += 1.0
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> None:
        """Note an answer that was lost, spoiled or late, or a refused connection."""
        self._decay(now)
        self.failures += 1.0

    def success_rate(self, now: float) -> float:
        """Return the believed share of requests that it answers."""
        decay = math.exp((self.updated_at - now) / _DECAY_S)
        successes = self.successes * decay + _PRIOR_SUCCESSES
        return max(successes / (successes + self.failures * decay), _MIN_SUCCESS_RATE)

    def cost(self, running: float, now: float) -> float:
        """Return what sending a request there costs; less is better.

        :param running: requests of all entries that it is believed to have.
        """
        latency_s = self.latency_s or _DEFAULT_LATENCY_S
        rate = math.pow(self.success_rate(now), _FAILURE_EXPONENT)
        return (running + 1.0) * latency_s / rate

    def _decay(self, now: float) -> None:
        decay = math.exp((self.updated_at - now) / _DECAY_S)
        self.successes *= decay
        self.failures *= decay
        self.updated_at = now


__all__ = ["RunnerHealth"]
