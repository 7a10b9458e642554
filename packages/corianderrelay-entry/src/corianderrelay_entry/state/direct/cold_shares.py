"""Divides the limit of cold runners among all entries, without any messages.

All entries together may send ``rate x overage + allowance`` requests to a cold runner
in any second. Each entry has a fixed part of that, whole requests in any second. Where
the requests cannot be divided evenly, the order of the entries' hashes for this runner
decides which have one more. In the long run an entry sends its part of the rate.

The load that this handles: many entries, each with few requests for many cold runners.
An entry hardly ever reaches its part, and needs to know nothing of what others send.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from corianderrelay.state.request_rate import RequestRate

if TYPE_CHECKING:
    from collections.abc import Iterable

# Requests may reach the runner 0.1 s closer together than they are sent.
_WINDOW_S = 1.1
# Of a part; below 1 / ``_WINDOW_S``, so that a saved request and those that accumulate
# in the window stay below the next whole number.
_MAX_RATE_SHARE = 0.85


class _Bucket:
    """One entry's requests to a cold runner.

    :ivar rate: ``None`` if the entry may send none.
    """

    __slots__ = ("per_s", "generation", "rate")

    def __init__(self, per_s: float, generation: int, rate: RequestRate | None) -> None:
        self.per_s, self.generation, self.rate = per_s, generation, rate


class ColdShares:
    """One entry's parts in the limits of cold runners.

    :param overage: factor on the rate of a cold runner.
    :param allowance: additional requests per second.
    """

    __slots__ = (
        "_own_id",
        "_overage",
        "_allowance",
        "_other_ids",
        "_generation",
        "_bucket_by_life",
    )

    def __init__(self, own_id: str, overage: float, allowance: float) -> None:
        self._own_id = own_id
        self._overage, self._allowance = overage, allowance
        self._other_ids: frozenset[str] = frozenset()
        self._generation = 0
        self._bucket_by_life: dict[str, _Bucket] = {}

    def set_others(self, other_ids: frozenset[str]) -> None:
        """Set the entries that have a part, also those that are not heard now."""
        if other_ids != self._other_ids:
            self._other_ids = other_ids
            self._generation += 1

    def may_send(self, life: str, per_s: float, now: float) -> bool:
        """Return whether a request may be sent to the runner now.

        :param per_s: requests per second that the runner takes from all entries.
        """
        rate = self._rate(life, per_s, now)
        return rate is not None and rate.may_send(now)

    def free_requests(self, life: str, per_s: float, now: float) -> int:
        """Return how many requests may be sent to the runner now."""
        rate = self._rate(life, per_s, now)
        if rate is None or not rate.may_send(now):
            return 0
        return max(int(rate.level(now) + 1e-6), 1)

    def ready_at(self, life: str, per_s: float, now: float) -> float:
        """Return when a request may be sent; infinity if this entry has no part."""
        rate = self._rate(life, per_s, now)
        return float("inf") if rate is None else max(rate.ready_at(), now)

    def on_sent(self, life: str, per_s: float, now: float) -> None:
        """Charge a request of this entry."""
        rate = self._rate(life, per_s, now)
        if rate is not None:
            rate.take(1, now, -rate.per_s)

    def forget(self, lives: Iterable[str]) -> None:
        """Discard the counts of runners that are not cold any more."""
        for life in lives:
            self._bucket_by_life.pop(life, None)

    def _rate(self, life: str, per_s: float, now: float) -> RequestRate | None:
        bucket = self._bucket_by_life.get(life)
        if (
            bucket is not None
            and bucket.generation == self._generation
            and bucket.per_s == per_s
        ):
            return bucket.rate
        rate = None if bucket is None else bucket.rate
        total = int(per_s * self._overage + self._allowance)
        part = self._part(life, total)
        if part == 0:
            rate = None
        else:
            own_per_s = part * min(per_s / total, _MAX_RATE_SHARE)
            capacity = max(part - _WINDOW_S * own_per_s, 1.0)
            if rate is not None:
                rate.adjust(own_per_s, capacity, now)
            else:
                rate = RequestRate(own_per_s, capacity, now)
                # A runner that has just become cold takes the first request at once.
                rate.take(-capacity, now, capacity)
        self._bucket_by_life[life] = _Bucket(per_s, self._generation, rate)
        return rate

    def _part(self, life: str, total: int) -> int:
        """Return the requests that this entry may send in any second.

        :param total: requests that all entries may send in any second.
        """
        part, rest = divmod(total, 1 + len(self._other_ids))
        own_order = _order(life, self._own_id)
        before = sum(_order(life, other) < own_order for other in self._other_ids)
        return part + (before < rest)


def _order(life: str, entry_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{life} {entry_id}".encode())


__all__ = ["ColdShares"]
