"""A discrete model of lock-step groups, to try decisions on by the thousand.

Ranks of a group begin each pass together. A pass lasts as long as its steps, the
slowest rank's own work (prompts that it reads, its part of writing) and the work at
experts, which grows with how unevenly the ranks hold what is popular. Popularity jumps
every few seconds.

It leaves out what no decision here rests on: attention over long contexts, memory, and
the network.
"""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

from corianderrelay_entry.state.direct.group_coordinator import round_robin_map
from corianderrelay_entry.state.direct.replica_plan import (
    ReplicaLimits,
    pass_skew,
    plan_replicas,
)

if TYPE_CHECKING:
    from random import Random

    from corianderrelay_entry.state.direct.rank_orders import ExpertSets

USUAL_PROMPT_TOKENS = 780.0  # mean over the kinds of streams of both users
USUAL_PROMPT_SPREAD = 0.9  # standard deviation over the mean, of the same
_READING_NOISE = 0.15  # of counts that a few ranks give, against the true popularity


@dataclass(frozen=True, slots=True)
class GroupShape:
    """Sizes and times of a service's groups, in seconds and tokens.

    :param places: streams that a rank takes at once.
    :param writing_s: what a stream adds to one step of its rank.
    :param expert_share: part of the writing that is done at experts.
    :param chunk: prompt tokens that a rank reads in a step at most.
    :param expert_places: experts of a set that a rank holds.
    :param copies: experts that a rank copies for one map.
    :param zipf: exponent of the popularity of experts.
    """

    groups: int
    ranks: int
    places: int
    step_s: float
    steps_per_pass: int
    writing_s: float
    expert_share: float
    prompt_tokens_per_s: float
    chunk: int
    sets: int
    experts: int
    expert_places: int
    new_in_set: int
    copies: int
    copy_s: float
    report_lag_s: float
    zipf: float

    @property
    def fixed_s(self) -> float:
        """The time of a pass without streams."""
        return self.step_s * self.steps_per_pass

    @property
    def switch_s(self) -> float:
        """The time from a plan to the pass that uses it."""
        return self.copies * self.copy_s + 2 * self.report_lag_s


class ModelStream:
    """One stream and how it fared.

    :param arrived: when its caller first asked.
    """

    __slots__ = (
        "arrived",
        "sent",
        "first",
        "last",
        "unread",
        "left",
        "worst_pause_s",
        "returned",
        "refused",
    )

    def __init__(self, arrived: float, prompt: int, events: int) -> None:
        self.arrived = arrived
        self.sent = 0.0
        self.first: float | None = None
        self.last = 0.0
        self.unread = prompt
        self.left = events
        self.worst_pause_s = 0.0
        self.returned = False
        self.refused = False

    def event(self, now: float) -> None:
        """Take an event."""
        if self.first is None:
            self.first = now
        else:
            self.worst_pause_s = max(self.worst_pause_s, now - self.last)
        self.last = now
        self.left -= 1


class ModelGroup:
    """The ranks of one group; passes are made one after the other."""

    __slots__ = ("shape", "map", "running", "queues", "pass_ends")

    def __init__(self, shape: GroupShape) -> None:
        self.shape = shape
        self.map = round_robin_map(shape.ranks, shape.experts, shape.sets)
        self.running: list[list[ModelStream]] = [[] for _ in range(shape.ranks)]
        self.queues: list[list[ModelStream]] = [[] for _ in range(shape.ranks)]
        self.pass_ends = 0.0

    def add(self, rank: int, stream: ModelStream) -> None:
        """Give a stream to a rank, which keeps it waiting while it is full."""
        full = len(self.running[rank]) >= self.shape.places
        (self.queues if full else self.running)[rank].append(stream)

    def make_pass(self, popularity: list[list[float]], now: float) -> list[ModelStream]:
        """Make the pass that begins now; return the streams that had an event."""
        shape = self.shape
        own_s = [self._own_s(streams) for streams in self.running]
        writers = [
            stream
            for streams in self.running
            for stream in streams
            if not stream.unread
        ]
        at_experts_s = shape.expert_share * shape.writing_s * shape.steps_per_pass
        skew = pass_skew(popularity, self.map, [1.0] * shape.ranks)
        spread_s = at_experts_s * len(writers) / shape.ranks * skew
        self.pass_ends = now + shape.fixed_s + max(own_s) + spread_s
        for streams in self.running:
            self._read(streams)
        for stream in writers:
            stream.event(self.pass_ends)
        self._end_streams()
        return writers

    def _own_s(self, streams: list[ModelStream]) -> float:
        shape = self.shape
        unread = sum(stream.unread for stream in streams)
        read = min(unread, shape.chunk * shape.steps_per_pass)
        writers = sum(not stream.unread for stream in streams)
        own_share = 1.0 - shape.expert_share
        writing_s = own_share * shape.writing_s * shape.steps_per_pass * writers
        return writing_s + read / shape.prompt_tokens_per_s

    def _read(self, streams: list[ModelStream]) -> None:
        budget = self.shape.chunk * self.shape.steps_per_pass
        for stream in streams:
            read = min(stream.unread, budget)
            stream.unread -= read
            budget -= read

    def _end_streams(self) -> None:
        for rank, streams in enumerate(self.running):
            streams[:] = [stream for stream in streams if stream.left]
            queue = self.queues[rank]
            while queue and len(streams) < self.shape.places:
                streams.append(queue.pop(0))


