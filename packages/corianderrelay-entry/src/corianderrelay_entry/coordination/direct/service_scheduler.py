"""Combines runner list, placement, admission and retry budgets for all services."""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from ...state.direct.catalog import RequestKind
from ...state.direct.least_cost_queue import LeastCostQueue
from ...state.direct.peer_news import WaitingRequests
from ...state.direct.request_cost import RequestCost, work_units
from ...state.direct.retry_budget import RetryBudget
from ...state.direct.runner_placement import RunnerPlacement
from ...state.direct.service_queue import ArrivalOrderQueue, Enqueued, ServiceLoad
from ...state.direct.takeover_limits import TakeoverLimits
from .group_pacing import GroupPacing
from .runner_capacity import RunnerCapacity
from .stream_pacing import StreamPacing

if TYPE_CHECKING:
    from random import Random

    from ...state.direct.catalog import Route
    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.group_directory import GroupDirectory
    from ...state.direct.peer_news import GroupPauses
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from ...state.direct.service_queue import ServiceQueue
    from ...state.direct.settings import DirectBounds
    from .evacuation_watch import EvacuationWatch
    from .group_watch import GroupWatch
    from .open_direct_call import OpenAttempt, OpenDirectCall
    from .statement_watch import StatementWatch
    from .stream_pacing import EngineConfigs

_USUAL_UNSTREAMED_ANSWER_S = 0.1  # usual response time of an unstreamed request
_RETRY_AFTER_S = 0.1  # a rejected request finds a free runner in about one pass
_SERVER_ERROR = 500
# Of requests that can only be late, and of waiting ones whose priority a peer does not
# tell. They must not take slots from requests that can be in time.
_LOWEST_PRIORITY = 9


