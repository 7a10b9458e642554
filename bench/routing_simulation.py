"""Event simulation of entries that route to modelled runners in virtual time."""

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
_WARM_UP = 0.2


@dataclass(frozen=True, slots=True)
class Scenario:
    """Sizes and faults of one run."""

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
    """Times to first token after the warm-up, and the share of cache hits."""

    first_token_s: list[float] = field(default_factory=list)
    hits: int = 0
    picks: list[tuple[float, str]] = field(default_factory=list)

    @property
    def hit_ratio(self) -> float:
        """Share of requests whose prefix was cached."""
        return self.hits / len(self.first_token_s)

    def percentile_s(self, share: float) -> float:
        """Return a percentile of the time to first token, in seconds."""
        ordered = sorted(self.first_token_s)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class _Simulation:
    def __init__(self, scenario: Scenario, policy_name: str) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.outcome = Outcome()
        self.ties = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.runners = {
            f"runner-{index}": RunnerModel(_ZONES[index % len(_ZONES)])
            for index in range(scenario.runners)
        }
        self.policies = [
            self._policy(policy_name, entry) for entry in range(scenario.entries)
        ]

    def _policy(self, name: str, entry: int) -> tuple[list[str], Policy]:
        zones = {name: runner.zone for name, runner in self.runners.items()}
        zone = _ZONES[entry % len(_ZONES)]
        subset = runner_subset(f"entry-{entry}", zone, zones)
        return subset, POLICIES_BY_NAME[name](
            subset, Random(self.scenario.seed * 1000 + entry)
        )

    def at(self, time: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.ties), call))

    def run(self) -> Outcome:
        self._schedule_arrivals()
        for _, policy in self.policies:
            self.at(self.random.random(), self._reporter(policy))
        if self.scenario.slow_runner_from_s is not None:
            self.at(self.scenario.slow_runner_from_s, self._slow_down)
        while self.events:
            now, _, call = heapq.heappop(self.events)
            if now > self.scenario.duration_s:
                break
            call(now)
        return self.outcome

    def _slow_down(self, now: float) -> None:
        self.runners["runner-0"].slowness = self.scenario.slow_factor

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
            self.at(time, self._arrival(request))

    def _arrival(self, request: ModelRequest) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            _, policy = self.policies[request.entry]
            name = policy.pick(request, now)
            self.outcome.picks.append((now, name))
            self.runners[name].enqueue(request)
            self._start(name, now)

        return arrive

    def _start(self, name: str, now: float) -> None:
        started = self.runners[name].start_next()
        if started is not None:
            request, prefill_s = started
            self.at(now + prefill_s, self._prefilled(name, request))

    def _prefilled(self, name: str, request: ModelRequest) -> Callable[[float], None]:
        def finish(now: float) -> None:
            self.runners[name].finish_prefill(request)
            self.policies[request.entry][1].first_token(request, name, now)
            if request.arrived_at > _WARM_UP * self.scenario.duration_s:
                self.outcome.first_token_s.append(now - request.arrived_at)
                self.outcome.hits += request.hit
            slowness = self.runners[name].slowness
            decoded_at = now + request.decode_s * slowness
            self.at(decoded_at, self._decoded(name, request))
            period_s = _PROGRESS_PERIOD_S * slowness
            self._progress(name, request, now + period_s, decoded_at, period_s)
            self._start(name, now)

        return finish

    def _progress(
        self, name: str, request: ModelRequest, at: float, until: float, period_s: float
    ) -> None:
        def progress(now: float) -> None:
            self.policies[request.entry][1].progress(request, name, now)
            self._progress(name, request, now + period_s, until, period_s)

        if at < until:
            self.at(at, progress)

    def _decoded(self, name: str, request: ModelRequest) -> Callable[[float], None]:
        def finish(now: float) -> None:
            self.runners[name].decoding -= 1
            self.policies[request.entry][1].ended(request, name, now)
            self._start(name, now)

        return finish

    def _reporter(self, policy: Policy) -> Callable[[float], None]:
        subset = next(subset for subset, other in self.policies if other is policy)

        def measure(now: float) -> None:
            reports = [
                (name, LoadReport(runner.queued_tokens, runner.nominal_tokens_per_s))
                for name in subset
                for runner in (self.runners[name],)
                if self.random.random() >= self.scenario.report_loss
            ]
            self.at(now + self.scenario.report_lag_s, _deliver(policy, reports, now))
            self.at(now + _REPORT_PERIOD_S, measure)

        return measure


def _deliver(
    policy: Policy, reports: Sequence[tuple[str, LoadReport]], measured_at: float
) -> Callable[[float], None]:
    def deliver(now: float) -> None:
        for name, report in reports:
            policy.report(name, report, measured_at)

    return deliver


def simulate(scenario: Scenario, policy_name: str) -> Outcome:
    """Run one scenario with one policy."""
    return _Simulation(scenario, policy_name).run()


__all__ = ["Outcome", "Scenario", "simulate"]
