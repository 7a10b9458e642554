"""Streams of the log stand-in, without I/O: retention, rate limit and outages."""

from __future__ import annotations

import itertools
import math
from collections import deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

MAX_PAGE_ENTRIES = 1000
_BURST_S = 0.1  # capacity of the token bucket, as time at the configured rate


@dataclass(slots=True)
class Refusal:
    """Refusal of an append or read, which had no effect."""

    status: int
    retry_after_s: float


@dataclass(slots=True)
class Page:
    """Result of a read, like the page that the log client decodes.

    :param first: offset of the oldest retained entry.
    :param next: offset after the last returned entry.
    """

    first: int
    next: int
    entries: list[tuple[int, bytes]]


@dataclass(slots=True)
class _Stream:
    first: int = 0
    retained: deque[tuple[float, bytes]] = field(default_factory=deque)

    @property
    def end(self) -> int:
        return self.first + len(self.retained)


@dataclass(slots=True)
class LogFaults:
    """Faults that are currently injected into the log.

    :param lose_next_answers: number of next appends that take effect but whose answers
        are dropped.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_next_answers: int = 0
    appends_per_s: float = 300.0
    retention_s: float = 3600.0


class LogStore:
    """Streams of the log by name, and the injected faults."""

    def __init__(self, faults: LogFaults) -> None:
        self.faults = faults
        self._streams_by_name: dict[str, _Stream] = {}
        self._tokens = 0.0
        self._refilled_at = -math.inf

    def append(self, name: str, payload: bytes, now: float) -> Result[int, Refusal]:
        """Append a payload and return its offset.

        Refused during an outage (503) and over the rate limit (429).
        """
        if self.faults.outage:
            return Err(Refusal(503, 1.0))
        if not self._take_token(now):
            return Err(Refusal(429, 1.0 / max(1.0, self.faults.appends_per_s)))
        stream = self._streams_by_name.setdefault(name, _Stream())
        stream.retained.append((now, payload))
        return Ok(stream.end - 1)

    def consume_lost_answer(self) -> bool:
        """Return whether to drop the last append's answer; if so, count it down."""
        lost = self.faults.lose_next_answers > 0
        self.faults.lose_next_answers -= lost
        return lost

    def read(self, name: str, offset: int, now: float) -> Result[Page, Refusal]:
        """Return at most ``MAX_PAGE_ENTRIES`` retained entries from ``offset`` on."""
        if self.faults.outage:
            return Err(Refusal(503, 1.0))
        stream = self._streams_by_name.get(name, _Stream())
        self._expire(stream, now)
        start = min(max(offset, stream.first), stream.end)
        skipped = start - stream.first
        retained = itertools.islice(
            stream.retained, skipped, skipped + MAX_PAGE_ENTRIES
        )
        entries = [(start + i, payload) for i, (_, payload) in enumerate(retained)]
        return Ok(Page(stream.first, start + len(entries), entries))

    def _expire(self, stream: _Stream, now: float) -> None:
        while (
            stream.retained and stream.retained[0][0] <= now - self.faults.retention_s
        ):
            stream.retained.popleft()
            stream.first += 1

    def _take_token(self, now: float) -> bool:
        rate = self.faults.appends_per_s
        limit = max(1.0, rate * _BURST_S) if rate else 0.0
        refilled = self._tokens + (now - self._refilled_at) * rate if rate else 0.0
        self._tokens = min(limit, refilled)
        self._refilled_at = now
        taken = self._tokens >= 1.0
        self._tokens -= taken
        return taken


__all__ = ["LogFaults", "LogStore", "MAX_PAGE_ENTRIES", "Page", "Refusal"]
