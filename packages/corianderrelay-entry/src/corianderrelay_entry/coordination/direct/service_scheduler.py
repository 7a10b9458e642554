"""Combines runner list, placement, admission and retry budgets for all services."""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING, Protocol

from ...state.direct.admission_queue import AdmissionQueue, PeerLoad
from ...state.direct.catalog import RequestKind
from ...state.direct.pass_timing import PassTiming
from ...state.direct.retry_budget import RetryBudget
from ...state.direct.runner_placement import RunnerPlacement
from ...state.direct.stream_limit import StreamLimit

if TYPE_CHECKING:
    from random import Random

    from ...state.direct.catalog import EngineModel, Route
    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from ...state.direct.settings import DirectBounds
    from .open_direct_call import OpenDirectCall

_USUAL_UNSTREAMED_ANSWER_S = 0.1  # usual response time of an unstreamed request
_CALLER_RETRY_WAIT_S = 0.1  # about one pass; a longer wait would only delay a refusal
_MIN_RUNNING = 8  # with fewer, the fixed time of a pass hides the cost of a stream
# Ratio of change in the slowest rank's step time that makes older pauses useless.
_PACE_CHANGE_RATIO = 1.3
_PAUSE_QUANTILE = 0.9  # a single long pause makes a stream miss its objective
_SERVER_ERROR = 500


class EngineConfigs(Protocol):
    """Looks up the engine models of services."""

    def engine(self, service: str) -> EngineModel | None:
        """Return the configured engine model of a service."""


class _StreamingService:
    """Measured pace and stream limit of a service with streamed answers.

    :ivar pass_s: median duration of a pass in seconds; 0 if unknown.
    :ivar max_slowness: step time of the slowest rank when the pace was last reset, as a
        multiple of the usual one.
    """

    __slots__ = ("pace", "limit", "pause_objective_s", "pass_s", "max_slowness")

    def __init__(self) -> None:
        self.pace = PassTiming()
        self.limit = StreamLimit()
        self.pause_objective_s = 0.0
        self.pass_s = 0.0
        self.max_slowness = 1.0


