"""Measures how much retries amplify the load while a third of the runners fails.

Prints attempts per request and the share of requests answered before, during and after
the failure, with the retry budget and with an unlimited budget. Runners are chosen by
the router, which avoids failing runners, or at random, where only the budget limits
retries.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import xxhash

from corianderrelay.state.attempt_orders import (
    AttemptOrder,
    BeginAttempt,
    FailAnswer,
    FinishAnswer,
)
from corianderrelay.state.attempts import RequestAttempts
from corianderrelay.state.retry_budget import RetryBudget
from corianderrelay.state.routing import Router, RouteRequest
from corianderrelay.state.runner_load import LoadReport

_RUNNERS = [f"runner-{index}" for index in range(12)]
_ENTRIES = 6
_REQUESTS_PER_S = 48.0
_SERVICE_S = 0.15
_FAILURE_DELAY_S = 0.05
_QUEUE_LIMIT = 20
_FAIL_FROM_S = 30.0
_FAIL_UNTIL_S = 90.0
_LAST_ARRIVAL_S = 130.0
_SIMULATION_END_S = 150.0
_DEADLINE_S = 10.0
_EMPTY_DIGEST = xxhash.xxh3_64().intdigest()


@dataclass(slots=True)
class PhaseCounts:
    """Counts for the requests that arrived in one phase."""

    requests: int = 0
    attempts: int = 0
    answered: int = 0

    @property
    def amplification(self) -> float:
        """Attempts per request."""
        return self.attempts / self.requests

    @property
    def answered_share(self) -> float:
        """Share of the requests that were answered completely."""
        return self.answered / self.requests


@dataclass(slots=True)
class _Entry:
    budget: RetryBudget
    route_randomly: bool
    router: Router = field(default_factory=Router)


@dataclass(slots=True)
class _Request:
    phase: PhaseCounts
    entry: _Entry
    route: RouteRequest
    attempts: RequestAttempts | None = None


class _RunnerChooser:
    def __init__(self, entry: _Entry, route: RouteRequest, random: Random) -> None:
        self._entry = entry
        self._route = route
        self._random = random

    def choose(self, excluded: frozenset[str], now: float) -> str | None:
        usable = [name for name in _RUNNERS if name not in excluded]
        if self._entry.route_randomly:
            return self._random.choice(usable) if usable else None
        return self._entry.router.pick(self._route, usable, now, self._random)


class _Simulation:
    def __init__(
        self, make_budget: Callable[[], RetryBudget], route_randomly: bool, seed: int
    ) -> None:
        self.random = Random(seed)
        self.sequence = itertools.count()
        self.ids = (f"attempt-{number}" for number in itertools.count())
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.entries = [_Entry(make_budget(), route_randomly) for _ in range(_ENTRIES)]
        self.busy_until_by_runner = dict.fromkeys(_RUNNERS, 0.0)
        self.queued_by_runner: Counter[str] = Counter()
        self.counts_by_phase = {
            name: PhaseCounts() for name in ("before", "during", "after")
        }

    def run(self) -> dict[str, PhaseCounts]:
        for index, entry in enumerate(self.entries):
            self.schedule(index / _ENTRIES, self._report_callback(entry))
        self.schedule(0.0, self._arrive)
        while self.events:
            now, _, call = heapq.heappop(self.events)
            if now > _SIMULATION_END_S:
                break
            call(now)
        return self.counts_by_phase

    def schedule(self, time: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.sequence), call))

    def _phase(self, now: float) -> PhaseCounts:
        if now < _FAIL_FROM_S:
            return self.counts_by_phase["before"]
        return self.counts_by_phase["during" if now < _FAIL_UNTIL_S else "after"]

    def _is_failing(self, runner_id: str, now: float) -> bool:
        failing = _RUNNERS.index(runner_id) < len(_RUNNERS) // 3
        return failing and _FAIL_FROM_S <= now < _FAIL_UNTIL_S

    def _report_callback(self, entry: _Entry) -> Callable[[float], None]:
        def report(now: float) -> None:
            for name in _RUNNERS:
                tokens = 1000.0 * self.queued_by_runner[name]
                load = LoadReport(tokens, 1000.0 / _SERVICE_S)
                entry.router.report(name, load, now)
            self.schedule(now + 1.0, report)

        return report

    def _arrive(self, now: float) -> None:
        if now > _LAST_ARRIVAL_S:
            return
        self.schedule(now + self.random.expovariate(_REQUESTS_PER_S), self._arrive)
        entry = self.random.choice(self.entries)
        key = str(self.random.randrange(120)).encode()
        request = _Request(self._phase(now), entry, RouteRequest(key, 0, 1000))
        request.phase.requests += 1
        request.attempts = RequestAttempts(
            now + _DEADLINE_S,
            _RunnerChooser(entry, request.route, self.random),
            entry.budget,
            self.ids.__next__,
        )
        self._execute_orders(request, request.attempts.start(now), now)

    def _execute_orders(
        self, request: _Request, orders: list[AttemptOrder], now: float
    ) -> None:
        for order in orders:
            if isinstance(order, BeginAttempt):
                self._dispatch(request, order, now)
            elif isinstance(order, FinishAnswer):
                request.phase.answered += 1
            elif isinstance(order, FailAnswer):
                continue

    def _dispatch(self, request: _Request, order: BeginAttempt, now: float) -> None:
        name = order.runner_id
        request.phase.attempts += 1
        request.entry.router.on_dispatched(order.attempt_id, name, request.route, now)
        if self._is_failing(name, now):
            self.schedule(
                now + _FAILURE_DELAY_S, self._failure_callback(request, order)
            )
        elif self.queued_by_runner[name] >= _QUEUE_LIMIT:
            self.schedule(now, self._refusal_callback(request, order))
        else:
            self.queued_by_runner[name] += 1
            completed_at = max(now, self.busy_until_by_runner[name]) + _SERVICE_S
            self.busy_until_by_runner[name] = completed_at
            self.schedule(completed_at, self._completion_callback(request, order))

    def _failure_callback(
        self, request: _Request, order: BeginAttempt
    ) -> Callable[[float], None]:
        def fail(now: float) -> None:
            router = request.entry.router
            router.on_ended(order.attempt_id, order.runner_id, now, failed=True)
            assert request.attempts is not None
            orders = request.attempts.on_attempt_failed(
                order.attempt_id, "its engine died", now
            )
            self._execute_orders(request, orders, now)

        return fail

    def _refusal_callback(
        self, request: _Request, order: BeginAttempt
    ) -> Callable[[float], None]:
        def refuse(now: float) -> None:
            request.entry.router.on_ended(order.attempt_id, order.runner_id, now)
            assert request.attempts is not None
            orders = request.attempts.on_attempt_refused(order.attempt_id, 1.0, now)
            self._execute_orders(request, orders, now)

        return refuse

    def _completion_callback(
        self, request: _Request, order: BeginAttempt
    ) -> Callable[[float], None]:
        def complete(now: float) -> None:
            self.queued_by_runner[order.runner_id] -= 1
            router = request.entry.router
            router.on_first_token(order.attempt_id, order.runner_id, now)
            router.on_ended(order.attempt_id, order.runner_id, now)
            assert request.attempts is not None
            orders = request.attempts.on_attempt_ended(
                order.attempt_id, 0, _EMPTY_DIGEST, now
            )
            self._execute_orders(request, orders, now)

        return complete


def simulate_failure(
    make_budget: Callable[[], RetryBudget], *, route_randomly: bool, seed: int = 1
) -> dict[str, PhaseCounts]:
    """Simulate a failure of 4 of 12 runners and return the counts of each phase.

    :param route_randomly: choose runners at random instead of by the router.
    """
    return _Simulation(make_budget, route_randomly, seed).run()


def unlimited_budget() -> RetryBudget:
    """Return a budget so large that it denies no retry in a simulation."""
    return RetryBudget(share=1000.0, burst_retries=1e9)


def _print_run(title: str, *, route_randomly: bool) -> None:
    runs = {
        "with budget": simulate_failure(RetryBudget, route_randomly=route_randomly),
        "without": simulate_failure(unlimited_budget, route_randomly=route_randomly),
    }
    print(f"{title}: attempts per request (share of requests answered)")
    for name, counts_by_phase in runs.items():
        cells = ", ".join(
            f"{phase} {counts.amplification:.3f} ({counts.answered_share:.4f})"
            for phase, counts in counts_by_phase.items()
        )
        print(f"  {name:<12} {cells}")
    amplifications = [
        counts_by_phase["during"].amplification for counts_by_phase in runs.values()
    ]
    print(f"  ratio during the failure: {amplifications[0] / amplifications[1]:.3f}")


def main() -> None:
    """Print the runs with the router and with random routing."""
    print("4 of 12 runners fail from 30 s to 90 s")
    _print_run("router", route_randomly=False)
    _print_run("random routing", route_randomly=True)


if __name__ == "__main__":
    main()
