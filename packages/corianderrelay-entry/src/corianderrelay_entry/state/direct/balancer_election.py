"""Whose turn it is to balance the groups of runners.

Only an entry that serves callers sees the pauses of streams, and so notices when
popularity has jumped. The first of these by name balances.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_DISCOVERY_S = 0.5  # an entry that has just started does not know the others yet


class BalancerElection:
    """One entry's view of whether it is its turn."""

    __slots__ = ("_entry_id", "_candidate_since")

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._candidate_since: float | None = None

    @property
    def is_candidate(self) -> bool:
        """Whether no entry that serves callers was seen before this one."""
        return self._candidate_since is not None

    def is_elected(self, ready: bool, others_ready: Iterable[str], now: float) -> bool:
        """Whether this entry should begin switches now.

        :param ready: whether it serves callers.
        :param others_ready: the other entries that do.
        """
        if not ready or any(each < self._entry_id for each in others_ready):
            self._candidate_since = None
            return False
        if self._candidate_since is None:
            self._candidate_since = now
        return now - self._candidate_since >= _DISCOVERY_S


__all__ = ["BalancerElection"]
