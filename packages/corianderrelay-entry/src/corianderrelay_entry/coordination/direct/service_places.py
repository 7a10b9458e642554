"""Joins the runner list, placement, admission and budgets of all services."""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING, Protocol

from ...state.direct.admission_queue import AdmissionQueue, PeerLoad
from ...state.direct.catalog import RequestKind
from ...state.direct.lockstep_placement import LockstepPlacement
from ...state.direct.pass_timing import PassTiming
from ...state.direct.retry_budget import RetryBudget
from ...state.direct.stream_limit import StreamLimit

if TYPE_CHECKING:
    from random import Random

    from ...state.direct.catalog import EngineModel, Route
    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from ...state.direct.settings import DirectBounds
    from .open_direct_call import OpenDirectCall

_PLAIN_ANSWER_S = 0.1  # usual time of a plain service's answer
_RETURNED_WAIT_S = 0.1  # about a pass; more would hold up a caller for nothing
_LEAST_RUNNING = 8  # with fewer, the fixed part hides what a stream adds
_PACE_CHANGED = 1.3  # ratio of the slowest rank's pace that makes old pauses worthless
_PAUSE_QUANTILE = 0.9  # one long pause spoils a whole stream
_SERVER_ERROR = 500


class Engines(Protocol):
    """Knows the engines of services."""

    def engine(self, service: str) -> EngineModel | None:
        """Return what is configured of a service's engines."""


class _Group:
    """The runners of a service that pass together."""

    __slots__ = ("pace", "limit", "aim_s", "pass_s", "slowest")

    def __init__(self) -> None:
        self.pace = PassTiming()
        self.limit = StreamLimit()
        self.aim_s = 0.0
        self.pass_s = 0.0
        self.slowest = 1.0


