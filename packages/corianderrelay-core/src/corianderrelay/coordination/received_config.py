"""Active configuration of a process that receives it from peers, not the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..state.config_fold import ConfigFold

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.config_fold import ActiveVersion


class ReceivedConfig:
    """Holds the newest version received from peers; never returns to an older one.

    :param on_version: called with each version that becomes active in this process.
    """

    __slots__ = ("_fold", "_on_version")

    def __init__(self, on_version: Callable[[ActiveVersion], None]) -> None:
        self._fold = ConfigFold()
        self._on_version = on_version

    @property
    def active_config(self) -> ActiveVersion | None:
        """The active version; ``None`` before the first is known."""
        return self._fold.active_version

    def adopt(self, known: ActiveVersion) -> None:
        """Adopt the version of a peer, unless a newer one is known."""
        before = self._fold.version
        self._fold.adopt(known)
        if self._fold.version > before:
            self._on_version(known)


__all__ = ["ReceivedConfig"]
