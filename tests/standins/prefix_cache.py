"""Pure core of the engine's prefix cache: blocks by chained hash, least recent out.

Its events are published late and with gaps.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

BLOCK_CHARACTERS = 64


@dataclass(slots=True)
class CacheEvent:
    """A block that was stored or evicted; ``number`` grows by one an event."""

    number: int
    at: float
    kind: str
    block: str


@dataclass(slots=True)
class PrefixCache:
    """The blocks that an engine holds.

    :param capacity: how many blocks it can hold.
    :param event_lag_s: how late an event is shown, in seconds.
    :param gap_every: each event whose number it divides is never shown; 0 for none.
    """

    capacity: int = 1024
    event_lag_s: float = 0.5
    gap_every: int = 0
    _blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _events: list[CacheEvent] = field(default_factory=list)

    def store_prompt(self, prompt: str, now: float) -> int:
        """Store a prompt's blocks; return how many it held from the beginning on."""
        return self.store(blocks_of(prompt), now)

    def store(self, blocks: list[str], now: float) -> int:
        """Store blocks; return how many of them it held from the first on."""
        hits = sum(1 for _ in itertools.takewhile(self._blocks.__contains__, blocks))
        for block in blocks:
            self._store(block, now)
        return hits

    def held_blocks(self, blocks: list[str]) -> list[str]:
        """Return those of the blocks that it holds."""
        return [block for block in blocks if block in self._blocks]

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events with a number above ``after`` that can be seen by now."""
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
    """Return the names of a prompt's whole blocks; each covers all before it."""
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [xxhash.xxh3_64_hexdigest(prompt[:end].encode()) for end in ends]


__all__ = ["BLOCK_CHARACTERS", "CacheEvent", "PrefixCache", "blocks_of"]