class ServicePlaces:
    """Who runs where, over all services.

    :param peers: the other entries and what they run.
    :param engines: what the configuration says of engines.
    """

    def __init__(
        self,
        runners: RunnerList,
        peers: EntryPeers,
        bounds: DirectBounds,
        random: Random,
        engines: Engines,
    ) -> None:
        self._engines = engines
        self._runners = runners
        self._peers = peers
        self._random = random
        self._placement = LockstepPlacement(random)
        self._admission_by_service: defaultdict[str, AdmissionQueue[OpenDirectCall]] = (
            defaultdict(AdmissionQueue)
        )
        self._budget_by_service: defaultdict[str, RetryBudget] = defaultdict(
            partial(
                RetryBudget,
                bounds.repeat_ratio,
                bounds.repeat_allowance,
                bounds.repeat_window_s,
            )
        )
        # Only services that stream have a group, from their first request on.
        self._groups_by_service: defaultdict[str, _Group] = defaultdict(_Group)

    def service_of(self, route: Route) -> str:
        """Draw the service of a request."""
        return route.draw_service(self._random)

    def runner(self, runner_id: str) -> RegisteredRunner:
        """Return a runner that was picked."""
        runner = self._runners.get(runner_id)
        assert runner is not None, "a runner is picked from the list it stands in"
        return runner

    def picker(self, opened: OpenDirectCall) -> CallPicker:
        """Return what picks the runners of one request."""
        return CallPicker(self, opened)

    def pick(
        self, opened: OpenDirectCall, excluded: frozenset[str], now: float
    ) -> str | None:
        """Return the best usable runner of the request's service."""
        candidates = [
            runner
            for runner in self._runners.usable(opened.service)
            if runner.runner_id not in excluded
        ]
        lockstep = opened.route.kind is RequestKind.STREAM
        if lockstep:
            self._share_places(opened.service, now)
        return self._placement.pick(candidates, lockstep, now)

    def _share_places(self, service: str, now: float) -> None:
        others = [each.entry_id for each in self._peers.alive(now) if each.ready]
        runners = self._runners.usable(service)
        self._placement.divide_slots(self._peers.own_id, others, runners)

    def take_retry(self, opened: OpenDirectCall, now: float) -> bool:
        """Pay for sending a request once more."""
        return self._budget_by_service[opened.service].spend(len(self._peers) + 1, now)

    def arrived(self, opened: OpenDirectCall, now: float) -> None:
        """Count a request of a caller."""
        self._budget_by_service[opened.service].record_request(now)
        if opened.route.kind is RequestKind.STREAM:
            self._groups_by_service[opened.service].aim_s = opened.route.gap_objective_s

    def hear_peers(self, now: float) -> None:
        """Take what the other entries run."""
        self._placement.set_peer_updates(self._peers.alive(now))

    def set_own_slowness(self, slowness_by_id: dict[str, float]) -> None:
        """Take what this entry has found of slow runners itself."""
        self._placement.set_own_slowness(slowness_by_id)

    def own_running(self) -> dict[str, int]:
        """Return this entry's requests at each runner."""
        return self._placement.own_running()

    def own_waiting(self) -> dict[str, int]:
        """Return this entry's waiting requests by service."""
        return {
            service: len(admission)
            for service, admission in self._admission_by_service.items()
            if len(admission)
        }

    def free(self, service: str, now: float) -> int:
        """Return the places of a service that nobody is known to have."""
        return self._limit(service, now) - self._running(service)

    def has_place(self, opened: OpenDirectCall, now: float) -> bool:
        """Whether the request may start at once."""
        waiting = len(self._admission_by_service[opened.service])
        waiting += self._elsewhere(opened.service, now).waiting
        return self.free(opened.service, now) > waiting

    def wait(self, opened: OpenDirectCall, now: float) -> bool:
        """Let the request wait; false if its place would come too late."""
        if not self._runners.usable(opened.service):
            return False
        returned = opened.returned
        return self._admission_by_service[opened.service].enqueue(
            opened,
            returned=returned,
            priority=opened.priority,
            latest_s=now + _RETURNED_WAIT_S if returned else self._latest_s(opened),
            peer_load=self._elsewhere(opened.service, now),
            now=now,
        )

    def _latest_s(self, opened: OpenDirectCall) -> float:
        needed_s = _PLAIN_ANSWER_S
        if opened.route.kind is RequestKind.STREAM:
            needed_s = self._groups_by_service[opened.service].pace.first_event_s
        return opened.call.received_at + opened.route.objective_s - needed_s

    def stop_waiting(self, opened: OpenDirectCall) -> None:
        """Forget a request that has ended while it waited."""
        self._admission_by_service[opened.service].remove(opened)

    def admitted(self, now: float) -> list[OpenDirectCall]:
        """Take the waiting requests for which there are places."""
        return [
            opened
            for service, admission in self._admission_by_service.items()
            if len(admission)
            for opened in admission.admit(
                self.free(service, now), self._elsewhere(service, now), self._random
            )
        ]

    def overdue(self, now: float) -> list[OpenDirectCall]:
        """Take the waiting requests that cannot be in time any longer."""
        return [
            opened
            for admission in self._admission_by_service.values()
            if len(admission)
            for opened in admission.pop_overdue(now)
        ]

    def retry_after_s(self, service: str, now: float) -> float:
        """Return when a refused caller can expect a place."""
        peer_load = self._elsewhere(service, now)
        return self._admission_by_service[service].retry_after_s(peer_load)

    def sent(self, opened: OpenDirectCall, runner_id: str, now: float) -> None:
        """Note that a runner has the request."""
        opened.runner_id = opened.last_runner_id = runner_id
        self._placement.health(runner_id).running += 1

    def ended(self, opened: OpenDirectCall, now: float) -> None:
        """Note that the runner does not have the request any longer."""
        self._placement.health(opened.runner_id).running -= 1
        opened.runner_id = ""
        self._admission_by_service[opened.service].record_completion(now)

    def progressed(self, opened: OpenDirectCall, now: float) -> None:
        """Note whole events of a stream."""
        if not opened.last_event_at:
            health = self._placement.health(opened.runner_id)
            first_s = now - opened.attempts.sent_at
            health.record_success(first_s, now)
            self._groups_by_service[opened.service].pace.record_first_event(first_s)
        else:
            pause_s = now - opened.last_event_at
            self._groups_by_service[opened.service].pace.record_pause(pause_s, now)
        opened.last_event_at = now

    def answered(self, opened: OpenDirectCall, status: int, now: float) -> None:
        """Note the whole answer of a plain service."""
        if opened.route.kind is RequestKind.STREAM or not opened.runner_id:
            return
        health = self._placement.health(opened.runner_id)
        if status >= _SERVER_ERROR:
            health.record_failure(now)
        else:
            health.record_success(now - opened.attempts.sent_at, now)

    def failed(self, runner_id: str, now: float) -> None:
        """Note a failure of a runner."""
        if runner_id:
            self._placement.health(runner_id).record_failure(now)

    def forget_runner(self, runner_id: str) -> None:
        """Drop what is known of a runner that is gone."""
        self._placement.evict_runner(runner_id)

    def describe(self, service: str, now: float) -> dict[str, object]:
        """Return what decided about a place, for the log."""
        usable = self._runners.usable(service)
        peer_load = self._elsewhere(service, now)
        admission = self._admission_by_service[service]
        return {
            "usable_runners": len(usable),
            "free_places": self.free(service, now),
            "waiting": len(admission),
            "waiting_elsewhere": peer_load.waiting,
            "entries_heard": peer_load.entries,
            "expected_wait_s": round(admission.expected_wait_s(0, peer_load), 4),
        }

    def describe_runner(self, runner_id: str, now: float) -> dict[str, object]:
        """Return what is believed of a runner, for the log."""
        health = self._placement.health(runner_id)
        return {
            "running_here": health.running,
            "running_all": self._placement.running(runner_id),
            "success_rate": round(health.success_rate(now), 3),
        }

    def measure_pace(self, now: float) -> list[dict[str, object]]:
        """Learn the pace of each group that streams; return what was learned."""
        return [
            {"service": service, **self._measure(service, group, now)}
            for service, group in self._groups_by_service.items()
        ]

    def pass_s(self, service: str) -> float:
        """Return the time of a pass of the service's groups; 0 if not known."""
        group = self._groups_by_service.get(service)
        return 0.0 if group is None else group.pass_s

    def stream_cost_s(self, service: str, now: float) -> float:
        """Return what a stream adds to a pass at present; 0 if it is not known."""
        group = self._groups_by_service.get(service)
        running = self._running(service)
        if group is None or running < _LEAST_RUNNING:
            return 0.0
        pause_s = group.pace.latest_s(now)
        return max(pause_s - self._fixed_pass_s(service), 0.0) / running

    def running(self, runner_id: str) -> int:
        """Return the requests of all entries at a runner, as far as known."""
        return self._placement.running(runner_id)

    def _measure(self, service: str, group: _Group, now: float) -> dict[str, object]:
        running = self._running(service)
        slowest = self._slowest(service)
        if max(slowest, group.slowest) > _PACE_CHANGED * min(slowest, group.slowest):
            group.slowest = slowest
            group.limit.reset()
            group.pace.reset()
        pause_s = group.pace.quantile_s(_PAUSE_QUANTILE, now)
        group.pass_s = group.pace.quantile_s(0.5, now)
        group.limit.add_measurement(pause_s, running, self._fixed_pass_s(service), now)
        return {
            "pauses": group.pace.pause_count(now),
            "pause_s": round(pause_s, 4),
            "worst_s": round(group.pace.quantile_s(1.0, now), 4),
            "first_event_s": round(group.pace.first_event_s, 4),
            "running": running,
            "limit": self._limit(service, now),
            "waiting": len(self._admission_by_service[service]),
        }

    def _limit(self, service: str, now: float) -> int:
        """Return the requests that the service's runners may have at once."""
        usable = self._runners.usable(service)
        places = sum(runner.slots for runner in usable)
        group = self._groups_by_service.get(service)
        if group is None:
            return places
        return group.limit.max_streams(
            group.aim_s, self._fixed_pass_s(service), places, len(usable), now
        )

    def _elsewhere(self, service: str, now: float) -> PeerLoad:
        alive = self._peers.alive(now)
        waiting = sum(news.waiting_by_service.get(service, 0) for news in alive)
        return PeerLoad(len(alive), waiting)

    def _running(self, service: str) -> int:
        return sum(
            self._placement.running(runner.runner_id)
            for runner in self._runners.usable(service)
        )

    def _fixed_pass_s(self, service: str) -> float:
        engine = self._engines.engine(service)
        if engine is None:
            return 0.0
        # A rank without streams of its own adds no fixed time.
        slowest = self._slowest(service, with_streams=True)
        return engine.step_s * engine.steps_per_pass * slowest

    def _slowest(self, service: str, *, with_streams: bool = False) -> float:
        """Return how many times longer than usual the slowest rank takes."""
        return max(
            (
                self._placement.slowness(runner.runner_id)
                for runner in self._runners.usable(service)
                if not with_streams or self._placement.running(runner.runner_id)
            ),
            default=1.0,
        )


class CallPicker:
    """Picks the runners of one request; see ``RunnerPicker``."""

    __slots__ = ("_places", "_opened")

    def __init__(self, places: ServicePlaces, opened: OpenDirectCall) -> None:
        self._places = places
        self._opened = opened

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, or ``None``."""
        return self._places.pick(self._opened, excluded, now)

    def take_retry(self, now: float) -> bool:
        """Pay for sending the request once more."""
        return self._places.take_retry(self._opened, now)


__all__ = ["CallPicker", "ServicePlaces"]
