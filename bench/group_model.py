"""A discrete model of lock-step groups, fast enough to simulate thousands of decisions.

All ranks of a group begin each pass together. The duration of a pass is the sum of its
fixed step times, the local work of the slowest rank (prefill and part of decode) and
the work at experts, which grows with the skew of expert load across ranks. Popularity
of experts changes abruptly every few seconds.

Attention over long contexts, memory and the network are not modelled, because no
decision under test depends on them.
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

MEAN_PROMPT_TOKENS = 780.0  # mean over all kinds of streams of both users
PROMPT_LENGTH_VARIATION = 0.9  # coefficient of variation, same streams
_MEASURED_SHARE_NOISE = 0.15  # relative error of counts that a few ranks report


@dataclass(frozen=True, slots=True)
class GroupShape:
    """Sizes and times of a service's groups, in seconds and tokens.

    :param slots_per_rank: streams that a rank runs at once.
    :param step_s: fixed duration of a step, without the work for streams.
    :param decode_s: time that one decoding stream adds to a step of its rank.
    :param expert_decode_share: share of the decode work that is done at experts.
    :param prefill_chunk_tokens: most prompt tokens that a rank prefills in a step.
    :param expert_sets: number of sets of experts, each with its own placement.
    :param expert_slots_per_rank: experts of one set that a rank holds.
    :param new_experts_per_set: experts of one set that a rank may copy for one map.
    :param copies_per_map: experts of all sets that a rank may copy for one map.
    :param zipf_exponent: exponent of the Zipf distribution of expert popularity.
    """

    groups: int
    ranks: int
    slots_per_rank: int
    step_s: float
    steps_per_pass: int
    decode_s: float
    expert_decode_share: float
    prompt_tokens_per_s: float
    prefill_chunk_tokens: int
    expert_sets: int
    experts: int
    expert_slots_per_rank: int
    new_experts_per_set: int
    copies_per_map: int
    copy_s: float
    report_lag_s: float
    zipf_exponent: float

    @property
    def base_pass_s(self) -> float:
        """Duration of a pass without streams."""
        return self.step_s * self.steps_per_pass

    @property
    def switch_s(self) -> float:
        """Time from a plan until its map is active."""
        return self.copies_per_map * self.copy_s + 2 * self.report_lag_s


class ModelStream:
    """State and timing of one stream.

    :param arrived_at: time of the caller's first request.
    """

    __slots__ = (
        "arrived_at",
        "dispatched_at",
        "first_event_at",
        "last_event_at",
        "prompt_tokens_left",
        "events_left",
        "max_pause_s",
        "retried",
        "refused",
    )

    def __init__(self, arrived_at: float, prompt: int, events: int) -> None:
        self.arrived_at = arrived_at
        self.dispatched_at = 0.0
        self.first_event_at: float | None = None
        self.last_event_at = 0.0
        self.prompt_tokens_left = prompt
        self.events_left = events
        self.max_pause_s = 0.0
        self.retried = False
        self.refused = False

    def on_event(self, now: float) -> None:
        """Record an event of the stream."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.max_pause_s = max(self.max_pause_s, now - self.last_event_at)
        self.last_event_at = now
        self.events_left -= 1


class ModelGroup:
    """The ranks of one group, which run one pass after another in lock-step."""

    __slots__ = ("shape", "expert_map", "running", "queues", "pass_ends_at")

    def __init__(self, shape: GroupShape) -> None:
        self.shape = shape
        self.expert_map = round_robin_map(shape.ranks, shape.experts, shape.expert_sets)
        self.running: list[list[ModelStream]] = [[] for _ in range(shape.ranks)]
        self.queues: list[list[ModelStream]] = [[] for _ in range(shape.ranks)]
        self.pass_ends_at = 0.0

    def add_stream(self, rank: int, stream: ModelStream) -> None:
        """Add a stream to a rank, which queues it while all slots are in use."""
        full = len(self.running[rank]) >= self.shape.slots_per_rank
        (self.queues if full else self.running)[rank].append(stream)

    def run_pass(self, popularity: list[list[float]], now: float) -> list[ModelStream]:
        """Run the pass that begins now and return the streams that had an event."""
        shape = self.shape
        local_work_s = [self._local_work_s(streams) for streams in self.running]
        decoding = [
            stream
            for streams in self.running
            for stream in streams
            if not stream.prompt_tokens_left
        ]
        expert_decode_s = (
            shape.expert_decode_share * shape.decode_s * shape.steps_per_pass
        )
        skew = pass_skew(popularity, self.expert_map, [1.0] * shape.ranks)
        expert_work_s = expert_decode_s * len(decoding) / shape.ranks * skew
        self.pass_ends_at = now + shape.base_pass_s + max(local_work_s) + expert_work_s
        for streams in self.running:
            self._prefill(streams)
        for stream in decoding:
            stream.on_event(self.pass_ends_at)
        self._remove_ended_streams()
        return decoding

    def _local_work_s(self, streams: list[ModelStream]) -> float:
        shape = self.shape
        prompt_tokens_left = sum(stream.prompt_tokens_left for stream in streams)
        prefilled = min(
            prompt_tokens_left, shape.prefill_chunk_tokens * shape.steps_per_pass
        )
        decoding = sum(not stream.prompt_tokens_left for stream in streams)
        local_share = 1.0 - shape.expert_decode_share
        decode_s = local_share * shape.decode_s * shape.steps_per_pass * decoding
        return decode_s + prefilled / shape.prompt_tokens_per_s

    def _prefill(self, streams: list[ModelStream]) -> None:
        budget = self.shape.prefill_chunk_tokens * self.shape.steps_per_pass
        for stream in streams:
            prefilled = min(stream.prompt_tokens_left, budget)
            stream.prompt_tokens_left -= prefilled
            budget -= prefilled

    def _remove_ended_streams(self) -> None:
        for rank, streams in enumerate(self.running):
            streams[:] = [stream for stream in streams if stream.events_left]
            queue = self.queues[rank]
            while queue and len(streams) < self.shape.slots_per_rank:
                streams.append(queue.pop(0))


