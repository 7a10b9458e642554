"""The outcomes of the most recent switch attempts; an outcome never changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .switch_types import SwitchAttemptId

_MAX_OUTCOMES = 16


class KnownOutcomes:
    """Keeps whether each of the most recent attempts was committed."""

    __slots__ = ("_committed_by_id",)

    def __init__(self) -> None:
        self._committed_by_id: dict[SwitchAttemptId, bool] = {}

    def add(self, attempt_id: SwitchAttemptId, committed: bool) -> None:
        """Record an outcome and evict the oldest beyond the capacity."""
        self._committed_by_id[attempt_id] = committed
        while len(self._committed_by_id) > _MAX_OUTCOMES:
            del self._committed_by_id[next(iter(self._committed_by_id))]

    def get(self, attempt_id: SwitchAttemptId) -> bool | None:
        """Return whether the attempt was committed; ``None`` if that is unknown."""
        return self._committed_by_id.get(attempt_id)

    def __contains__(self, attempt_id: SwitchAttemptId) -> bool:
        """Return whether the outcome of the attempt is known."""
        return attempt_id in self._committed_by_id


__all__ = ["KnownOutcomes"]
