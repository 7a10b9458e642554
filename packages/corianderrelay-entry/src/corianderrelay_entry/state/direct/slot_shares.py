"""Assigns each slot of the runners to one entry, so that entries do not overfill ranks.

Peer updates are slightly stale. If all entries selected the rank that appears least
loaded, they would overfill it, and a stream there waits until another one ends.
So each slot is assigned to one entry, and an entry uses slots of others only while all
of its own are occupied.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .runner_list import RegisteredRunner


class SlotShares:
    """The slots that are assigned to one entry.

    The assignment is deterministic: entries that know the same entries and runners
    compute the same one without messages. While their views differ, two entries may
    use the same slot.
    """

    __slots__ = ("_own_slots_by_id", "_divided_inputs")

    def __init__(self) -> None:
        self._own_slots_by_id: dict[str, int] = {}
        self._divided_inputs: (
            tuple[tuple[str, ...], tuple[tuple[str, int], ...]] | None
        ) = None

    def divide(
        self, own_id: str, other_ids: Iterable[str], runners: Iterable[RegisteredRunner]
    ) -> None:
        """Divide the runners' slots among the given entries."""
        entry_ids = tuple(sorted({own_id, *other_ids}))
        slots = tuple(sorted((each.runner_id, each.slots) for each in runners))
        if self._divided_inputs == (entry_ids, slots):
            return
        self._divided_inputs = (entry_ids, slots)
        # Shift each round by one entry if needed, so that an entry's own slots are
        # spread over as many runners as possible.
        stride = len(slots) + (len(slots) % len(entry_ids) == 0)
        own_index = entry_ids.index(own_id)
        self._own_slots_by_id = {
            runner_id: sum(
                (slot * stride + runner) % len(entry_ids) == own_index
                for slot in range(slot_count)
            )
            for runner, (runner_id, slot_count) in enumerate(slots)
        }

    def own_slots(self, runner_id: str) -> int:
        """Return the number of a runner's slots that are assigned to this entry."""
        return self._own_slots_by_id.get(runner_id, 0)


__all__ = ["SlotShares"]
