"""What coordination needs of the platform's rate-limited weight store.

An adapter in the transport layer implements it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


@dataclass(slots=True, frozen=True)
class ExpertWeights:
    """The weights of one expert of one layer."""

    model: str
    layer: int
    expert: int
    data: bytes


class WeightStore(Protocol):
    """Reads weights; all readers together share one rate."""

    def read(self, model: str, layer: int, expert: int) -> Deferred[ExpertWeights]:
        """Return the weights of one expert.

        :raises UnavailableError: they did not come whole.
        """


__all__ = ["ExpertWeights", "WeightStore"]
