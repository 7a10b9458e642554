"""Selects the entries of each availability zone that act for their zone.

Entries rank the live entries of a zone by a hash of their ids. All that know the same
entries compute the same order without messages, and the next one takes over as soon as
an entry is not alive any more. While views differ, more entries than needed may act,
which costs messages only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .entry_peers import PeerUpdate

# Two relays and two receivers, so that no single failure delays the updates of a zone.
RELAYS_PER_ZONE = 2


def rank_entries(entry_ids: Iterable[str], role: str) -> list[str]:
    """Return the ids in the order in which the entries take a role.

    :param role: gives each role an order of its own, so that roles are spread.
    """
    return sorted(
        entry_ids,
        key=lambda each: (xxhash.xxh64_intdigest(f"{role} {each}".encode()), each),
    )


def relay_targets(own_id: str, own_zone: str, alive: Iterable[PeerUpdate]) -> list[str]:
    """Return the ids of the entries to which this one relays its zone's updates now.

    The first relay of a zone sends to the first of each other zone, and so on.

    :param alive: the latest updates of the live entries except this one.
    :returns: nothing if this entry is no relay.
    """
    ids_by_zone: dict[str, list[str]] = {own_zone: [own_id]}
    for update in alive:
        ids_by_zone.setdefault(update.zone, []).append(update.entry_id)
    own_position = rank_entries(ids_by_zone.pop(own_zone), "relay").index(own_id)
    if own_position >= RELAYS_PER_ZONE:
        return []
    ranked = [rank_entries(ids, "relay") for zone, ids in ids_by_zone.items() if zone]
    return [ids[own_position % min(len(ids), RELAYS_PER_ZONE)] for ids in ranked]


def read_line(own_id: str, own_zone: str, ready: Iterable[PeerUpdate]) -> list[str]:
    """Return the ids of the entries, this one included, that may read the log for it.

    The first entry of each zone stands in line with those of the other zones, any other
    entry with those of its own zone. The first in line of all zones reads.

    :param ready: the latest updates of the ready entries except this one.
    """
    ids_by_zone: dict[str, list[str]] = {own_zone: [own_id]}
    for update in ready:
        ids_by_zone.setdefault(update.zone, []).append(update.entry_id)
    own_line = rank_entries(ids_by_zone[own_zone], "reader")
    if own_line[0] != own_id:
        return own_line
    first_ids = (rank_entries(ids, "reader")[0] for ids in ids_by_zone.values())
    return rank_entries(first_ids, "reader")


__all__ = ["RELAYS_PER_ZONE", "rank_entries", "read_line", "relay_targets"]
