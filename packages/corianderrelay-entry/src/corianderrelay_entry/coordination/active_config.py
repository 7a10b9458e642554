"""The active configuration of this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.document import Document

if TYPE_CHECKING:
    from collections.abc import Mapping


class ActiveConfig:
    """The active document, indexed by the digests of the workspaces' API keys."""

    __slots__ = ("version", "document", "_workspaces_by_digest")

    def __init__(self) -> None:
        self.version = 0
        self.document = Document()
        self._workspaces_by_digest: Mapping[str, str] = {}

    def replace(self, version: int, document: Document) -> None:
        """Activate a newer document; ignore one that is not newer."""
        if version <= self.version:
            return
        self.version = version
        self.document = document
        self._workspaces_by_digest = {
            digest: name
            for name, workspace in document.workspaces_by_name.items()
            for digest in workspace.key_digests
        }

    def find_workspace(self, digest: str) -> str | None:
        """Return the workspace with an API key of this digest, or ``None``."""
        return self._workspaces_by_digest.get(digest)


__all__ = ["ActiveConfig"]
