"""Decides which entries a caller is told of, and in which order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random


class EntryAddress(Struct, frozen=True):
    """Where one entry can be reached."""

    instance_id: str
    address: str
    zone: str


def ordered_entries(
    entries: Iterable[EntryAddress], zone: str, random: Random
) -> list[EntryAddress]:
    """Return the entries, those of the caller's zone first, each part shuffled.

    :param zone: the caller's availability zone; empty if it named none.
    :param random: shuffles, so that callers spread evenly over the entries.
    """
    shuffled = sorted(entries, key=lambda entry: entry.instance_id)
    random.shuffle(shuffled)
    return sorted(shuffled, key=lambda entry: entry.zone != zone)


__all__ = ["EntryAddress", "ordered_entries"]
