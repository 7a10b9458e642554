"""Chooses runners for requests with the router of their service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.routing import Router, RouteRequest, prefix_key
from corianderrelay.state.runner_load import DEFAULT_TOKENS_PER_S, LoadReport

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from corianderrelay.state.call import Call
    from corianderrelay.state.members import Members

    from ..state.runner import Runner
    from .agent_port import AgentPort

_BYTES_PER_TOKEN = 4  # rough average, to estimate the tokens of a prompt


class ServiceRouters:
    """One router for each service.

    :param agents_by_id: the agents with an open stream; its owner keeps it up to date.
    :param members: tracks which agents accept new work.
    :param zone: this entry's availability zone.
    :param random: source of randomness for the routers.
    """

    def __init__(
        self,
        agents_by_id: Mapping[str, AgentPort],
        members: Members,
        zone: str,
        random: Random,
    ) -> None:
        self._members = members
        self._agents_by_id = agents_by_id
        self._zone = zone
        self._random = random
        self._routers_by_service: dict[str, Router] = {}
        self._groups_by_runner: dict[str, str] = {}

    def add(self, runner: Runner) -> None:
        """Add a runner, and remove runners that are no longer members."""
        for router in self._routers_by_service.values():
            router.retain_runners(self._members)
        removed = [name for name in self._groups_by_runner if name not in self._members]
        for runner_id in removed:
            del self._groups_by_runner[runner_id]
        self._groups_by_runner[runner.instance_id] = runner.group
        self._get_or_add_router(runner.service).add_runner(
            runner.instance_id, runner.zone
        )

    def record_load(self, runner: Runner) -> None:
        """Pass the load from a runner's heartbeat to its router."""
        report = LoadReport(float(runner.queued_tokens), DEFAULT_TOKENS_PER_S)
        router = self._get_or_add_router(runner.service)
        router.report(runner.instance_id, report, runner.reported_s)

    def count_usable_agents(self, now: float) -> int:
        """Return the number of agents that accept new work."""
        return len(self._members.usable(now))

    def create_choice(self, call: Call) -> RunnerChoice:
        """Return an object that chooses the runners of one call."""
        return RunnerChoice(self, self._get_or_add_router(call.service), call)

    def pick(
        self,
        router: Router,
        service: str,
        route: RouteRequest,
        excluded: frozenset[str],
        now: float,
    ) -> str | None:
        """Return a usable runner of the service, or ``None``.

        :param excluded: runners that the call must not use again. Other runners of
            their groups are used only if there is no alternative.
        """
        usable = [
            runner_id
            for runner_id in self._members.usable(now)
            if (agent := self._agents_by_id.get(runner_id)) is not None
            and agent.runner.service == service
            and agent.runner.usable
            and runner_id not in excluded
        ]
        in_other_groups = self._outside_groups_of_excluded(excluded, usable)
        blocked = self.blocked_runners()
        candidates = in_other_groups or usable
        free = [runner_id for runner_id in candidates if runner_id not in blocked]
        return router.pick(route, free or candidates, now, self._random)

    def blocked_runners(self) -> set[str]:
        """Return the runners of lock-step groups in which a rank is down."""
        down_groups = {
            group
            for runner_id, group in self._groups_by_runner.items()
            if (agent := self._agents_by_id.get(runner_id)) is None
            or not agent.runner.engine_up
        }
        return {
            runner_id
            for runner_id, group in self._groups_by_runner.items()
            if group and group in down_groups
        }

    def _outside_groups_of_excluded(
        self, excluded: frozenset[str], usable: list[str]
    ) -> list[str]:
        # The ranks of a group run in lock-step, so one failed rank blocks all others.
        groups = {self._groups_by_runner.get(runner_id, "") for runner_id in excluded}
        excluded_groups = groups - {""}
        return [
            runner_id
            for runner_id in usable
            if self._groups_by_runner.get(runner_id, "") not in excluded_groups
        ]

    def _get_or_add_router(self, service: str) -> Router:
        router = self._routers_by_service.get(service)
        if router is None:
            router = self._routers_by_service[service] = Router(self._zone)
        return router


class RunnerChoice:
    """Chooses the runners of one call and reports its attempts to their router."""

    __slots__ = (
        "_routers",
        "_router",
        "_service",
        "_route",
        "_runners_by_attempt",
        "_awaiting_first_token",
    )

    def __init__(self, routers: ServiceRouters, router: Router, call: Call) -> None:
        self._routers = routers
        self._router = router
        self._service = call.service
        self._route = _route_request(call)
        self._runners_by_attempt: dict[str, str] = {}
        self._awaiting_first_token: set[str] = set()

    def choose(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a runner for the next attempt; see ``RunnerChooser``."""
        return self._routers.pick(
            self._router, self._service, self._route, excluded, now
        )

    def record_dispatch(self, attempt_id: str, runner_id: str, now: float) -> None:
        """Report to the router that an attempt was dispatched."""
        self._runners_by_attempt[attempt_id] = runner_id
        self._awaiting_first_token.add(attempt_id)
        self._router.on_dispatched(attempt_id, runner_id, self._route, now)

    def record_progress(self, attempt_id: str, tokens: int, now: float) -> None:
        """Report to the router that a chunk of an attempt's answer was received."""
        runner_id = self._runners_by_attempt.get(attempt_id)
        if runner_id is None:
            return
        if attempt_id in self._awaiting_first_token:
            self._awaiting_first_token.remove(attempt_id)
            self._router.on_first_token(attempt_id, runner_id, now)
        self._router.on_progress(attempt_id, runner_id, tokens, now)

    def record_end(self, attempt_id: str, now: float, *, failed: bool) -> None:
        """Report to the router that an attempt ended."""
        runner_id = self._runners_by_attempt.pop(attempt_id, None)
        self._awaiting_first_token.discard(attempt_id)
        if runner_id is not None:
            self._router.on_ended(attempt_id, runner_id, now, failed=failed)

    def record_all_ended(self, now: float) -> None:
        """Report to the router that all attempts ended."""
        for attempt_id in list(self._runners_by_attempt):
            self.record_end(attempt_id, now, failed=False)


def _route_request(call: Call) -> RouteRequest:
    prompt_tokens = max(1, len(call.body) // _BYTES_PER_TOKEN)
    prefix = call.prompt_prefix
    if not prefix:
        return RouteRequest(call.request_id.encode(), 0, prompt_tokens)
    key = prefix_key(call.workspace, call.service, prefix)
    return RouteRequest(key, len(prefix) // _BYTES_PER_TOKEN, prompt_tokens)


__all__ = ["RunnerChoice", "ServiceRouters"]
