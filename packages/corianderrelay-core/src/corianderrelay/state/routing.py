"""Picks the runner of an attempt, weighing prefix cache affinity against load.

The score of a candidate is its expected time to first token in seconds plus penalties.
The expected time covers the estimated queue and the tokens to compute (fewer if the
prompt's prefix is cached), multiplied by the runner's recent slowdown. Penalties are
for cache entries that a new prefix evicts, for overdue attempts, for failures and for
another zone. Candidates are the first runners in the rendezvous order of the prefix and
one random runner. Runners that are far slower than expected, or than most others, are
excluded.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from xxhash import xxh3_64_digest

from .rendezvous import rank_by_rendezvous
from .runner_load import LoadReport, RunnerLoad

if TYPE_CHECKING:
    from collections.abc import Container, Sequence
    from random import Random

_PREFIX_BYTES = 1024  # of the prompt
_AFFINITY_CANDIDATES = 3
_RANDOM_CANDIDATES = 1
_EVICTION_WEIGHT = 8.0  # tokens charged per prefix token that is not cached
_MAX_EVICTION_PENALTY_S = 1.1
_OTHER_ZONE_PENALTY_S = 0.003
_MAX_CACHED_RANKINGS = 4096
_MAX_TRACKED_PREFIXES = 4096
_CACHED_PREFIX_LIFE_S = 10.0


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that routing depends on.

    :param prefix_key: identifies the prompt's prefix, see :func:`prefix_key`.
    :param prefix_tokens: tokens that a runner with the prefix in its cache skips.
    :param prompt_tokens: number of tokens of the prompt.
    """

    prefix_key: bytes
    prefix_tokens: int
    prompt_tokens: int


def prefix_key(workspace: str, service: str, prompt: bytes) -> bytes:
    """Return the key that all prompts of a service with the same prefix share."""
    scope = f"{workspace}\x00{service}\x00".encode()
    return xxh3_64_digest(scope + prompt[:_PREFIX_BYTES])


