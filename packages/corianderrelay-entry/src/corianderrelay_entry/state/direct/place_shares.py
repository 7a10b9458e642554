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


class PlaceShares:
    """The places that are one entry's own.

    Entries that know of the same entries and runners agree on them without a word;
    while they do not, two of them may meet at a place.
    """

    __slots__ = ("_places_by_id", "_shared")

    def __init__(self) -> None:
        self._places_by_id: dict[str, int] = {}
        self._shared: tuple[tuple[str, ...], tuple[tuple[str, int], ...]] | None = None

    def share(
        self, own_id: str, other_ids: Iterable[str], runners: Iterable[RegisteredRunner]
    ) -> None:
        """Divide the runners' places among the entries that are there."""
        entry_ids = tuple(sorted({own_id, *other_ids}))
        slots = tuple(sorted((each.runner_id, each.slots) for each in runners))
        if self._shared == (entry_ids, slots):
            return
        self._shared = (entry_ids, slots)
        # Rounds of places must not all begin with the same entry: an entry's own
        # places should lie at as many runners as possible.
        step = len(slots) + (len(slots) % len(entry_ids) == 0)
        own_number = entry_ids.index(own_id)
        self._places_by_id = {
            runner_id: sum(
                (place * step + runner) % len(entry_ids) == own_number
                for place in range(places)
            )
            for runner, (runner_id, places) in enumerate(slots)
        }

    def own(self, runner_id: str) -> int:
        """Return how many places of a runner are the entry's own."""
        return self._places_by_id.get(runner_id, 0)


__all__ = ["PlaceShares"]
