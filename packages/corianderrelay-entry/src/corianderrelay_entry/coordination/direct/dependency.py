"""Logs when an external dependency of an entry becomes unavailable or available."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Decision

if TYPE_CHECKING:
    from .decision_log import DecisionLog


class Dependency:
    """The availability of one dependency; only changes are logged.

    :param name: the dependency's name in the log.
    """

    __slots__ = ("_name", "_log", "_available")

    def __init__(self, name: str, log: DecisionLog) -> None:
        self._name = name
        self._log = log
        self._available = True

    @property
    def available(self) -> bool:
        """Whether the last call succeeded."""
        return self._available

    def mark_unavailable(self, **fields: object) -> None:
        """Record a failed call; ``fields`` go into the log line."""
        if self._available:
            self._available = False
            self._log.note(Decision.DEPENDENCY_LOST, dependency=self._name, **fields)

    def mark_available(self) -> None:
        """Record a successful call."""
        if not self._available:
            self._available = True
            self._log.note(Decision.DEPENDENCY_BACK, dependency=self._name)


__all__ = ["Dependency"]
