"""The outcomes of the latest attempts; an outcome never changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .switch_types import AttemptId

_MAX_OUTCOMES = 16


class KnownOutcomes:
    """Remembers whether the latest attempts were committed."""

    __slots__ = ("_committed_by_id",)

    def __init__(self) -> None:
        self._committed_by_id: dict[AttemptId, bool] = {}

    def add(self, attempt_id: AttemptId, committed: bool) -> None:
        """Note an outcome; the oldest is forgotten when there are many."""
        self._committed_by_id[attempt_id] = committed
        while len(self._committed_by_id) > _MAX_OUTCOMES:
            del self._committed_by_id[next(iter(self._committed_by_id))]

    def get(self, attempt_id: AttemptId) -> bool | None:
        """Return whether the attempt was committed, ``None`` if that is not known."""
        return self._committed_by_id.get(attempt_id)

    def __contains__(self, attempt_id: AttemptId) -> bool:
        """Return whether the outcome of the attempt is known."""
        return attempt_id in self._committed_by_id


__all__ = ["KnownOutcomes"]
