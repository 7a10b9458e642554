"""State of the weight-store stand-in, without I/O: one rate shared by all readers."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash


@dataclass(slots=True)
class WeightStore:
    """Short weights derived from their name, served at the rate of full-size weights.

    :param bytes_per_s: rate shared by all readers, in bytes per second.
    :param expert_bytes: simulated size of the weights of one expert of one layer.
    """

    bytes_per_s: float
    expert_bytes: int
    outage: bool = False
    sent_bytes: int = 0
    _free_at: float = 0.0

    def reserve_transfer(self, now: float) -> float:
        """Queue one transfer and return the delay until it completes, in seconds."""
        begin = max(now, self._free_at)
        self._free_at = begin + self.expert_bytes / self.bytes_per_s
        self.sent_bytes += self.expert_bytes
        return self._free_at - now

    def weights(self, model: str, layer: int, expert: int) -> bytes:
        """Return the weights of one expert."""
        name = f"{model}/{layer}/{expert}"
        return xxhash.xxh3_64_digest(name.encode())


__all__ = ["WeightStore"]
