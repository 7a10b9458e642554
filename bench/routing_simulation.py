"""Discrete-event simulation of entries that route requests to modelled runners."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from corianderrelay.state.runner_load import LoadReport
from corianderrelay.state.runner_subset import runner_subset

from bench.routing_policies import POLICIES_BY_NAME, Policy
from bench.runner_model import ModelRequest, RunnerModel

_REPORT_PERIOD_S = 1.0
_PROGRESS_PERIOD_S = 0.25
_ZONES = ("zone-a", "zone-b", "zone-c")
_ZIPF_EXPONENT = 0.9
_WARM_UP_FRACTION = 0.2


@dataclass(frozen=True, slots=True)
class Scenario:
    """Sizes, load and faults of one run; the slow runner is ``runner-0``.

    :param prefixes: number of distinct prompt prefixes.
    :param report_lag_s: time from the measurement of a load report to its delivery.
    :param report_loss: share of load reports that are lost.
    """

    runners: int
    entries: int
    prefixes: int
    requests_per_runner_s: float
    duration_s: float
    report_lag_s: float
    report_loss: float = 0.1
    slow_runner_from_s: float | None = None
    slow_factor: float = 10.0
    seed: int = 1


@dataclass(slots=True)
class Outcome:
    """Times to first token and cache hits after the warm-up, and all picks."""

    first_token_s: list[float] = field(default_factory=list)
    hits: int = 0
    picks: list[tuple[float, str]] = field(default_factory=list)

    @property
    def hit_ratio(self) -> float:
        """Share of requests whose prefix was cached at the runner."""
        return self.hits / len(self.first_token_s)

    def percentile_s(self, quantile: float) -> float:
        """Return a quantile of the time to first token, in seconds."""
        ordered = sorted(self.first_token_s)
        return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


class _Simulation:
    def __init__(self, scenario: Scenario, policy_name: str) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.outcome = Outcome()
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.runners = {
            f"runner-{index}": RunnerModel(_ZONES[index % len(_ZONES)])
            for index in range(scenario.runners)
        }
        self.policies = [
            self._create_policy(policy_name, entry) for entry in range(scenario.entries)
        ]

    def _create_policy(self, name: str, entry: int) -> tuple[list[str], Policy]:
        zones = {name: runner.zone for name, runner in self.runners.items()}
        zone = _ZONES[entry % len(_ZONES)]
        subset = runner_subset(f"entry-{entry}", zone, zones)
        return subset, POLICIES_BY_NAME[name](
            subset, Random(self.scenario.seed * 1000 + entry)
        )

    def schedule(self, time: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.sequence), call))

    def run(self) -> Outcome:
        self._schedule_arrivals()
        for _, policy in self.policies:
            self.schedule(self.random.random(), self._report_callback(policy))
        if self.scenario.slow_runner_from_s is not None:
            self.schedule(self.scenario.slow_runner_from_s, self._slow_down)
        while self.events:
            now, _, call = heapq.heappop(self.events)
            if now > self.scenario.duration_s:
                break
            call(now)
        return self.outcome

    def _slow_down(self, now: float) -> None:
        self.runners["runner-0"].slowdown_factor = self.scenario.slow_factor

    def _schedule_arrivals(self) -> None:
        scenario = self.scenario
        weights = [(rank + 1) ** -_ZIPF_EXPONENT for rank in range(scenario.prefixes)]
        cumulative = list(itertools.accumulate(weights))
        tokens = [self.random.randrange(800, 3200) for _ in weights]
        rate = scenario.requests_per_runner_s * scenario.runners
        time = 0.0
        for request_id in itertools.count():
            time += self.random.expovariate(rate)
            if time > scenario.duration_s:
                return
            prefix = self.random.choices(range(len(weights)), cum_weights=cumulative)[0]
            request = ModelRequest(
                request_id,
                time,
                prefix,
                tokens[prefix],
                tokens[prefix] + self.random.randrange(50, 400),
                self.random.expovariate(1 / 2.0),
                self.random.randrange(scenario.entries),
            )
            self.schedule(time, self._arrival_callback(request))

    def _arrival_callback(self, request: ModelRequest) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            _, policy = self.policies[request.entry]
            name = policy.pick(request, now)
            self.outcome.picks.append((now, name))
            self.runners[name].enqueue(request)
            self._start_prefill(name, now)

        return arrive

    def _start_prefill(self, name: str, now: float) -> None:
        started = self.runners[name].start_next_prefill()
        if started is not None:
            request, prefill_s = started
            self.schedule(now + prefill_s, self._prefill_callback(name, request))

    def _prefill_callback(
        self, name: str, request: ModelRequest
    ) -> Callable[[float], None]:
        def finish(now: float) -> None:
            self.runners[name].finish_prefill(request)
            self.policies[request.entry][1].record_first_token(request, name, now)
            if request.arrived_at > _WARM_UP_FRACTION * self.scenario.duration_s:
                self.outcome.first_token_s.append(now - request.arrived_at)
                self.outcome.hits += request.cache_hit
            slowdown_factor = self.runners[name].slowdown_factor
            decoded_at = now + request.decode_s * slowdown_factor
            self.schedule(decoded_at, self._decode_callback(name, request))
            period_s = _PROGRESS_PERIOD_S * slowdown_factor
            self._schedule_progress(name, request, now + period_s, decoded_at, period_s)
            self._start_prefill(name, now)

        return finish

    def _schedule_progress(
        self,
        name: str,
        request: ModelRequest,
        next_at: float,
        stream_end_at: float,
        period_s: float,
    ) -> None:
        def progress(now: float) -> None:
            self.policies[request.entry][1].record_progress(request, name, now)
            self._schedule_progress(
                name, request, now + period_s, stream_end_at, period_s
            )

        if next_at < stream_end_at:
            self.schedule(next_at, progress)

    def _decode_callback(
        self, name: str, request: ModelRequest
    ) -> Callable[[float], None]:
        def finish(now: float) -> None:
            self.runners[name].decoding -= 1
            self.policies[request.entry][1].record_end(request, name, now)
            self._start_prefill(name, now)

        return finish

    def _report_callback(self, policy: Policy) -> Callable[[float], None]:
        subset = next(subset for subset, other in self.policies if other is policy)

        def measure(now: float) -> None:
            reports = [
                (name, LoadReport(runner.queued_tokens, runner.nominal_tokens_per_s))
                for name in subset
                for runner in (self.runners[name],)
                if self.random.random() >= self.scenario.report_loss
            ]
            self.schedule(
                now + self.scenario.report_lag_s,
                _delivery_callback(policy, reports, now),
            )
            self.schedule(now + _REPORT_PERIOD_S, measure)

        return measure


def _delivery_callback(
    policy: Policy, reports: Sequence[tuple[str, LoadReport]], measured_at: float
) -> Callable[[float], None]:
    def deliver(now: float) -> None:
        for name, report in reports:
            policy.report(name, report, measured_at)

    return deliver


def simulate(scenario: Scenario, policy_name: str) -> Outcome:
    """Simulate one scenario with one policy and return the outcome."""
    return _Simulation(scenario, policy_name).run()


__all__ = ["Outcome", "Scenario", "simulate"]