class ModelPopularity:
    """Popularity of experts, which is redrawn at random at each jump.

    :param jump_interval_s: time between two jumps; infinite for constant popularity.
    """

    __slots__ = ("_shape", "_random", "_jump_interval_s", "_next_jump_at", "shares")

    def __init__(
        self, shape: GroupShape, jump_interval_s: float, random: Random
    ) -> None:
        self._shape = shape
        self._random = random
        self._jump_interval_s = jump_interval_s
        self._next_jump_at = jump_interval_s
        self.shares = self._draw_shares()

    def shares_at(self, now: float) -> list[list[float]]:
        """Return the share of each expert, by set, after any jump that is due."""
        if now >= self._next_jump_at:
            self._next_jump_at += self._jump_interval_s
            self.shares = self._draw_shares()
        return self.shares

    def plan(self, current_map: tuple[ExpertSets, ...]) -> tuple[ExpertSets, ...]:
        """Return a map planned from a noisy measurement of the current popularity."""
        shape = self._shape
        measured_shares = [
            [
                share * max(self._random.gauss(1.0, _MEASURED_SHARE_NOISE), 0.0)
                for share in shares
            ]
            for shares in self.shares
        ]
        return plan_replicas(
            measured_shares,
            round_robin_map(shape.ranks, shape.experts, shape.expert_sets),
            current_map,
            [1.0] * shape.ranks,
            ReplicaLimits(
                shape.expert_slots_per_rank,
                shape.new_experts_per_set,
                shape.copies_per_map,
            ),
        )

    def _draw_shares(self) -> list[list[float]]:
        shares = [
            (n + 1) ** -self._shape.zipf_exponent for n in range(self._shape.experts)
        ]
        return [
            self._random.sample(shares, len(shares))
            for _ in range(self._shape.expert_sets)
        ]


def prompt_tokens(mean: float, variation: float, random: Random) -> int:
    """Draw the length of a prompt from a lognormal distribution.

    :param variation: coefficient of variation: standard deviation divided by mean.
    """
    sigma = math.sqrt(math.log(1.0 + variation * variation))
    return max(round(random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)), 1)


def median_pass_s(
    shape: GroupShape, streams: int, events: float, passes: int, random: Random
) -> float:
    """Return the median duration of a pass with a constant number of streams.

    :param events: mean number of events of a stream.
    """
    group = ModelGroup(shape)
    popularity = ModelPopularity(shape, math.inf, random)
    now = 0.0
    passes_s = []
    for _ in range(passes):
        for _ in range(streams - sum(map(len, group.running))):
            rank = min(range(shape.ranks), key=lambda each: len(group.running[each]))
            prompt = prompt_tokens(MEAN_PROMPT_TOKENS, PROMPT_LENGTH_VARIATION, random)
            events_left = 1 + round(random.uniform(0.2, 1.8) * events)
            group.add_stream(rank, ModelStream(now, prompt, events_left))
        group.run_pass(popularity.shares_at(now), now)
        passes_s.append(group.pass_ends_at - now)
        now = group.pass_ends_at
    return statistics.median(passes_s[passes // 2 :])


__all__ = [
    "GroupShape",
    "ModelGroup",
    "ModelPopularity",
    "ModelStream",
    "PROMPT_LENGTH_VARIATION",
    "MEAN_PROMPT_TOKENS",
    "prompt_tokens",
    "median_pass_s",
]
