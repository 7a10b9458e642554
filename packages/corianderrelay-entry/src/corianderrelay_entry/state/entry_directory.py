"""Selects the entries that are listed to a caller, and their order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from corianderrelay.state.expiring_marks import ExpiringMarks

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

_LEAVING_RETENTION_S = 10.0


class EntryAddress(Struct, frozen=True):
    """Identity, address and availability zone of one entry."""

    instance_id: str
    address: str
    zone: str


class EntryDirectory:
    """The entries in the platform's instance list, without those that are leaving."""

    __slots__ = ("_entries_by_id", "_leaving")

    def __init__(self) -> None:
        self._entries_by_id: dict[str, EntryAddress] = {}
        self._leaving = ExpiringMarks(_LEAVING_RETENTION_S)

    def replace(self, entries: Iterable[EntryAddress]) -> None:
        """Replace the entries with a newer instance list."""
        self._entries_by_id = {entry.instance_id: entry for entry in entries}

    def mark_leaving(self, entry_ids: Iterable[str], now: float) -> None:
        """Exclude entries that announced that they are leaving.

        The instance list lags behind these announcements. The mark expires, so that an
        entry that stays is listed again.
        """
        self._leaving.mark(entry_ids, now)

    def entries(
        self, own: EntryAddress, draining: bool, now: float
    ) -> list[EntryAddress]:
        """Return the entries that accept new callers, ordered by instance id.

        :param own: this entry, which is included unless it is draining.
        :param draining: whether this entry is draining.
        """
        entries_by_id = self._entries_by_id | {own.instance_id: own}
        leaving = set(self._leaving.marked(now)) - {own.instance_id}
        if draining:
            leaving.add(own.instance_id)
        return [
            entry
            for instance_id, entry in sorted(entries_by_id.items())
            if instance_id not in leaving
        ]


def select_entries(
    entries: Iterable[EntryAddress], zone: str, limit: int, random: Random
) -> list[EntryAddress]:
    """Return entries for one caller: those of its zone first, each part shuffled.

    At least one entry of another zone is included if there is any, so that the caller
    can continue when its own zone is unavailable.

    :param zone: the caller's availability zone; empty if it gave none.
    :param limit: maximum number of entries returned; at least 2.
    :param random: shuffles the entries, so that callers spread evenly over them.
    """
    shuffled = sorted(entries, key=lambda entry: entry.instance_id)
    random.shuffle(shuffled)
    local = [entry for entry in shuffled if entry.zone == zone]
    remote = [entry for entry in shuffled if entry.zone != zone]
    local_limit = limit - 1 if remote else limit
    return (local[:local_limit] + remote)[:limit]


__all__ = ["EntryAddress", "EntryDirectory", "select_entries"]
