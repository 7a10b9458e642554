"""Pure core of the weight-store stand-in: one rate for all readers together."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash


@dataclass(slots=True)
class WeightStore:
    """Small weights which are a function of their name, paced as if they were large.

    :param bytes_per_s: rate over all readers, in bytes a second.
    :param expert_bytes: size of the weights of one expert of one layer.
    """

    bytes_per_s: float
    expert_bytes: int
    outage: bool = False
    sent_bytes: int = 0
    _free_at: float = 0.0

    def reserve(self, now: float) -> float:
        """Take a place in the queue; return after how many seconds to answer."""
        begin = max(now, self._free_at)
        self._free_at = begin + self.expert_bytes / self.bytes_per_s
        self.sent_bytes += self.expert_bytes
        return self._free_at - now

    def weights(self, model: str, layer: int, expert: int) -> bytes:
        """Return the weights of one expert."""
        name = f"{model}/{layer}/{expert}"
        return xxhash.xxh3_64_digest(name.encode())


__all__ = ["WeightStore"]
