"""One play of the model: callers, entries with their real decisions, and groups."""

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

from bench.served_model import (
    USUAL_PROMPT_SPREAD,
    USUAL_PROMPT_TOKENS,
    GroupShape,
    ModelGroup,
    ModelPopularity,
    ModelStream,
    prompt_tokens,
)

FIRST_AIM_S = 0.5  # to the first event, as on both users' sites
# The periods of an entry; see its own constants for why.
_MEASURE_S = 0.25
_TICK_S = 0.05
_RETURNED_WAIT_S = 0.1
_SPAN_S = 0.3


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment.

    :param news_s: time between two messages of an entry to the others.
    :param aim_s: longest pause between two events that callers accept.
    :param events: mean number of events of a stream.
    :param per_s: streams that callers ask for in a second.
    """

    shape: GroupShape
    entries: int
    news_s: float
    aim_s: float
    events: float
    per_s: float


@dataclass(frozen=True, slots=True)
class Load:
    """A traffic pattern.

    :param factor: by time, what the site's usual rate is multiplied by.
    :param jump_every_s: time between two jumps of popularity.
    :param prompt_spread: standard deviation of a prompt's length over its mean.
    :param returns: whether a refused caller asks once more.
    """

    factor: Callable[[float], float]
    jump_every_s: float = 3.6
    prompt_spread: float = USUAL_PROMPT_SPREAD
    returns: bool = True


@dataclass(frozen=True, slots=True)
class Policy:
    """Which decisions are taken.

    :param own_places: whether entries go to places of their own first.
    :param follows: whether maps follow popularity.
    :param limits: whether streams are limited by the pauses that are seen.
    """

    own_places: bool = True
    follows: bool = True
    limits: bool = True


@dataclass(slots=True)
class Outcome:
    """How the streams of one play fared, as shares of all."""

    in_time: float
    late: float
    refused: float
    first_p90_s: float
    pass_s: float


class _Entry:
    __slots__ = ("name", "admission", "pace", "limit", "placement", "running", "told")

    def __init__(self, name: str, random: Random) -> None:
        self.name = name
        self.admission: AdmissionQueue[ModelStream] = AdmissionQueue()
        self.pace = PassTiming()
        self.limit = StreamLimit()
        self.placement = RunnerPlacement(random)
        self.running = 0
        self.told = PeerUpdate(name, 1, 0, "", "", 0, True)


class Play:
    """Plays one pattern for a while."""

    def __init__(self, site: Site, load: Load, policy: Policy, seed: int) -> None:
        self._site, self._load, self._policy = site, load, policy
        self._random = Random(seed)
        shape = site.shape
        self._groups = [ModelGroup(shape) for _ in range(shape.groups)]
        self._popularity = ModelPopularity(shape, load.jump_every_s, self._random)
        self._runners = [
            RegisteredRunner(f"{group}-{rank}", "s", "", 0, "", shape.places)
            for group in range(shape.groups)
            for rank in range(shape.ranks)
        ]
        self._entries = [
            _Entry(f"entry-{number:03}", self._random) for number in range(site.entries)
        ]
        self._entry_of: dict[ModelStream, tuple[_Entry, str]] = {}
        self._streams: list[ModelStream] = []
        self._passes_s: list[float] = []
        self._readings = PopularitySampler()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = itertools.count()

    def run(self, length_s: float) -> Outcome:
        """Play and return how the streams fared."""
        for number, entry in enumerate(self._entries):
            first_s = self._site.news_s * number / len(self._entries)
            self._at(first_s, partial(self._tell, entry))
        for group in self._groups:
            self._at(0.0, partial(self._pass, group))
        self._at(0.0, self._arrive)
        self._at(_TICK_S, self._tick)
        self._at(_MEASURE_S, self._measure)
        while self._events and self._events[0][0] < length_s:
            now, _, act = heapq.heappop(self._events)
            act(now)
        return self._outcome(length_s)

    def _at(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._count), act))

    def _arrive(self, now: float) -> None:
        rate = self._site.per_s * self._load.factor(now)
        self._at(now + self._random.expovariate(rate), self._arrive)
        events = 1 + round(self._random.uniform(0.2, 1.8) * self._site.events)
        spread = self._load.prompt_spread
        prompt = prompt_tokens(USUAL_PROMPT_TOKENS, spread, self._random)
        stream = ModelStream(now, prompt, events)
        self._streams.append(stream)
        self._ask(stream, now)

    def _ask(self, stream: ModelStream, now: float) -> None:
        entry = self._random.choice(self._entries)
        peer_load = self._elsewhere(entry)
        if self._free(entry, now) > len(entry.admission) + peer_load.waiting:
            self._send(entry, stream, now)
            return
        queue_deadline_s = stream.arrived + FIRST_AIM_S - entry.pace.first_event_s
        if stream.returned:
            queue_deadline_s = now + _RETURNED_WAIT_S
        if not entry.admission.enqueue(
            stream,
            returned=stream.returned,
            priority=1,
            queue_deadline_s=queue_deadline_s,
            peer_load=peer_load,
            now=now,
        ):
            self._refuse(entry, stream, now)

    def _refuse(self, entry: _Entry, stream: ModelStream, now: float) -> None:
        if stream.returned or not self._load.returns:
            stream.refused = True
            return
        stream.returned = True
        again_s = entry.admission.retry_after_s(self._elsewhere(entry))
        self._at(now + again_s, partial(self._ask, stream))

    def _send(self, entry: _Entry, stream: ModelStream, now: float) -> None:
        if self._policy.own_places:
            zones = [other.name for other in self._entries if other is not entry]
            entry.placement.divide_slots(entry.name, zones, self._runners)
        runner_id = entry.placement.pick(self._runners, True, now)
        assert runner_id is not None, "the model's runners are all usable"
        entry.placement.health(runner_id).running += 1
        entry.running += 1
        stream.sent = now
        self._entry_of[stream] = (entry, runner_id)
        group, rank = map(int, runner_id.split("-"))
        self._groups[group].add(rank, stream)

    def _pass(self, group: ModelGroup, now: float) -> None:
        popularity = self._popularity.at(now)
        for stream in group.make_pass(popularity, now):
            entry, runner_id = self._entry_of[stream]
            if stream.first == stream.last:
                entry.pace.record_first_event(group.pass_ends - stream.sent)
            else:
                entry.pace.record_pause(group.pass_ends - now, now)
            if not stream.left:
                entry.placement.health(runner_id).running -= 1
                entry.running -= 1
                entry.admission.record_completion(now)
        self._passes_s.append(group.pass_ends - now)
        self._at(group.pass_ends, partial(self._pass, group))

    def _tell(self, entry: _Entry, now: float) -> None:
        waiting = {"s": len(entry.admission)}
        running = entry.placement.own_running()
        entry.told = PeerUpdate(entry.name, 1, 0, "", "", 0, True, running, waiting)
        for other in self._entries:
            news = [each.told for each in self._entries if each is not other]
            if other is not entry:
                other.placement.set_peer_updates(news)
        self._at(now + self._site.news_s, partial(self._tell, entry))

    def _tick(self, now: float) -> None:
        for entry in self._entries:
            for stream in entry.admission.pop_overdue(now):
                self._refuse(entry, stream, now)
            free, peer_load = self._free(entry, now), self._elsewhere(entry)
            for stream in entry.admission.admit(free, peer_load, self._random):
                self._send(entry, stream, now)
        if self._policy.follows:
            self._follow(now)
        self._at(now + _TICK_S, self._tick)

    def _follow(self, now: float) -> None:
        entry = self._entries[0]
        running = self._running(entry)
        pause_s = entry.pace.recent_median_s(now)
        cost_s = max(pause_s - self._site.shape.fixed_s, 0.0) / max(running, 1)
        if self._readings.needs_sample(cost_s, now):
            self._readings.on_map_planned(now)
            self._at(now + _SPAN_S, self._plan)

    def _plan(self, now: float) -> None:
        for group in self._groups:
            planned = self._popularity.plan(group.map)
            switch = partial(self._switch, group, planned)
            self._at(now + self._site.shape.switch_s, switch)

    def _switch(
        self, group: ModelGroup, planned: tuple[ExpertSets, ...], _now: float
    ) -> None:
        group.map = planned
        self._readings.on_map_changed()

    def _measure(self, now: float) -> None:
        for entry in self._entries:
            pause_s = entry.pace.quantile_s(0.9, now)
            running = self._running(entry)
            entry.limit.add_measurement(pause_s, running, self._site.shape.fixed_s, now)
        self._at(now + _MEASURE_S, self._measure)

    def _running(self, entry: _Entry) -> int:
        heard = (
            sum(other.told.running_by_runner.values())
            for other in self._entries
            if other is not entry
        )
        return entry.running + sum(heard)

    def _free(self, entry: _Entry, now: float) -> int:
        shape = self._site.shape
        ranks = shape.ranks * shape.groups
        limit = ranks * shape.places
        if self._policy.limits:
            limit = entry.limit.max_streams(
                self._site.aim_s, shape.fixed_s, limit, ranks, now
            )
        return limit - self._running(entry)

    def _elsewhere(self, entry: _Entry) -> PeerLoad:
        others = [each for each in self._entries if each is not entry]
        waiting = sum(each.told.waiting_by_service.get("s", 0) for each in others)
        return PeerLoad(len(others), waiting)

    def _outcome(self, length_s: float) -> Outcome:
        # Streams of the last seconds have not had the time to end.
        judged = [each for each in self._streams if each.arrived < length_s - 6.0]
        ended = [each for each in judged if not each.left and each.first is not None]
        in_time = [
            each
            for each in ended
            if (each.first or math.inf) - each.arrived <= FIRST_AIM_S
            and each.worst_pause_s <= self._site.aim_s
        ]
        refused = sum(each.refused for each in judged)
        firsts = sorted((each.first or 0.0) - each.sent for each in ended)
        total = max(len(judged), 1)
        return Outcome(
            in_time=len(in_time) / total,
            late=(total - refused - len(in_time)) / total,
            refused=refused / total,
            first_p90_s=firsts[int(0.9 * len(firsts))] if firsts else math.inf,
            pass_s=sum(self._passes_s) / max(len(self._passes_s), 1),
        )


__all__ = ["Load", "Outcome", "Play", "Policy", "Site"]