class ModelPopularity:
    """What callers ask about; experts that are chosen for it change in jumps.

    :param every_s: time between two jumps; infinite if there are none.
    """

    __slots__ = ("_shape", "_random", "_every_s", "_next_at", "shares")

    def __init__(self, shape: GroupShape, every_s: float, random: Random) -> None:
        self._shape = shape
        self._random = random
        self._every_s = every_s
        self._next_at = every_s
        self.shares = self._draw()

    def at(self, now: float) -> list[list[float]]:
        """Return the share of each expert, by set."""
        if now >= self._next_at:
            self._next_at += self._every_s
            self.shares = self._draw()
        return self.shares

    def plan(self, in_use: tuple[ExpertSets, ...]) -> tuple[ExpertSets, ...]:
        """Return a map for what a reading of counts gives."""
        shape = self._shape
        read = [
            [
                share * max(self._random.gauss(1.0, _READING_NOISE), 0.0)
                for share in shares
            ]
            for shares in self.shares
        ]
        return plan_replicas(
            read,
            round_robin_map(shape.ranks, shape.experts, shape.sets),
            in_use,
            [1.0] * shape.ranks,
            ReplicaLimits(shape.expert_places, shape.new_in_set, shape.copies),
        )

    def _draw(self) -> list[list[float]]:
        shares = [(n + 1) ** -self._shape.zipf for n in range(self._shape.experts)]
        return [
            self._random.sample(shares, len(shares)) for _ in range(self._shape.sets)
        ]


def prompt_tokens(mean: float, spread: float, random: Random) -> int:
    """Draw the length of a prompt from a lognormal distribution.

    :param spread: standard deviation over the mean.
    """
    sigma = math.sqrt(math.log(1.0 + spread * spread))
    return max(round(random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)), 1)


def steady_pass_s(
    shape: GroupShape, streams: int, events: float, passes: int, random: Random
) -> float:
    """Return the median pass of a group that always has so many streams.

    :param events: mean number of events of a stream.
    """
    group = ModelGroup(shape)
    popularity = ModelPopularity(shape, math.inf, random)
    now = 0.0
    taken_s = []
    for _ in range(passes):
        for _ in range(streams - sum(map(len, group.running))):
            rank = min(range(shape.ranks), key=lambda each: len(group.running[each]))
            prompt = prompt_tokens(USUAL_PROMPT_TOKENS, USUAL_PROMPT_SPREAD, random)
            left = 1 + round(random.uniform(0.2, 1.8) * events)
            group.add(rank, ModelStream(now, prompt, left))
        group.make_pass(popularity.at(now), now)
        taken_s.append(group.pass_ends - now)
        now = group.pass_ends
    return statistics.median(taken_s[passes // 2 :])


__all__ = [
    "GroupShape",
    "ModelGroup",
    "ModelPopularity",
    "ModelStream",
    "USUAL_PROMPT_SPREAD",
    "USUAL_PROMPT_TOKENS",
    "prompt_tokens",
    "steady_pass_s",
]