class ServiceScheduler:
    """Admits requests and picks their runners, for all services.

    :param peers: the other entries and their load.
    :param engines: the configured engine models.
    """

    def __init__(
        self,
        runners: RunnerList,
        peers: EntryPeers,
        bounds: DirectBounds,
        random: Random,
        engines: EngineConfigs,
    ) -> None:
        self._engines = engines
        self._runners = runners
        self._peers = peers
        self._random = random
        self._placement = RunnerPlacement(random)
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
        # Contains only streaming services, from their first request on.
        self._streaming_by_service: defaultdict[str, _StreamingService] = defaultdict(
            _StreamingService
        )

    def choose_service(self, route: Route) -> str:
        """Choose a service of the route at random by weight."""
        return route.draw_service(self._random)

    def runner(self, runner_id: str) -> RegisteredRunner:
        """Return the runner that was picked, by its id."""
        runner = self._runners.get(runner_id)
        assert runner is not None, "a picked runner must be in the runner list"
        return runner

    def picker(self, opened: OpenDirectCall) -> CallPicker:
        """Return the runner picker of one request."""
        return CallPicker(self, opened)

    def pick(
        self, opened: OpenDirectCall, excluded: frozenset[str], now: float
    ) -> str | None:
        """Return the best usable runner of the request's service, or ``None``."""
        candidates = [
            runner
            for runner in self._runners.usable(opened.service)
            if runner.runner_id not in excluded
        ]
        lockstep = opened.route.kind is RequestKind.STREAM
        if lockstep:
            self._share_slots(opened.service, now)
        return self._placement.pick(candidates, lockstep, now)

    def _share_slots(self, service: str, now: float) -> None:
        others = [each.entry_id for each in self._peers.alive(now) if each.ready]
        runners = self._runners.usable(service)
        self._placement.divide_slots(self._peers.own_id, others, runners)

    def spend_retry(self, opened: OpenDirectCall, now: float) -> bool:
        """Charge a retry to the service's budget; return false if it is exhausted."""
        entries = self._peers.sharing_entries(now)
        return self._budget_by_service[opened.service].spend(entries, now)

    def retry_log_fields(self, service: str, now: float) -> dict[str, object]:
        """Return the state of a service's retry budget as log fields."""
        entries = self._peers.sharing_entries(now)
        budget = self._budget_by_service[service]
        return {
            "retries": budget.spent(now),
            "retry_limit": round(budget.limit(entries, now), 2),
            "entries": entries,
        }

    def on_arrived(self, opened: OpenDirectCall, now: float) -> None:
        """Record a new request of a caller."""
        self._budget_by_service[opened.service].record_request(now)
        if opened.route.kind is RequestKind.STREAM:
            self._streaming_by_service[opened.service].pause_objective_s = (
                opened.route.gap_objective_s
            )

    def apply_peer_updates(self, now: float) -> None:
        """Apply the load that the other entries report."""
        self._placement.set_peer_updates(self._peers.alive(now))

    def set_own_slowness(self, slowness_by_id: dict[str, float]) -> None:
        """Set the slow runners that this entry itself has detected."""
        self._placement.set_own_slowness(slowness_by_id)

    def own_running(self) -> dict[str, int]:
        """Return this entry's requests in flight by runner."""
        return self._placement.own_running()

    def own_waiting(self) -> dict[str, int]:
        """Return this entry's queued requests by service."""
        return {
            service: len(admission)
            for service, admission in self._admission_by_service.items()
            if len(admission)
        }

    def free_slots(self, service: str, now: float) -> int:
        """Return the free slots of a service, as far as this entry knows."""
        return self._limit(service, now) - self._running(service)

    def has_free_slot(self, opened: OpenDirectCall, now: float) -> bool:
        """Whether more slots are free than requests wait, here and at the peers."""
        waiting = len(self._admission_by_service[opened.service])
        waiting += self._peer_load(opened.service, now).waiting
        return self.free_slots(opened.service, now) > waiting

    def enqueue(self, opened: OpenDirectCall, now: float) -> bool:
        """Queue the request; return false if no slot is expected to be free in time."""
        if not self._runners.usable(opened.service):
            return False
        is_retry = opened.is_caller_retry
        return self._admission_by_service[opened.service].enqueue(
            opened,
            returned=is_retry,
            priority=opened.priority,
            queue_deadline_s=(
                now + _CALLER_RETRY_WAIT_S if is_retry else self._latest_start_s(opened)
            ),
            peer_load=self._peer_load(opened.service, now),
            now=now,
        )

    def _latest_start_s(self, opened: OpenDirectCall) -> float:
        needed_s = _USUAL_UNSTREAMED_ANSWER_S
        if opened.route.kind is RequestKind.STREAM:
            needed_s = self._streaming_by_service[opened.service].pace.first_event_s
        return opened.call.received_at + opened.route.objective_s - needed_s

    def dequeue(self, opened: OpenDirectCall) -> None:
        """Remove a request from the queue."""
        self._admission_by_service[opened.service].remove(opened)

    def take_admitted(self, now: float) -> list[OpenDirectCall]:
        """Remove and return the queued requests for which there are free slots."""
        return [
            opened
            for service, admission in self._admission_by_service.items()
            if len(admission)
            for opened in admission.admit(
                self.free_slots(service, now),
                self._peer_load(service, now),
                self._random,
            )
        ]

    def take_overdue(self, now: float) -> list[OpenDirectCall]:
        """Remove and return the queued requests whose latest start has passed."""
        return [
            opened
            for admission in self._admission_by_service.values()
            if len(admission)
            for opened in admission.pop_overdue(now)
        ]

    def retry_after_s(self, service: str, now: float) -> float:
        """Return the seconds after which a refused caller can expect a slot."""
        peer_load = self._peer_load(service, now)
        return self._admission_by_service[service].retry_after_s(peer_load)

    def on_sent(self, opened: OpenDirectCall, runner_id: str, now: float) -> None:
        """Record an attempt that was sent to a runner."""
        opened.runner_id = opened.last_runner_id = runner_id
        self._placement.health(runner_id).running += 1

    def on_attempt_ended(self, opened: OpenDirectCall, now: float) -> None:
        """Record that the current attempt at the runner has ended."""
        self._placement.health(opened.runner_id).running -= 1
        opened.runner_id = ""
        self._admission_by_service[opened.service].record_completion(now)

    def on_progress(self, opened: OpenDirectCall, now: float) -> None:
        """Record that complete events of a stream arrived."""
        if not opened.last_event_at:
            health = self._placement.health(opened.runner_id)
            first_s = now - opened.attempts.sent_at
            health.record_success(first_s, now)
            self._streaming_by_service[opened.service].pace.record_first_event(first_s)
        else:
            pause_s = now - opened.last_event_at
            self._streaming_by_service[opened.service].pace.record_pause(pause_s, now)
        opened.last_event_at = now

    def on_answered(self, opened: OpenDirectCall, status: int, now: float) -> None:
        """Record a complete answer that is not a stream."""
        if opened.route.kind is RequestKind.STREAM or not opened.runner_id:
            return
        health = self._placement.health(opened.runner_id)
        if status >= _SERVER_ERROR:
            health.record_failure(now)
        else:
            health.record_success(now - opened.attempts.sent_at, now)

    def on_failed(self, runner_id: str, now: float) -> None:
        """Record a failure of a runner."""
        if runner_id:
            self._placement.health(runner_id).record_failure(now)

    def remove_runner(self, runner_id: str) -> None:
        """Discard the state of a removed runner."""
        self._placement.evict_runner(runner_id)

    def admission_log_fields(self, service: str, now: float) -> dict[str, object]:
        """Return the inputs of the admission decision as log fields."""
        usable = self._runners.usable(service)
        peer_load = self._peer_load(service, now)
        admission = self._admission_by_service[service]
        return {
            "usable_runners": len(usable),
            "free_places": self.free_slots(service, now),
            "waiting": len(admission),
            "waiting_elsewhere": peer_load.waiting,
            "entries_heard": peer_load.entries,
            "expected_wait_s": round(admission.expected_wait_s(0, peer_load), 4),
        }

    def runner_log_fields(self, runner_id: str, now: float) -> dict[str, object]:
        """Return the load and success rate of a runner as log fields."""
        health = self._placement.health(runner_id)
        return {
            "running_here": health.running,
            "running_all": self._placement.running(runner_id),
            "success_rate": round(health.success_rate(now), 3),
        }

    def measure_pace(self, now: float) -> list[dict[str, object]]:
        """Update each streaming service's pace and limit; return them as log fields."""
        return [
            {"service": service, **self._measure(service, streaming, now)}
            for service, streaming in self._streaming_by_service.items()
        ]

    def pass_s(self, service: str) -> float:
        """Return the median duration of a pass in seconds; 0 if unknown."""
        streaming = self._streaming_by_service.get(service)
        return 0.0 if streaming is None else streaming.pass_s

    def stream_cost_s(self, service: str, now: float) -> float:
        """Return the seconds that one stream adds to a pass now; 0 if unknown."""
        streaming = self._streaming_by_service.get(service)
        running = self._running(service)
        if streaming is None or running < _MIN_RUNNING:
            return 0.0
        pause_s = streaming.pace.recent_median_s(now)
        return max(pause_s - self._fixed_pass_s(service), 0.0) / running

    def running(self, runner_id: str) -> int:
        """Return a runner's requests in flight, as last reported by all entries."""
        return self._placement.running(runner_id)

    def _measure(
        self, service: str, streaming: _StreamingService, now: float
    ) -> dict[str, object]:
        running = self._running(service)
        max_slowness = self._max_slowness(service)
        if max(max_slowness, streaming.max_slowness) > _PACE_CHANGE_RATIO * min(
            max_slowness, streaming.max_slowness
        ):
            streaming.max_slowness = max_slowness
            streaming.limit.reset()
            streaming.pace.reset()
        pause_s = streaming.pace.quantile_s(_PAUSE_QUANTILE, now)
        streaming.pass_s = streaming.pace.quantile_s(0.5, now)
        streaming.limit.add_measurement(
            pause_s, running, self._fixed_pass_s(service), now
        )
        return {
            "pauses": streaming.pace.pause_count(now),
            "pause_s": round(pause_s, 4),
            "worst_s": round(streaming.pace.quantile_s(1.0, now), 4),
            "first_event_s": round(streaming.pace.first_event_s, 4),
            "running": running,
            "limit": self._limit(service, now),
            "waiting": len(self._admission_by_service[service]),
        }

    def _limit(self, service: str, now: float) -> int:
        """Return the limit on requests in flight at the service's runners."""
        usable = self._runners.usable(service)
        total_slots = sum(runner.slots for runner in usable)
        streaming = self._streaming_by_service.get(service)
        if streaming is None:
            return total_slots
        return streaming.limit.max_streams(
            streaming.pause_objective_s,
            self._fixed_pass_s(service),
            total_slots,
            len(usable),
            now,
        )

    def _peer_load(self, service: str, now: float) -> PeerLoad:
        alive = self._peers.alive(now)
        waiting = sum(
            peer_update.waiting_by_service.get(service, 0) for peer_update in alive
        )
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
        # A rank without streams adds no fixed time.
        max_slowness = self._max_slowness(service, with_streams=True)
        return engine.step_s * engine.steps_per_pass * max_slowness

    def _max_slowness(self, service: str, *, with_streams: bool = False) -> float:
        """Return the slowest rank's step time as a multiple of the usual one."""
        return max(
            (
                self._placement.slowness(runner.runner_id)
                for runner in self._runners.usable(service)
                if not with_streams or self._placement.running(runner.runner_id)
            ),
            default=1.0,
        )


class CallPicker:
    """Implements ``RunnerPicker`` for one request."""

    __slots__ = ("_scheduler", "_opened")

    def __init__(self, scheduler: ServiceScheduler, opened: OpenDirectCall) -> None:
        self._scheduler = scheduler
        self._opened = opened

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, or ``None``."""
        return self._scheduler.pick(self._opened, excluded, now)

    def spend_retry(self, now: float) -> bool:
        """Charge a retry to the service's budget; return false if it is exhausted."""
        return self._scheduler.spend_retry(self._opened, now)


__all__ = ["CallPicker", "ServiceScheduler"]
