"""Decides which entries a caller is told of, and in which order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from corianderrelay.state.recent_marks import RecentMarks

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

_LEAVING_RETENTION_S = 10.0


class EntryAddress(Struct, frozen=True):
    """Where one entry can be reached."""

    instance_id: str
    address: str
    zone: str


class EntryDirectory:
    """The entries of the platform's list, less those that have said they leave."""

    __slots__ = ("_entries_by_id", "_leaving")

    def __init__(self) -> None:
        self._entries_by_id: dict[str, EntryAddress] = {}
        self._leaving = RecentMarks(_LEAVING_RETENTION_S)

    def replace(self, entries: Iterable[EntryAddress]) -> None:
        """Take a new list of the platform."""
        self._entries_by_id = {entry.instance_id: entry for entry in entries}

    def mark_leaving(self, entry_ids: Iterable[str], now: float) -> None:
        """Believe entries that leave before the lagging list says so."""
        self._leaving.mark(entry_ids, now)

    def entries(
        self, own: EntryAddress, draining: bool, now: float
    ) -> list[EntryAddress]:
        """Return the entries that take new callers.

        :param own: this entry, which is named unless it drains itself.
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
    """Return the entries for one caller: those of its zone first, each part shuffled.

    At least one of another zone is among them if there is any, so that a caller can go
    on when its own zone is lost.

    :param zone: the caller's availability zone; empty if it named none.
    :param limit: how many are named; 2 or more.
    :param random: shuffles, so that callers spread evenly over the entries.
    """
    shuffled = sorted(entries, key=lambda entry: entry.instance_id)
    random.shuffle(shuffled)
    local = [entry for entry in shuffled if entry.zone == zone]
    remote = [entry for entry in shuffled if entry.zone != zone]
    local_limit = limit - 1 if remote else limit
    return (local[:local_limit] + remote)[:limit]


__all__ = ["EntryAddress", "EntryDirectory", "select_entries"]
