"""Model of a runner with a prefix cache, serial prefill and limited decode slots."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class ModelRequest:
    """One modelled request; times are in seconds."""

    request_id: int
    arrived_at: float
    prefix_id: int
    prefix_tokens: int
    prompt_tokens: int
    decode_s: float
    entry: int = 0
    cache_hit: bool = False


@dataclass(slots=True)
class RunnerModel:
    """State of one modelled runner, which a simulation drives in virtual time.

    A slowed runner still reports its nominal throughput.
    """

    zone: str
    nominal_tokens_per_s: float = 8000.0
    slowdown_factor: float = 1.0
    slots: int = 32
    cached_prefixes: int = 12
    queue: deque[ModelRequest] = field(default_factory=deque)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    prefilling: ModelRequest | None = None
    decoding: int = 0
    queued_tokens: float = 0.0

    def enqueue(self, request: ModelRequest) -> None:
        """Append a request to the queue and count its prefill tokens as queued."""
        request.cache_hit = request.prefix_id in self.cache
        self.queue.append(request)
        self.queued_tokens += self._prefill_tokens(request)

    def start_next_prefill(self) -> tuple[ModelRequest, float] | None:
        """Start the next prefill; return its request and its duration in seconds.

        Returns ``None`` while a prefill runs, all slots decode or the queue is empty.
        """
        if self.prefilling is not None or not self.queue or self.decoding >= self.slots:
            return None
        request = self.queue.popleft()
        self.queued_tokens -= self._prefill_tokens(request)
        request.cache_hit = request.prefix_id in self.cache
        self.prefilling = request
        return (
            request,
            self._prefill_tokens(request)
            * self.slowdown_factor
            / self.nominal_tokens_per_s,
        )

    def finish_prefill(self, request: ModelRequest) -> None:
        """Move the request to decoding and cache its prefix, with LRU eviction."""
        self.prefilling = None
        self.decoding += 1
        self.cache[request.prefix_id] = None
        self.cache.move_to_end(request.prefix_id)
        if len(self.cache) > self.cached_prefixes:
            self.cache.popitem(last=False)

    def _prefill_tokens(self, request: ModelRequest) -> float:
        cached_tokens = request.prefix_tokens if request.cache_hit else 0
        return float(request.prompt_tokens - cached_tokens)


__all__ = ["ModelRequest", "RunnerModel"]
