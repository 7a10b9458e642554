"""Notes when something that an entry depends on is lost, and when it is back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Decision

if TYPE_CHECKING:
    from .decision_log import DecisionLog


class Dependency:
    """One dependency; each loss and each return is logged once.

    :param name: what the log calls it.
    """

    __slots__ = ("_name", "_log", "_available")

    def __init__(self, name: str, log: DecisionLog) -> None:
        self._name = name
        self._log = log
        self._available = True

    def mark_unavailable(self, **fields: object) -> None:
        """Note that a call to it has failed, with what is known of that."""
        if self._available:
            self._available = False
            self._log.note(Decision.DEPENDENCY_LOST, dependency=self._name, **fields)

    def mark_available(self) -> None:
        """Note that it has answered."""
        if not self._available:
            self._available = True
            self._log.note(Decision.DEPENDENCY_BACK, dependency=self._name)


__all__ = ["Dependency"]
