"""Simulates callers, entries and lock-step groups of one site.

Callers and groups are modelled; admission, placement, limits and sampling are the
entries' production code.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from corianderrelay_entry.state.direct.admission_queue import AdmissionQueue, PeerLoad
from corianderrelay_entry.state.direct.entry_peers import PeerUpdate
from corianderrelay_entry.state.direct.pass_timing import PassTiming
from corianderrelay_entry.state.direct.popularity_sampler import PopularitySampler
from corianderrelay_entry.state.direct.rank_orders import ExpertSets
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner
from corianderrelay_entry.state.direct.runner_placement import RunnerPlacement
from corianderrelay_entry.state.direct.stream_limit import StreamLimit

from bench.group_model import (
    MEAN_PROMPT_TOKENS,
    PROMPT_LENGTH_VARIATION,
    GroupShape,
    ModelGroup,
    ModelPopularity,
    ModelStream,
    prompt_tokens,
)

FIRST_EVENT_TARGET_S = 0.5  # from arrival to first event, as at both users' sites
# An entry's periods; the reasons are given at the entry's own constants.
_LIMIT_PERIOD_S = 0.25
_DECISION_PERIOD_S = 0.05
_RETRY_MAX_WAIT_S = 0.1
_SAMPLE_SPAN_S = 0.3


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment.

    :param peer_update_period_s: time between two peer updates of an entry.
    :param pause_target_s: longest pause between two events that callers
        accept.
    :param mean_events: mean number of events of a stream.
    :param streams_per_s: streams that callers request per second.
    """

    shape: GroupShape
    entries: int
    peer_update_period_s: float
    pause_target_s: float
    mean_events: float
    streams_per_s: float


@dataclass(frozen=True, slots=True)
class Load:
    """A traffic pattern.

    :param factor: returns the multiplier of the site's usual request rate at a time.
    :param jump_interval_s: time between two jumps of expert popularity.
    :param prompt_length_variation: coefficient of variation of prompt lengths.
    :param retries_once: whether a refused caller retries once.
    """

    factor: Callable[[float], float]
    jump_interval_s: float = 3.6
    prompt_length_variation: float = PROMPT_LENGTH_VARIATION
    retries_once: bool = True


@dataclass(frozen=True, slots=True)
class Policy:
    """The decisions that are enabled.

    :param own_slots_first: whether an entry prefers the slots assigned to it.
    :param rebalances: whether expert maps are adapted to popularity.
    :param limits_by_pause: whether measured pauses limit the number of streams.
    """

    own_slots_first: bool = True
    rebalances: bool = True
    limits_by_pause: bool = True


@dataclass(slots=True)
class Outcome:
    """Outcomes of one simulation, over the streams that had time to end.

    :param in_time: share of streams whose first event and pauses met their targets.
    :param late: share of streams that were neither in time nor refused.
    :param refused: share of streams that were refused for good.
    :param first_p90_s: 90th percentile of the time from dispatch to first event, in
        seconds.
    :param pass_s: mean duration of a pass, in seconds.
    """

    in_time: float
    late: float
    refused: float
    first_p90_s: float
    pass_s: float


class _Entry:
    __slots__ = (
        "name",
        "admission",
        "pass_timing",
        "limit",
        "placement",
        "running",
        "sent_update",
    )

    def __init__(self, name: str, random: Random) -> None:
        self.name = name
        self.admission: AdmissionQueue[ModelStream] = AdmissionQueue()
        self.pass_timing = PassTiming()
        self.limit = StreamLimit()
        self.placement = RunnerPlacement(random)
        self.running = 0
        self.sent_update = PeerUpdate(name, 1, 0, "", "", 0, True)


