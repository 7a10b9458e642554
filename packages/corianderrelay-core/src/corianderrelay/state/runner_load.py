"""An entry's estimate of the load and the speed of one runner."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

DEFAULT_TOKENS_PER_S = 4000.0
_REPORT_DECAY_TIME_S = 4.0  # time constant
_SLOWDOWN_SAMPLES = 2
_SAMPLE_LIFE_S = 20.0
_SLOW_FIRST_TOKEN_FACTOR = 10.0  # times the expected time to first token
_SLOW_RATE_FACTOR = 3.0  # times slower than the median token rate per stream
_RATE_WINDOW_S = 0.5
_RATE_LIFE_S = 20.0
_STALL_S = 1.5  # without a token
_FAILURE_PENALTY_S = 4.0  # per failure, before its decay
_FAILURE_DECAY_TIME_S = 5.0  # time constant
_OVERDUE_FACTOR = 2.0  # times the expected time to first token
_SLACK_S = 0.05  # tolerance added to expected times


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a runner reports about itself.

    :param queued_tokens: prompt tokens queued or being computed.
    :param tokens_per_s: rate at which the runner computes queued tokens.
    :param free_slots: number of further answers that can start; ``None`` if unknown.
    """

    queued_tokens: float
    tokens_per_s: float
    free_slots: int | None = None


@dataclass(slots=True)
class _PendingAttempt:
    dispatched_at: float
    expected_s: float

    def slowdown(self, now: float) -> float:
        return (now - self.dispatched_at) / (self.expected_s + _SLACK_S)


@dataclass(slots=True)
class _ActiveStream:
    window_started_at: float
    last_token_at: float
    tokens: float = 0.0


