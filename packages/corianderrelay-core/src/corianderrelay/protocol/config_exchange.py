"""Exchanges the active configuration between peers, so that all use the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..state.config_fold import ActiveVersion
from ..state.document import Document
from ..state.errors import FrameError
from .messages import ConfigRequest, ConfigSnapshot

if TYPE_CHECKING:
    from typing import Protocol

    class ConfigHolder(Protocol):
        """Holds the active configuration of this process."""

        @property
        def active_config(self) -> ActiveVersion | None:
            """The active version; ``None`` before the first is known."""

        def adopt(self, known: ActiveVersion) -> None:
            """Adopt the version of a peer, unless a newer one is known."""


_REQUEST_INTERVAL_S = 0.5


class ConfigExchange:
    """Requests newer versions from peers and answers their requests."""

    __slots__ = ("_holder", "_requested_at")

    def __init__(self, holder: ConfigHolder) -> None:
        self._holder = holder
        self._requested_at: float | None = None

    @property
    def version(self) -> int:
        """Number of the active version; 0 before the first is known."""
        active = self._holder.active_config
        return active.version if active else 0

    def config_request(self, peer_version: int, now: float) -> ConfigRequest | None:
        """Return the request to send to a peer that has a newer version.

        Return ``None`` if the peer's version is not newer, or if the last request was
        sent to any peer less than ``_REQUEST_INTERVAL_S`` ago.
        """
        if peer_version <= self.version:
            return None
        if (
            self._requested_at is not None
            and now - self._requested_at < _REQUEST_INTERVAL_S
        ):
            return None
        self._requested_at = now
        return ConfigRequest(self.version)

    def config_snapshot(self, request: ConfigRequest) -> ConfigSnapshot | None:
        """Return the active version for a peer that has an older one; else ``None``."""
        active = self._holder.active_config
        if active is None or active.version <= request.known_version:
            return None
        return ConfigSnapshot(
            active.version,
            msgspec.json.encode(active.document),
            active.author,
            active.time_s,
            active.as_of,
        )

    def adopt_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Adopt a peer's version, unless a newer one is known.

        :raises FrameError: the peer's document is malformed.
        """
        try:
            document = msgspec.json.decode(snapshot.document, type=Document)
        except msgspec.DecodeError as error:
            raise FrameError(
                f"a peer's configuration is malformed: {error}",
                "run releases with the same configuration format on both sides",
            ) from error
        self._holder.adopt(
            ActiveVersion(
                snapshot.version,
                document,
                snapshot.author,
                snapshot.time_s,
                snapshot.as_of,
            )
        )


__all__ = ["ConfigExchange"]
