"""Elects the entry that rebalances the experts of the groups.

Only ready entries serve streams, whose pauses show a change in expert popularity. The
ready entry with the lowest id is elected. The next one is on standby: it knows the
groups and can take over at once. The others ask no rank, so that the calls to ranks do
not grow with the number of entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time for an entry that has just started to discover its peers, at least.
_DISCOVERY_S = 0.5
_STANDBY_ENTRIES = 1


class BalancerElection:
    """One entry's view of the election."""

    __slots__ = ("_entry_id", "_candidate_since", "_standby_since")

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._candidate_since: float | None = None
        self._standby_since: float | None = None

    @property
    def is_candidate(self) -> bool:
        """Whether this entry is ready and no ready entry has a lower id."""
        return self._candidate_since is not None

    def is_elected(
        self,
        ready: bool,
        other_ready_ids: Iterable[str],
        now: float,
        discovery_s: float = _DISCOVERY_S,
    ) -> bool:
        """Return whether this entry should start map switches now.

        :param ready: whether this entry accepts callers.
        :param other_ready_ids: ids of the other entries that accept callers.
        :param discovery_s: seconds in which an entry hears of its peers.
        """
        lower_ids = sum(each < self._entry_id for each in other_ready_ids)
        if not ready or lower_ids > _STANDBY_ENTRIES:
            self._standby_since = None
        elif self._standby_since is None:
            self._standby_since = now
        if not ready or lower_ids:
            self._candidate_since = None
            return False
        if self._candidate_since is None:
            self._candidate_since = now
        return now - self._candidate_since >= max(discovery_s, _DISCOVERY_S)

    def knows_groups(self, now: float, discovery_s: float = _DISCOVERY_S) -> bool:
        """Return whether this entry should ask ranks for their groups now.

        :param discovery_s: seconds in which an entry hears of its peers.
        """
        return self._standby_since is not None and (
            now - self._standby_since >= max(discovery_s, _DISCOVERY_S)
        )


__all__ = ["BalancerElection"]
