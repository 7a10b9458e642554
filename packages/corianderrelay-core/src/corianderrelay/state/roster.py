"""Roster of a group: the newest incarnation of each rank's agent, and its digest.

Ranks and coordinator compare digests and send the roster only when they differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from .switch_types import RankIncarnation

if TYPE_CHECKING:
    from collections.abc import Mapping


def roster_digest(incarnation_by_rank: Mapping[int, int]) -> int:
    """Return the xxh3-64 digest of the incarnations, in order of rank."""
    pairs = sorted(incarnation_by_rank.items())
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(pairs))


def roster_of(incarnation_by_rank: Mapping[int, int]) -> tuple[RankIncarnation, ...]:
    """Return the roster as sent in messages, in order of rank."""
    return tuple(
        RankIncarnation(rank, incarnation)
        for rank, incarnation in sorted(incarnation_by_rank.items())
    )


__all__ = ["roster_digest", "roster_of"]