class ServiceScheduler:
    """Admits requests and picks their runners, for all services.

    :param peers: the other entries and their load.
    :param engines: the configured engine models.
    :param statements: what runners state of themselves.
    :param groups: the lock-step groups that are closed.
    :param zones: which zones are evacuated.
    :param directory: the lock-step groups that this entry knows.
    :param least_cost: whether requests are delayed or refused in the order of what that
        costs callers.
    """

    def __init__(
        self,
        runners: RunnerList,
        peers: EntryPeers,
        bounds: DirectBounds,
        random: Random,
        engines: EngineConfigs,
        statements: StatementWatch,
        groups: GroupWatch,
        zones: EvacuationWatch,
        directory: GroupDirectory,
        *,
        least_cost: bool = False,
    ) -> None:
        self._least_cost = least_cost
        self._runners = runners
        self._peers = peers
        self._random = random
        self._placement = RunnerPlacement(random)
        self._group_pacing = GroupPacing(runners, self._placement, peers, directory)
        self.pacing = StreamPacing(
            runners, self._placement, engines, self._group_pacing
        )
        self._capacity = RunnerCapacity(
            runners, self._placement, statements, groups, zones
        )
        self._zones = zones
        self._statements = statements
        self._groups = groups
        self._takeover_limits = TakeoverLimits()
        self._admission_by_service: defaultdict[str, ServiceQueue[OpenDirectCall]] = (
            defaultdict(self._new_queue)
        )
        self._budget_by_service: defaultdict[str, RetryBudget] = defaultdict(
            partial(
                RetryBudget,
                bounds.repeat_ratio,
                bounds.repeat_allowance,
                bounds.repeat_window_s,
            )
        )

    def _new_queue(self) -> ServiceQueue[OpenDirectCall]:
        if not self._least_cost:
            return ArrivalOrderQueue(self._random)
        return LeastCostQueue(zlib.crc32(self._peers.own_id.encode()) / 2**32)

    def runner_priority(self, opened: OpenDirectCall) -> int | None:
        """Return the priority that runners are told; ``None`` for none."""
        return opened.priority if self._least_cost else None

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
        probed = self._groups.probed_group(opened, now)
        if probed:
            ranks = self._capacity.probe_candidates(probed, excluded, now)
            if ranks:
                return self._pick_among(ranks, opened, now)
        candidates = self._capacity.candidates(opened.service, excluded, now)
        return self._pick_among(candidates, opened, now)

    def pick_for_takeover(
        self, opened: OpenDirectCall, excluded: frozenset[str], now: float
    ) -> str | None:
        """Return the best runner that may have a place for a takeover, or ``None``."""
        candidates = self._capacity.candidates(opened.service, excluded, now)
        may_have_place = [
            each
            for each in candidates
            if self._takeover_limits.may_have_place(
                each.runner_id, each.slots, self._placement.running(each.runner_id), now
            )
        ]
        return self._pick_among(may_have_place, opened, now)

    def _pick_among(
        self, candidates: list[RegisteredRunner], opened: OpenDirectCall, now: float
    ) -> str | None:
        lockstep = opened.route.kind is RequestKind.STREAM
        if lockstep:
            self._share_slots(opened.service, now)
            candidates = self._group_pacing.choose(
                opened.service, candidates, self._random
            )
        limited_ids = self._capacity.limited_ids(candidates)
        cold_ids = self._capacity.cold_ids(candidates, now)
        return self._placement.pick(candidates, lockstep, now, limited_ids, cold_ids)

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
        admission = self._admission_by_service[opened.service]
        admission.record_arrival(opened.priority, now)
        if opened.route.kind is RequestKind.STREAM:
            objective_s = opened.route.gap_objective_s
            self.pacing.set_pause_objective(opened.service, objective_s)

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

    def own_waiting_by_priority(self) -> tuple[WaitingRequests, ...]:
        """Return this entry's queued requests that can be in time, by priority."""
        return tuple(
            WaitingRequests(service, priority, count, work)
            for service, admission in self._admission_by_service.items()
            for priority, (count, work) in admission.waiting_by_priority().items()
        )

    def free_slots(self, service: str, now: float) -> int:
        """Return the free slots of a service, as far as this entry knows."""
        slots = self._capacity.slots(service, now)
        free_streams = self._max_load(service, slots, now) - self._capacity.load(
            service, now
        )
        return min(free_streams, slots - self._capacity.running(service, now))

    def has_free_slot(self, opened: OpenDirectCall, now: float) -> bool:
        """Whether a slot is free that no waiting request of any entry takes.

        A request that should try a closed group needs no slot.
        """
        self._capacity.announce_demand(opened.service, now)
        if self._groups.probed_group(opened, now):
            return True
        is_late = self._least_cost and self._latest_start_s(opened) < now
        return self._admission_by_service[opened.service].start_at_once(
            _LOWEST_PRIORITY if is_late else opened.priority,
            self._startable(opened.service, now),
            self._load(opened.service, now),
            now,
        )

    def _spreads_starts(self, service: str) -> bool:
        """Whether each entry may start requests only at its share of the rate.

        The order of least cost divides the freed slots itself.
        """
        return self._group_pacing.knows(service) and not self._least_cost

    def _startable(self, service: str, now: float) -> int:
        """Return how many requests this entry may start now."""
        free = self.free_slots(service, now)
        if not self._spreads_starts(service):
            return free
        closed = self._groups.closed_names(now)
        return self._group_pacing.startable(service, free, closed, now)

    def is_evacuated(self, service: str) -> bool:
        """Whether all runners of a service are in evacuated zones."""
        return not self._runners.usable(service) and bool(
            self._runners.present(service)
        )

    def may_send(self, runner: RegisteredRunner) -> bool:
        """Whether a runner that was picked may still get a request."""
        return self._zones.may_send(runner)

    def enqueue(self, opened: OpenDirectCall, now: float) -> Enqueued[OpenDirectCall]:
        """Queue the request unless no slot is expected to be free in time."""
        if not self._runners.usable(opened.service):
            return Enqueued(False)
        call = opened.call
        cost = RequestCost(
            opened.priority,
            work_units(call.prompt_tokens, call.answer_tokens),
            self._latest_start_s(opened),
            opened.attempts.deadline_s,
            opened.is_caller_retry,
        )
        result = self._enqueue(opened, cost, now)
        if result.waits:
            return result
        waiting = len(self._admission_by_service[opened.service])
        waiting += self._peer_load(opened.service, now)[1]
        late_s = self._groups.late_deadline_s(opened, waiting, now)
        if late_s is None:
            return result
        late_cost = replace(cost, latest_start_s=late_s, late=True)
        late = self._enqueue(opened, late_cost, now)
        return Enqueued(late.waits, result.displaced + late.displaced)

    def _enqueue(
        self, opened: OpenDirectCall, cost: RequestCost, now: float
    ) -> Enqueued[OpenDirectCall]:
        return self._admission_by_service[opened.service].enqueue(
            opened,
            cost,
            self._load(opened.service, now),
            self.runner_wait_s(opened.service, now),
            now,
        )

    def runner_wait_s(self, service: str, now: float) -> float:
        """Return the seconds until the service's runners take a request."""
        waiting = len(self._admission_by_service[service])
        waiting += self._peer_load(service, now)[1]
        wait_s = self._capacity.wait_s(service, waiting, now)
        return max(
            wait_s,
            self._groups.min_wait_s(service, now),
            self._zones.retry_after_s(service, now),
        )

    def _latest_start_s(self, opened: OpenDirectCall) -> float:
        needed_s = _USUAL_UNSTREAMED_ANSWER_S
        if opened.route.kind is RequestKind.STREAM:
            needed_s = self.pacing.first_event_s(opened.service)
        if self._least_cost:
            needed_s += opened.earlier_wait_s
        return opened.call.received_at + opened.route.objective_s - needed_s

    def dequeue(self, opened: OpenDirectCall) -> None:
        """Remove a request from the queue."""
        self._admission_by_service[opened.service].remove(opened)

    def take_admitted(self, now: float) -> list[OpenDirectCall]:
        """Remove and return the queued requests for which there are free slots."""
        admitted: list[OpenDirectCall] = []
        for service, admission in self._admission_by_service.items():
            if not len(admission):
                continue
            self._capacity.announce_demand(service, now)
            if self._groups.min_wait_s(service, now):
                if self._groups.group_to_probe(service, now):
                    admitted += admission.admit(1, ServiceLoad(), now)
                continue
            admitted += admission.admit(
                self._startable(service, now), self._load(service, now), now
            )
        return admitted

    def take_overdue(self, now: float) -> list[OpenDirectCall]:
        """Remove and return the queued requests that do not get a slot in time.

        While all groups are closed, the start of those that wait is their return.
        """
        return [
            opened
            for service, admission in self._admission_by_service.items()
            if len(admission)
            for opened in admission.pop_overdue(
                self._load(service, now), self._groups.min_wait_s(service, now), now
            )
        ]

    def retry_after_s(self, opened: OpenDirectCall, now: float) -> float:
        """Return the seconds after which a refused caller can expect a slot."""
        service = opened.service
        wait_s = self._admission_by_service[service].retry_after_s(
            opened.priority,
            self._load(service, now),
            self.runner_wait_s(service, now),
            now,
        )
        return self._groups.retry_after_s(opened, wait_s, now)

    def rejected_retry_after_s(self, opened: OpenDirectCall, now: float) -> float:
        """Return the seconds after which a rejected request may find a runner."""
        wait_s = max(self.runner_wait_s(opened.service, now), _RETRY_AFTER_S)
        if self.free_slots(opened.service, now) > 0:
            return wait_s
        return self._groups.retry_after_s(opened, wait_s, now)

    def on_sent(self, attempt: OpenAttempt, now: float) -> None:
        """Record an attempt that was sent to a runner."""
        attempt.opened.last_runner_id = attempt.runner_id
        self._placement.health(attempt.runner_id).running += 1
        self._statements.on_sent(attempt.runner, now)
        self._groups.on_sent(attempt, now)
        service = attempt.opened.service
        if attempt.opened.attempts.sends == 1 and self._spreads_starts(service):
            closed = self._groups.closed_names(now)
            self._group_pacing.allowance(service, closed, now).spend(now)

    def on_attempt_ended(self, attempt: OpenAttempt, now: float) -> None:
        """Record that an attempt at a runner has ended."""
        self._placement.health(attempt.runner_id).running -= 1
        admission = self._admission_by_service[attempt.opened.service]
        # A rank that rejects a stream releases its slot at once, which tells nothing of
        # how long streams hold theirs.
        streamed = attempt.opened.route.kind is RequestKind.STREAM
        if attempt.events_count or not (streamed and self._least_cost):
            admission.record_completion(now - attempt.sent_at, now)
        if attempt.events_count:
            self._group_pacing.record_stream(
                attempt.opened.service, now - attempt.sent_at
            )

    def on_takeover_rejected(self, runner_id: str, now: float) -> None:
        """Record that a runner has rejected a takeover, which has ended."""
        running = self._placement.running(runner_id)
        self._takeover_limits.on_rejected(runner_id, running, now)

    def on_progress(self, attempt: OpenAttempt, now: float) -> None:
        """Record that complete events of a stream arrived."""
        opened = attempt.opened
        self._groups.on_answer(attempt, now)
        # The time until a cut stream goes on in another group is no pause of that one.
        resumed = self._groups.active and attempt.sent_at > opened.last_event_at
        if not opened.last_event_at:
            health = self._placement.health(attempt.runner_id)
            first_s = now - attempt.sent_at
            health.record_success(first_s, now)
            self.pacing.record_first_event(opened.service, first_s)
        elif not resumed:
            pause_s = now - opened.last_event_at
            self.pacing.record_pause(opened.service, attempt.runner_id, pause_s, now)
        opened.last_event_at = now

    def on_answered(self, attempt: OpenAttempt, status: int, now: float) -> None:
        """Record a complete answer."""
        self._groups.on_completed(attempt, status, now)
        if attempt.opened.route.kind is RequestKind.STREAM:
            return
        health = self._placement.health(attempt.runner_id)
        if status >= _SERVER_ERROR:
            health.record_failure(now)
        else:
            health.record_success(now - attempt.sent_at, now)

    def on_failed(self, runner_id: str, now: float) -> None:
        """Record a failure of a runner."""
        if runner_id:
            self._placement.health(runner_id).record_failure(now)

    def remove_runner(self, runner_id: str) -> None:
        """Discard the state of a removed runner."""
        self._placement.evict_runner(runner_id)
        self._takeover_limits.evict_runner(runner_id)

    def admission_log_fields(
        self, opened: OpenDirectCall, now: float
    ) -> dict[str, object]:
        """Return the inputs of the admission decision as log fields."""
        service, priority = opened.service, opened.priority
        usable = self._runners.usable(service)
        load = self._load(service, now)
        admission = self._admission_by_service[service]
        entries, waiting_elsewhere = self._peer_load(service, now)
        return {
            "usable_runners": len(usable),
            "free_places": self.free_slots(service, now),
            "waiting": len(admission),
            "waiting_elsewhere": waiting_elsewhere,
            "entries_heard": entries,
            "expected_wait_s": round(admission.expected_wait_s(priority, load, now), 4),
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
            {
                **measured,
                "limit": self._limit(str(measured["service"]), now),
                "waiting": len(self._admission_by_service[str(measured["service"])]),
            }
            for measured in self.pacing.measure(
                now,
                self._capacity.open_share,
                partial(self._waiting, now=now),
                self._groups.closed_names(now),
            )
        ]

    def shared_pauses(self) -> tuple[GroupPauses, ...]:
        """Return the pauses by group that this entry has measured, for the others."""
        return self._group_pacing.shared_pauses()

    def group_loads(self) -> list[tuple[str, int, int]]:
        """Return the known groups, their limits and their running streams."""
        return self._group_pacing.loads()

    def _waiting(self, service: str, now: float) -> tuple[int, int]:
        """Return the requests that wait here, and at all entries."""
        own = len(self._admission_by_service[service])
        return own, own + self._peer_load(service, now)[1]

    def running(self, runner_id: str) -> int:
        """Return a runner's requests in flight, as last reported by all entries."""
        return self._placement.running(runner_id)

    def _limit(self, service: str, now: float) -> int:
        """Return the limit on requests in flight at the service's runners."""
        slots = self._capacity.slots(service, now)
        return min(self._max_load(service, slots, now), slots)

    def _max_load(self, service: str, slots: int, now: float) -> int:
        """Return the limit on requests in flight, also in evacuated zones.

        :param slots: slots of the runners that take requests.
        """
        if self._group_pacing.knows(service):
            return self._group_pacing.max_streams(
                service, self._groups.closed_names(now)
            )
        share = self._capacity.open_share(service, now)
        if share <= 0.0:
            return 0
        open_slots = slots + self._capacity.evacuated_slots(service, now)
        # The measured limit is that of all groups together.
        whole = self.pacing.max_streams(service, round(open_slots / share), now)
        return int(whole * share)

    def _peer_load(self, service: str, now: float) -> tuple[int, int]:
        """Return how many other entries are alive, and the requests that wait there."""
        alive = self._peers.alive(now)
        waiting = sum(each.waiting_by_service.get(service, 0) for each in alive)
        return len(alive), waiting

    def _load(self, service: str, now: float) -> ServiceLoad:
        # While all groups are closed none starts: the wait is until one returns.
        if self._spreads_starts(service) and not self._groups.min_wait_s(service, now):
            closed = self._groups.closed_names(now)
            allowance = self._group_pacing.allowance(service, closed, now)
            return ServiceLoad(start_wait_s=partial(allowance.wait_s, now=now))
        alive = self._peers.alive(now)
        waiting = sum(
            peer_update.waiting_by_service.get(service, 0) for peer_update in alive
        )
        if not self._least_cost:
            return ServiceLoad(len(alive), waiting)
        by_priority: Counter[int] = Counter()
        for peer_update in alive:
            for each in peer_update.waiting:
                if each.service == service:
                    by_priority[each.priority] += each.count
        if by_priority.total() < waiting:
            by_priority[_LOWEST_PRIORITY] += waiting - by_priority.total()
        running = self._capacity.load(service, now)  # closed groups free no slots
        return ServiceLoad(len(alive), waiting, by_priority, running)


class CallPicker:
    """Implements ``RunnerPicker`` for one request."""

    __slots__ = ("_scheduler", "_opened")

    def __init__(self, scheduler: ServiceScheduler, opened: OpenDirectCall) -> None:
        self._scheduler = scheduler
        self._opened = opened

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, or ``None``."""
        return self._scheduler.pick(self._opened, excluded, now)

    def pick_for_takeover(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a runner that may have a place for a takeover, or ``None``."""
        return self._scheduler.pick_for_takeover(self._opened, excluded, now)

    def spend_retry(self, now: float) -> bool:
        """Charge a retry to the service's budget; return false if it is exhausted."""
        return self._scheduler.spend_retry(self._opened, now)

    def retry_after_s(self, now: float) -> float:
        """Return the seconds after which another attempt may find a runner."""
        return self._scheduler.rejected_retry_after_s(self._opened, now)


__all__ = ["CallPicker", "ServiceScheduler"]
