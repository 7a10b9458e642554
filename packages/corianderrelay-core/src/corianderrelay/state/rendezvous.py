"""Rendezvous hashing: all processes rank the same names in the same order for a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def rendezvous_weight(key: bytes, name: str) -> int:
    """Return the 64-bit weight of a name for a key."""
    return xxh3_64_intdigest(key + b"\x00" + name.encode())


def rank_by_rendezvous(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of their weight for the key."""
    return sorted(names, key=lambda name: rendezvous_weight(key, name), reverse=True)


__all__ = ["rank_by_rendezvous", "rendezvous_weight"]
