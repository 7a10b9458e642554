"""LRU prefix cache of the engine stand-in, without I/O.

Blocks are named by chained hashes. Cache events are published late and with gaps.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

BLOCK_CHARACTERS = 64


@dataclass(slots=True)
class CacheEvent:
    """A block that was stored or evicted; events are numbered consecutively."""

    number: int
    at: float
    kind: str
    block: str


@dataclass(slots=True)
class PrefixCache:
    """The blocks that an engine has cached, in LRU order.

    :param capacity: maximum number of blocks.
    :param event_lag_s: delay before an event is visible, in seconds.
    :param gap_every: hides every event whose number is a multiple; 0 hides none.
    """

    capacity: int = 1024
    event_lag_s: float = 0.5
    gap_every: int = 0
    _blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _events: list[CacheEvent] = field(default_factory=list)

    def store_prompt(self, prompt: str, now: float) -> int:
        """Store a prompt's blocks; return how many leading blocks were cached."""
        return self.store(blocks_of(prompt), now)

    def store(self, blocks: list[str], now: float) -> int:
        """Store blocks; return how many leading blocks were cached."""
        hits = sum(1 for _ in itertools.takewhile(self._blocks.__contains__, blocks))
        for block in blocks:
            self._store(block, now)
        return hits

    def cached_blocks(self, blocks: list[str]) -> list[str]:
        """Return the given blocks that are cached."""
        return [block for block in blocks if block in self._blocks]

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events numbered above ``after`` that are visible at ``now``."""
        return [
            event
            for event in self._events
            if event.number > after
            and event.at + self.event_lag_s <= now
            and not (self.gap_every and event.number % self.gap_every == 0)
        ]

    def _store(self, block: str, now: float) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._publish("stored", block, now)
        if len(self._blocks) > self.capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now)

    def _publish(self, kind: str, block: str, now: float) -> None:
        self._events.append(CacheEvent(len(self._events) + 1, now, kind, block))


def blocks_of(prompt: str) -> list[str]:
    """Return the hashes of a prompt's full blocks; each covers the prefix up to it."""
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [xxhash.xxh3_64_hexdigest(prompt[:end].encode()) for end in ends]


__all__ = ["BLOCK_CHARACTERS", "CacheEvent", "PrefixCache", "blocks_of"]