@dataclass(slots=True)
class RunnerLoad:
    """A runner's last load report, and the dispatches and timings of this entry.

    Dispatches that the last report includes are dropped.
    """

    zone: str = ""
    report: LoadReport | None = None
    measured_at: float = 0.0
    pending_by_attempt: dict[str, _PendingAttempt] = field(default_factory=dict)
    streams_by_attempt: dict[str, _ActiveStream] = field(default_factory=dict)
    stream_tokens_per_s: float | None = None
    rate_measured_at: float = 0.0
    recent_dispatches: list[tuple[float, float]] = field(default_factory=list)
    slowdown_samples: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=_SLOWDOWN_SAMPLES)
    )
    failures: float = 0.0
    failures_at: float = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Reported rate of prompt tokens, or a default before the first report."""
        return self.report.tokens_per_s if self.report else DEFAULT_TOKENS_PER_S

    def record_report(self, report: LoadReport, measured_at: float) -> None:
        """Record a report unless a newer one has been recorded."""
        if self.report is not None and measured_at < self.measured_at:
            return
        self.report = report
        self.measured_at = measured_at
        self.recent_dispatches = [
            dispatch
            for dispatch in self.recent_dispatches
            if dispatch[0] >= measured_at
        ]

    def on_dispatched(
        self, attempt_id: str, tokens: float, expected_s: float, now: float
    ) -> None:
        """Record an attempt that this entry dispatched.

        :param tokens: prompt tokens that the runner has to compute.
        :param expected_s: expected time to first token.
        """
        self.recent_dispatches.append((now, tokens))
        self.pending_by_attempt[attempt_id] = _PendingAttempt(now, expected_s)

    def on_first_token(self, attempt_id: str, now: float) -> None:
        """Record the slowdown of an attempt whose first token has arrived."""
        pending_attempt = self.pending_by_attempt.pop(attempt_id, None)
        if pending_attempt is not None:
            self.slowdown_samples.append((now, pending_attempt.slowdown(now)))
            self.streams_by_attempt[attempt_id] = _ActiveStream(now, now)

    def on_progress(self, attempt_id: str, tokens: float, now: float) -> None:
        """Update the token rate per stream from further tokens of one stream."""
        stream = self.streams_by_attempt.get(attempt_id)
        if stream is None:
            return
        stream.tokens += tokens
        stream.last_token_at = now
        elapsed_s = now - stream.window_started_at
        if elapsed_s >= _RATE_WINDOW_S:
            self.stream_tokens_per_s = stream.tokens / elapsed_s
            self.rate_measured_at = now
            stream.window_started_at = now
            stream.tokens = 0.0

    def stream_tokens_per_s_at(self, now: float) -> float | None:
        """Return the token rate per stream, or ``None`` without a recent measurement.

        The rate is 0 if any stream has stalled.
        """
        if any(
            now - active_stream.last_token_at > _STALL_S
            for active_stream in self.streams_by_attempt.values()
        ):
            return 0.0
        return (
            self.stream_tokens_per_s
            if now - self.rate_measured_at < _RATE_LIFE_S
            else None
        )

    def is_slow(self, median_token_rate: float, now: float) -> bool:
        """Whether this entry's attempts show a runner far slower than expected.

        :param median_token_rate: median token rate per stream over the usable runners.
        """
        token_rate = self.stream_tokens_per_s_at(now)
        if (
            token_rate is not None
            and token_rate * _SLOW_RATE_FACTOR < median_token_rate
        ):
            return True
        return self.current_slowdown(now) >= _SLOW_FIRST_TOKEN_FACTOR

    def on_ended(self, attempt_id: str, failed: bool, now: float) -> None:
        """Record the end of an attempt, and whether it failed."""
        self.streams_by_attempt.pop(attempt_id, None)
        self.pending_by_attempt.pop(attempt_id, None)
        if failed:
            self.failures = self._decayed_failures(now) + 1.0
            self.failures_at = now

    def current_slowdown(self, now: float) -> float:
        """Return the ratio of actual to expected time to first token, at least 1.0.

        The minimum of the last samples is used: a slow runner delays all attempts, but
        a queue filled by other entries delays only some. With enough samples, pending
        attempts can raise the ratio before their first token arrives.
        """
        ratios = [
            ratio for at, ratio in self.slowdown_samples if now - at < _SAMPLE_LIFE_S
        ]
        pending = [
            attempt.slowdown(now) for attempt in self.pending_by_attempt.values()
        ]
        if len(ratios) < _SLOWDOWN_SAMPLES:
            return 1.0
        return max(1.0, min(ratios), *pending)

    def queued_tokens(self, mean_tokens: float, now: float) -> float:
        """Return the estimated queue; as the report ages, it decays to ``mean_tokens``.

        :param mean_tokens: mean reported queue of all runners.
        """
        reported = mean_tokens
        if self.report is not None:
            decay = math.exp((self.measured_at - now) / _REPORT_DECAY_TIME_S)
            reported += (self.report.queued_tokens - mean_tokens) * decay
        return reported + self._own_queued_tokens(now)

    def penalty_s(self, now: float) -> float:
        """Return the score penalty for overdue attempts and recent failures."""
        return self._overdue_s(now) + _FAILURE_PENALTY_S * self._decayed_failures(now)

    def _own_queued_tokens(self, now: float) -> float:
        dispatched_tokens = sum(tokens for _, tokens in self.recent_dispatches)
        if not self.recent_dispatches:
            return 0.0
        computed_tokens = self.tokens_per_s * (now - self.recent_dispatches[0][0])
        return max(dispatched_tokens - computed_tokens, 0.0)

    def _overdue_s(self, now: float) -> float:
        return max(
            (
                now
                - pending_attempt.dispatched_at
                - _OVERDUE_FACTOR * pending_attempt.expected_s
                - _SLACK_S
                for pending_attempt in self.pending_by_attempt.values()
            ),
            default=0.0,
        )

    def _decayed_failures(self, now: float) -> float:
        return self.failures * math.exp(
            (self.failures_at - now) / _FAILURE_DECAY_TIME_S
        )


__all__ = ["DEFAULT_TOKENS_PER_S", "LoadReport", "RunnerLoad"]