class Simulation:
    """Simulates one site under one load with one policy."""

    def __init__(self, site: Site, load: Load, policy: Policy, seed: int) -> None:
        self._site, self._load, self._policy = site, load, policy
        self._random = Random(seed)
        shape = site.shape
        self._groups = [ModelGroup(shape) for _ in range(shape.groups)]
        self._popularity = ModelPopularity(shape, load.jump_interval_s, self._random)
        self._runners = [
            RegisteredRunner(f"{group}-{rank}", "s", "", 0, "", shape.slots_per_rank)
            for group in range(shape.groups)
            for rank in range(shape.ranks)
        ]
        self._entries = [
            _Entry(f"entry-{number:03}", self._random) for number in range(site.entries)
        ]
        self._assignment_by_stream: dict[ModelStream, tuple[_Entry, str]] = {}
        self._streams: list[ModelStream] = []
        self._pass_durations_s: list[float] = []
        self._popularity_sampler = PopularitySampler()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()

    def run(self, length_s: float) -> Outcome:
        """Run the simulation and return the outcome of its streams."""
        for number, entry in enumerate(self._entries):
            first_s = self._site.peer_update_period_s * number / len(self._entries)
            self._schedule(first_s, partial(self._send_peer_update, entry))
        for group in self._groups:
            self._schedule(0.0, partial(self._run_pass, group))
        self._schedule(0.0, self._arrive)
        self._schedule(_DECISION_PERIOD_S, self._make_periodic_decisions)
        self._schedule(_LIMIT_PERIOD_S, self._update_limits)
        while self._events and self._events[0][0] < length_s:
            now, _, callback = heapq.heappop(self._events)
            callback(now)
        return self._compute_outcome(length_s)

    def _schedule(self, due_at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (due_at, next(self._sequence), callback))

    def _arrive(self, now: float) -> None:
        rate = self._site.streams_per_s * self._load.factor(now)
        self._schedule(now + self._random.expovariate(rate), self._arrive)
        events = 1 + round(self._random.uniform(0.2, 1.8) * self._site.mean_events)
        length_variation = self._load.prompt_length_variation
        prompt = prompt_tokens(MEAN_PROMPT_TOKENS, length_variation, self._random)
        stream = ModelStream(now, prompt, events)
        self._streams.append(stream)
        self._submit(stream, now)

    def _submit(self, stream: ModelStream, now: float) -> None:
        entry = self._random.choice(self._entries)
        peer_load = self._peer_load(entry)
        if self._free_slots(entry, now) > len(entry.admission) + peer_load.waiting:
            self._dispatch(entry, stream, now)
            return
        queue_deadline_s = (
            stream.arrived_at + FIRST_EVENT_TARGET_S - entry.pass_timing.first_event_s
        )
        if stream.retried:
            queue_deadline_s = now + _RETRY_MAX_WAIT_S
        if not entry.admission.enqueue(
            stream,
            returned=stream.retried,
            priority=1,
            queue_deadline_s=queue_deadline_s,
            peer_load=peer_load,
            now=now,
        ):
            self._on_refused(entry, stream, now)

    def _on_refused(self, entry: _Entry, stream: ModelStream, now: float) -> None:
        if stream.retried or not self._load.retries_once:
            stream.refused = True
            return
        stream.retried = True
        retry_delay_s = entry.admission.retry_after_s(self._peer_load(entry))
        self._schedule(now + retry_delay_s, partial(self._submit, stream))

    def _dispatch(self, entry: _Entry, stream: ModelStream, now: float) -> None:
        if self._policy.own_slots_first:
            peer_names = [other.name for other in self._entries if other is not entry]
            entry.placement.divide_slots(entry.name, peer_names, self._runners)
        runner_id = entry.placement.pick(self._runners, True, now)
        assert (
            runner_id is not None
        ), "no usable runner, although all modelled runners are usable"
        entry.placement.health(runner_id).running += 1
        entry.running += 1
        stream.dispatched_at = now
        self._assignment_by_stream[stream] = (entry, runner_id)
        group, rank = map(int, runner_id.split("-"))
        self._groups[group].add_stream(rank, stream)

    def _run_pass(self, group: ModelGroup, now: float) -> None:
        popularity = self._popularity.shares_at(now)
        for stream in group.run_pass(popularity, now):
            entry, runner_id = self._assignment_by_stream[stream]
            if stream.first_event_at == stream.last_event_at:
                entry.pass_timing.record_first_event(
                    group.pass_ends_at - stream.dispatched_at
                )
            else:
                entry.pass_timing.record_pause(group.pass_ends_at - now, now)
            if not stream.events_left:
                entry.placement.health(runner_id).running -= 1
                entry.running -= 1
                entry.admission.record_completion(now)
        self._pass_durations_s.append(group.pass_ends_at - now)
        self._schedule(group.pass_ends_at, partial(self._run_pass, group))

    def _send_peer_update(self, entry: _Entry, now: float) -> None:
        waiting = {"s": len(entry.admission)}
        running = entry.placement.own_running()
        entry.sent_update = PeerUpdate(
            entry.name, 1, 0, "", "", 0, True, running, waiting
        )
        for other in self._entries:
            updates = [each.sent_update for each in self._entries if each is not other]
            if other is not entry:
                other.placement.set_peer_updates(updates)
        self._schedule(
            now + self._site.peer_update_period_s,
            partial(self._send_peer_update, entry),
        )

    def _make_periodic_decisions(self, now: float) -> None:
        for entry in self._entries:
            for stream in entry.admission.pop_overdue(now):
                self._on_refused(entry, stream, now)
            free, peer_load = self._free_slots(entry, now), self._peer_load(entry)
            for stream in entry.admission.admit(free, peer_load, self._random):
                self._dispatch(entry, stream, now)
        if self._policy.rebalances:
            self._plan_if_popularity_changed(now)
        self._schedule(now + _DECISION_PERIOD_S, self._make_periodic_decisions)

    def _plan_if_popularity_changed(self, now: float) -> None:
        entry = self._entries[0]
        running = self._total_running(entry)
        pause_s = entry.pass_timing.recent_median_s(now)
        cost_s = max(pause_s - self._site.shape.base_pass_s, 0.0) / max(running, 1)
        if self._popularity_sampler.needs_sample(cost_s, now):
            self._popularity_sampler.on_map_planned(now)
            self._schedule(now + _SAMPLE_SPAN_S, self._plan_maps)

    def _plan_maps(self, now: float) -> None:
        for group in self._groups:
            planned = self._popularity.plan(group.expert_map)
            switch = partial(self._activate_map, group, planned)
            self._schedule(now + self._site.shape.switch_s, switch)

    def _activate_map(
        self, group: ModelGroup, planned: tuple[ExpertSets, ...], _now: float
    ) -> None:
        group.expert_map = planned
        self._popularity_sampler.on_map_changed()

    def _update_limits(self, now: float) -> None:
        for entry in self._entries:
            pause_s = entry.pass_timing.quantile_s(0.9, now)
            running = self._total_running(entry)
            entry.limit.add_measurement(
                pause_s, running, self._site.shape.base_pass_s, now
            )
        self._schedule(now + _LIMIT_PERIOD_S, self._update_limits)

    def _total_running(self, entry: _Entry) -> int:
        running_at_peers = (
            sum(other.sent_update.running_by_runner.values())
            for other in self._entries
            if other is not entry
        )
        return entry.running + sum(running_at_peers)

    def _free_slots(self, entry: _Entry, now: float) -> int:
        shape = self._site.shape
        ranks = shape.ranks * shape.groups
        limit = ranks * shape.slots_per_rank
        if self._policy.limits_by_pause:
            limit = entry.limit.max_streams(
                self._site.pause_target_s, shape.base_pass_s, limit, ranks, now
            )
        return limit - self._total_running(entry)

    def _peer_load(self, entry: _Entry) -> PeerLoad:
        others = [each for each in self._entries if each is not entry]
        waiting = sum(
            each.sent_update.waiting_by_service.get("s", 0) for each in others
        )
        return PeerLoad(len(others), waiting)

    def _compute_outcome(self, length_s: float) -> Outcome:
        # Streams that arrived in the last 6 s may not have had time to end.
        counted = [each for each in self._streams if each.arrived_at < length_s - 6.0]
        ended = [
            each
            for each in counted
            if not each.events_left and each.first_event_at is not None
        ]
        in_time = [
            each
            for each in ended
            if (each.first_event_at or math.inf) - each.arrived_at
            <= FIRST_EVENT_TARGET_S
            and each.max_pause_s <= self._site.pause_target_s
        ]
        refused = sum(each.refused for each in counted)
        first_event_delays_s = sorted(
            (each.first_event_at or 0.0) - each.dispatched_at for each in ended
        )
        total = max(len(counted), 1)
        return Outcome(
            in_time=len(in_time) / total,
            late=(total - refused - len(in_time)) / total,
            refused=refused / total,
            first_p90_s=(
                first_event_delays_s[int(0.9 * len(first_event_delays_s))]
                if first_event_delays_s
                else math.inf
            ),
            pass_s=sum(self._pass_durations_s) / max(len(self._pass_durations_s), 1),
        )


__all__ = ["Load", "Outcome", "Simulation", "Policy", "Site"]
