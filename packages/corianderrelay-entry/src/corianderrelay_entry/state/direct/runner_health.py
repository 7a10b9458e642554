"""Health of one runner by the outcomes of its requests, and its cost for placement.

A runner can fail requests while its health probe succeeds, so the outcomes of requests
decide. Outcomes decay over time, so a failing runner gets a request now and then, and
its recovery is detected.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

_DECAY_S = 4.0  # time constant; a recovered runner is used again within seconds
_LATENCY_WEIGHT = 0.2  # weight of the newest response in the mean latency
_PRIOR_SUCCESSES = 2.0  # assumed for each runner, so that a new one counts as healthy
_FAILURE_EXPONENT = 3.0  # failures weigh more than an equal factor in latency
_DEFAULT_LATENCY_S = 0.05  # below most latencies, so that a new runner is tried
_MIN_SUCCESS_RATE = 0.05  # keeps the cost of a failing runner finite


@dataclass(slots=True)
class RunnerHealth:
    """Latency and decaying counts of successes and failures of one runner.

    :param running: this entry's requests that run at the runner.
    :param latency_s: mean time to the first byte, in seconds; 0 if unknown.
    :param updated_at: monotonic time up to which the counts have decayed.
    """

    running: int = 0
    latency_s: float = 0.0
    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0

    def record_success(self, latency_s: float, now: float) -> None:
        """Record a complete response, or the first event of a stream."""
        self._decay(now)
        self.successes += 1.0
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> None:
        """Record a lost, invalid or timed-out response, or a refused connection."""
        self._decay(now)
        self.failures += 1.0

    def success_rate(self, now: float) -> float:
        """Return the estimated share of requests that succeed."""
        decay = math.exp((self.updated_at - now) / _DECAY_S)
        successes = self.successes * decay + _PRIOR_SUCCESSES
        return max(successes / (successes + self.failures * decay), _MIN_SUCCESS_RATE)

    def cost(self, running: float, now: float) -> float:
        """Return the cost of sending a request to the runner; lower is better.

        :param running: estimated running requests of all entries.
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
