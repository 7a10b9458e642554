"""Routing policies that the routing benchmark compares, with a common interface."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random
from typing import Protocol

from corianderrelay.state.rendezvous import rank_by_rendezvous
from corianderrelay.state.routing import Router, RouteRequest
from corianderrelay.state.runner_load import LoadReport

from bench.runner_model import ModelRequest

PROGRESS_TOKENS = 10


class Policy(Protocol):
    """Routes the requests of one entry."""

    def pick(self, request: ModelRequest, now: float) -> str:
        """Choose a runner for a request that is dispatched immediately."""

    def report(self, runner_id: str, report: LoadReport, measured_at: float) -> None:
        """Record a runner's load report."""

    def record_first_token(
        self, request: ModelRequest, runner_id: str, now: float
    ) -> None:
        """Record the first token of a stream."""

    def record_progress(
        self, request: ModelRequest, runner_id: str, now: float
    ) -> None:
        """Record the tokens of one progress period of a stream."""

    def record_end(self, request: ModelRequest, runner_id: str, now: float) -> None:
        """Record the end of a stream."""


class _Baseline:
    def __init__(self, runners: list[str], random: Random) -> None:
        self.runners = runners
        self.random = random
        self.queued_by_runner = dict.fromkeys(runners, 0.0)

    def report(self, runner_id: str, report: LoadReport, measured_at: float) -> None:
        self.queued_by_runner[runner_id] = report.queued_tokens

    def record_first_token(
        self, request: ModelRequest, runner_id: str, now: float
    ) -> None:
        return

    def record_progress(
        self, request: ModelRequest, runner_id: str, now: float
    ) -> None:
        return

    def record_end(self, request: ModelRequest, runner_id: str, now: float) -> None:
        return


class RandomPolicy(_Baseline):
    """Chooses a random runner."""

    def pick(self, request: ModelRequest, now: float) -> str:
        return self.random.choice(self.runners)


class RoundRobin(_Baseline):
    """Chooses the runners in turn, from a random start."""

    def __init__(self, runners: list[str], random: Random) -> None:
        super().__init__(runners, random)
        start = random.randrange(len(runners))
        self.runner_cycle = itertools.cycle(runners[start:] + runners[:start])

    def pick(self, request: ModelRequest, now: float) -> str:
        return next(self.runner_cycle)


class LeastReported(_Baseline):
    """Chooses the runner with the least reported load, and at random among ties."""

    def pick(self, request: ModelRequest, now: float) -> str:
        least_queued = min(self.queued_by_runner.values())
        ties = [
            name for name, load in self.queued_by_runner.items() if load == least_queued
        ]
        return self.random.choice(ties)


class PureAffinity(_Baseline):
    """Chooses the first runner of the prefix's rendezvous order."""

    def __init__(self, runners: list[str], random: Random) -> None:
        super().__init__(runners, random)
        self.runner_by_prefix: dict[int, str] = {}

    def pick(self, request: ModelRequest, now: float) -> str:
        prefix = request.prefix_id
        if prefix not in self.runner_by_prefix:
            ranked = rank_by_rendezvous(str(prefix).encode(), self.runners)
            self.runner_by_prefix[prefix] = ranked[0]
        return self.runner_by_prefix[prefix]


class RouterPolicy:
    """The router under test."""

    def __init__(self, runners: list[str], random: Random) -> None:
        self.runners = runners
        self.random = random
        self.router = Router()

    def pick(self, request: ModelRequest, now: float) -> str:
        route = RouteRequest(
            str(request.prefix_id).encode(),
            request.prefix_tokens,
            request.prompt_tokens,
        )
        runner_id = self.router.pick(route, self.runners, now, self.random)
        assert runner_id is not None
        self.router.on_dispatched(str(request.request_id), runner_id, route, now)
        return runner_id

    def report(self, runner_id: str, report: LoadReport, measured_at: float) -> None:
        self.router.report(runner_id, report, measured_at)

    def record_first_token(
        self, request: ModelRequest, runner_id: str, now: float
    ) -> None:
        self.router.on_first_token(str(request.request_id), runner_id, now)

    def record_progress(
        self, request: ModelRequest, runner_id: str, now: float
    ) -> None:
        self.router.on_progress(
            str(request.request_id), runner_id, PROGRESS_TOKENS, now
        )

    def record_end(self, request: ModelRequest, runner_id: str, now: float) -> None:
        self.router.on_ended(str(request.request_id), runner_id, now)


POLICIES_BY_NAME: dict[str, Callable[[list[str], Random], Policy]] = {
    "random": RandomPolicy,
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "pure affinity": PureAffinity,
    "ours": RouterPolicy,
}

__all__ = ["POLICIES_BY_NAME", "PROGRESS_TOKENS", "Policy"]
