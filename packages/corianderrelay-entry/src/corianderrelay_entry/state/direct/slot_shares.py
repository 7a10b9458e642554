"""Which places of runners an entry takes first, so that entries do not meet at one.

What entries hear of each other is some moments old. If all of them went to the rank
that looks least loaded, they would overfill it, and a stream there waits until another
ends. So each place is one entry's own, and an entry goes to the places of others only
while its own are taken.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .runner_list import RegisteredRunner


class SlotShares:
    """The places that are one entry's own.

    Entries that know of the same entries and runners agree on them without a word;
    while they do not, two of them may meet at a place.
    """

    __slots__ = ("_own_slots_by_id", "_divided_for")

    def __init__(self) -> None:
        self._own_slots_by_id: dict[str, int] = {}
        self._divided_for: (
            tuple[tuple[str, ...], tuple[tuple[str, int], ...]] | None
        ) = None

    def divide(
        self, own_id: str, other_ids: Iterable[str], runners: Iterable[RegisteredRunner]
    ) -> None:
        """Divide the runners' places among the entries that are there."""
        entry_ids = tuple(sorted({own_id, *other_ids}))
        slots = tuple(sorted((each.runner_id, each.slots) for each in runners))
        if self._divided_for == (entry_ids, slots):
            return
        self._divided_for = (entry_ids, slots)
        # Rounds of places must not all begin with the same entry: an entry's own
        # places should lie at as many runners as possible.
        step = len(slots) + (len(slots) % len(entry_ids) == 0)
        own_index = entry_ids.index(own_id)
        self._own_slots_by_id = {
            runner_id: sum(
                (slot * step + runner) % len(entry_ids) == own_index
                for slot in range(slot_count)
            )
            for runner, (runner_id, slot_count) in enumerate(slots)
        }

    def own_slots(self, runner_id: str) -> int:
        """Return how many places of a runner are the entry's own."""
        return self._own_slots_by_id.get(runner_id, 0)


__all__ = ["SlotShares"]
