"""Interface to the platform's rate-limited weight store.

An adapter in the transport layer implements it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


@dataclass(slots=True, frozen=True)
class ExpertWeights:
    """The weights of one expert in one layer."""

    model: str
    layer: int
    expert: int
    data: bytes


class WeightStore(Protocol):
    """Reads weights; one rate limit applies to all readers together."""

    def read(self, model: str, layer: int, expert: int) -> Deferred[ExpertWeights]:
        """Return the weights of one expert.

        :raises UnavailableError: the weights were not received completely.
        """


__all__ = ["ExpertWeights", "WeightStore"]