class Router:
    """One entry's view of the runners of one service.

    :param zone: the entry's availability zone.
    """

    __slots__ = (
        "_zone",
        "_loads_by_runner",
        "_cached_rankings",
        "_prefix_cached_until",
        "_mean_queued_tokens",
    )

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._loads_by_runner: dict[str, RunnerLoad] = {}
        self._cached_rankings: OrderedDict[bytes, tuple[int, list[str]]] = OrderedDict()
        self._prefix_cached_until: OrderedDict[tuple[str, bytes], float] = OrderedDict()
        self._mean_queued_tokens = 0.0

    @property
    def runner_ids(self) -> list[str]:
        """Ids of the runners that this router tracks."""
        return list(self._loads_by_runner)

    def add_runner(self, runner_id: str, zone: str) -> None:
        """Add a runner or update its zone."""
        self._load_of(runner_id).zone = zone

    def retain_runners(self, known: Container[str]) -> None:
        """Remove all runners that are not in ``known``."""
        unknown_ids = [name for name in self._loads_by_runner if name not in known]
        for runner_id in unknown_ids:
            del self._loads_by_runner[runner_id]

    def report(self, runner_id: str, report: LoadReport, measured_at: float) -> None:
        """Record a runner's load report.

        :param measured_at: latest time of the measurement, on this process's clock.
        """
        self._load_of(runner_id).record_report(report, measured_at)
        queue_sizes = [
            load.report.queued_tokens
            for load in self._loads_by_runner.values()
            if load.report is not None
        ]
        self._mean_queued_tokens = sum(queue_sizes) / len(queue_sizes)

    def pick(
        self,
        request: RouteRequest,
        usable: Sequence[str],
        now: float,
        random: Random,
    ) -> str | None:
        """Return the runner with the lowest score, or ``None`` if none is usable.

        :param usable: ids of the runners that may take the attempt, in a stable order
            so that cached rankings stay valid.
        """
        if not usable:
            return None
        fast_enough = self._without_slow_runners(usable, now)
        by_affinity = self._runners_by_affinity(request.prefix_key, fast_enough)
        sampled = random.sample(fast_enough, min(_RANDOM_CANDIDATES, len(fast_enough)))
        home = by_affinity[0]
        return min(
            dict.fromkeys([*by_affinity, *sampled]),
            key=lambda runner_id: self.score_s(request, runner_id, home, now),
        )

    def score_s(
        self, request: RouteRequest, runner_id: str, home: str, now: float
    ) -> float:
        """Return the expected time to first token, including penalties.

        :param home: first runner in the rendezvous order of the prefix; it is assumed
            to have the prefix in its cache.
        """
        load = self._load_of(runner_id)
        cached = runner_id == home or self._is_prefix_cached(
            request.prefix_key, runner_id, now
        )
        expected_s = self._expected_s(request, load, cached, now)
        evicted_tokens = 0.0 if cached else _EVICTION_WEIGHT * request.prefix_tokens
        eviction_penalty_s = min(
            evicted_tokens / max(load.tokens_per_s, 1.0), _MAX_EVICTION_PENALTY_S
        )
        other_zone_penalty_s = _OTHER_ZONE_PENALTY_S if load.zone != self._zone else 0.0
        total_penalty_s = (
            load.penalty_s(now) + eviction_penalty_s + other_zone_penalty_s
        )
        return expected_s * load.current_slowdown(now) + total_penalty_s

    def on_dispatched(
        self, attempt_id: str, runner_id: str, request: RouteRequest, now: float
    ) -> None:
        """Record the dispatch of an attempt to a runner."""
        load = self._load_of(runner_id)
        cached = self._is_prefix_cached(request.prefix_key, runner_id, now)
        expected_s = self._expected_s(request, load, cached, now)
        tokens = _tokens_to_compute(request, cached)
        load.on_dispatched(attempt_id, tokens, expected_s, now)
        self._prefix_cached_until[runner_id, request.prefix_key] = (
            now + _CACHED_PREFIX_LIFE_S
        )
        self._prefix_cached_until.move_to_end((runner_id, request.prefix_key))
        if len(self._prefix_cached_until) > _MAX_TRACKED_PREFIXES:
            self._prefix_cached_until.popitem(last=False)

    def on_first_token(self, attempt_id: str, runner_id: str, now: float) -> None:
        """Record the arrival of an attempt's first token."""
        self._load_of(runner_id).on_first_token(attempt_id, now)

    def on_progress(
        self, attempt_id: str, runner_id: str, tokens: int, now: float
    ) -> None:
        """Record further tokens of an attempt's stream."""
        self._load_of(runner_id).on_progress(attempt_id, tokens, now)

    def on_ended(
        self, attempt_id: str, runner_id: str, now: float, *, failed: bool = False
    ) -> None:
        """Record the end of an attempt."""
        self._load_of(runner_id).on_ended(attempt_id, failed, now)

    def _without_slow_runners(self, usable: Sequence[str], now: float) -> Sequence[str]:
        """Return the usable runners without slow ones, or all if over half are slow."""
        loads = [self._load_of(runner_id) for runner_id in usable]
        token_rates = [
            token_rate
            for load in loads
            if (token_rate := load.stream_tokens_per_s_at(now)) is not None
        ]
        median_token_rate = median(token_rates) if token_rates else 0.0
        fast_enough = [
            runner_id
            for runner_id, load in zip(usable, loads)
            if not load.is_slow(median_token_rate, now)
        ]
        return fast_enough if 2 * len(fast_enough) >= len(usable) else usable

    def _load_of(self, runner_id: str) -> RunnerLoad:
        load = self._loads_by_runner.get(runner_id)
        if load is None:
            load = self._loads_by_runner[runner_id] = RunnerLoad()
        return load

    def _runners_by_affinity(self, key: bytes, usable: Sequence[str]) -> list[str]:
        usable_hash = hash(tuple(usable))
        cached_ranking = self._cached_rankings.get(key)
        if cached_ranking is not None and cached_ranking[0] == usable_hash:
            self._cached_rankings.move_to_end(key)
            return cached_ranking[1]
        ranked = rank_by_rendezvous(key, usable)[:_AFFINITY_CANDIDATES]
        self._cached_rankings[key] = (usable_hash, ranked)
        if len(self._cached_rankings) > _MAX_CACHED_RANKINGS:
            self._cached_rankings.popitem(last=False)
        return ranked

    def _is_prefix_cached(self, key: bytes, runner_id: str, now: float) -> bool:
        return self._prefix_cached_until.get((runner_id, key), 0.0) > now

    def _expected_s(
        self, request: RouteRequest, load: RunnerLoad, cached: bool, now: float
    ) -> float:
        queued = load.queued_tokens(self._mean_queued_tokens, now)
        tokens = queued + _tokens_to_compute(request, cached)
        return tokens / max(load.tokens_per_s, 1.0)


def _tokens_to_compute(request: RouteRequest, cached: bool) -> float:
    skipped_tokens = request.prefix_tokens if cached else 0
    return float(max(request.prompt_tokens - skipped_tokens, 1))


__all__ = ["RouteRequest", "Router", "prefix_key"]
