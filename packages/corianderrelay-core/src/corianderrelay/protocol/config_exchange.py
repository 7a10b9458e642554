"""How two processes bring each other to the newer of their configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..state.config_fold import VersionInForce
from ..state.document import Document
from ..state.errors import FrameError
from .messages import ConfigRequest, ConfigSnapshot

if TYPE_CHECKING:
    from typing import Protocol

    class ConfigHolder(Protocol):
        """What holds the configuration of this process."""

        @property
        def in_force(self) -> VersionInForce | None:
            """The version in force; ``None`` before the first is known."""

        def adopt(self, known: VersionInForce) -> None:
            """Take the version that a peer holds, unless a newer one is known."""


_ASK_AGAIN_S = 0.5


class ConfigExchange:
    """Asks a peer that holds a newer version for it, and answers such questions."""

    __slots__ = ("_holder", "_asked_at")

    def __init__(self, holder: ConfigHolder) -> None:
        self._holder = holder
        self._asked_at: float | None = None

    @property
    def version(self) -> int:
        """Number of the version in force here; 0 before the first is known."""
        held = self._holder.in_force
        return held.version if held else 0

    def config_request(self, peer_version: int, now: float) -> ConfigRequest | None:
        """Return what to ask of a peer that holds ``peer_version``, if anything."""
        if peer_version <= self.version:
            return None
        if self._asked_at is not None and now - self._asked_at < _ASK_AGAIN_S:
            return None
        self._asked_at = now
        return ConfigRequest(self.version)

    def config_snapshot(self, request: ConfigRequest) -> ConfigSnapshot | None:
        """Return the version in force, if it is newer than the asker's."""
        held = self._holder.in_force
        if held is None or held.version <= request.known_version:
            return None
        return ConfigSnapshot(
            held.version,
            msgspec.json.encode(held.document),
            held.author,
            held.time_s,
            held.as_of,
        )

    def adopt_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Take a peer's version, unless a newer one is known.

        :raises FrameError: the peer's document is none.
        """
        try:
            document = msgspec.json.decode(snapshot.document, type=Document)
        except msgspec.DecodeError as error:
            raise FrameError(
                f"a peer's configuration is malformed: {error}",
                "run releases that know the same document on both sides",
            ) from error
        self._holder.adopt(
            VersionInForce(
                snapshot.version,
                document,
                snapshot.author,
                snapshot.time_s,
                snapshot.as_of,
            )
        )


__all__ = ["ConfigExchange"]
