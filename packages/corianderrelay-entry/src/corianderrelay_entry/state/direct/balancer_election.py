"""Elects the entry that rebalances the experts of the groups.

Only ready entries serve streams, whose pauses show a change in expert popularity. The
ready entry with the lowest id is elected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_DISCOVERY_S = 0.5  # time for an entry that has just started to discover its peers


class BalancerElection:
    """One entry's view of the election."""

    __slots__ = ("_entry_id", "_candidate_since")

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._candidate_since: float | None = None

    @property
    def is_candidate(self) -> bool:
        """Whether this entry is ready and no ready entry has a lower id."""
        return self._candidate_since is not None

    def is_elected(
        self, ready: bool, other_ready_ids: Iterable[str], now: float
    ) -> bool:
        """Return whether this entry should start map switches now.

        :param ready: whether this entry accepts callers.
        :param other_ready_ids: ids of the other entries that accept callers.
        """
        if not ready or any(each < self._entry_id for each in other_ready_ids):
            self._candidate_since = None
            return False
        if self._candidate_since is None:
            self._candidate_since = now
        return now - self._candidate_since >= _DISCOVERY_S


__all__ = ["BalancerElection"]
