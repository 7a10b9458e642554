"""The configuration of a process that does not follow the stream itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.config_fold import ConfigFold

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.config_fold import VersionInForce


class ReceivedConfig:
    """The newest version that peers have told of; it never goes back.

    :param take: called with each version that comes in force here.
    """

    __slots__ = ("_fold", "_take")

    def __init__(self, take: Callable[[VersionInForce], None]) -> None:
        self._fold = ConfigFold()
        self._take = take

    @property
    def in_force(self) -> VersionInForce | None:
        """The version in force; ``None`` before the first is known."""
        return self._fold.in_force

    def adopt(self, known: VersionInForce) -> None:
        """Take the version that a peer holds, unless a newer one is known."""
        before = self._fold.version
        self._fold.adopt(known)
        if self._fold.version > before:
            self._take(known)


__all__ = ["ReceivedConfig"]
