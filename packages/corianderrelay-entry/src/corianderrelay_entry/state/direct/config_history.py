"""Decides which configurations that were read replace the active one.

Versions increase within one history of the log. The log may be restored from an older
copy, and nothing may tell of it. It then holds older versions again, and the operators
may give their numbers, or lower ones, to other documents.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .catalog import Catalog

_MAX_KNOWN = 256  # bounds memory; versions that are written within the age of a copy


class Verdict(Enum):
    """What becomes of a configuration that was read."""

    ACTIVE = "it is the active one"
    REPLACES = "it replaces the active one"
    SUPERSEDED = "the active one has replaced it"


class ConfigHistory:
    """The configurations that this entry has read.

    :ivar generation: increases whenever a version replaces one of the same number or a
        higher one. Configurations of different entries are ordered by generation, then
        by version.
    """

    __slots__ = ("generation", "_active", "_known", "_complete_since")

    def __init__(self) -> None:
        self.generation = 0
        self._active: Catalog | None = None
        # In the order in which they were read; the values have no meaning.
        self._known: dict[str, None] = {}
        # From this version on, all documents that the log has held were read.
        self._complete_since = 0

    @property
    def order(self) -> tuple[int, int]:
        """The generation and version of the active configuration."""
        return self.generation, self._active.version if self._active else 0

    def judge(
        self, catalog: Catalog, others: tuple[int, int], *, in_sequence: bool
    ) -> Verdict:
        """Return whether a configuration becomes the active one, and record it.

        :param others: the highest order that other entries state.
        :param in_sequence: whether all records before it were read.
        """
        active = self._active
        if active is not None and catalog.fingerprint == active.fingerprint:
            return Verdict.ACTIVE
        known = catalog.fingerprint in self._known
        self._remember(catalog)
        if active is None or (catalog.version > active.version and not known):
            if active is None or not in_sequence:
                self._complete_since = catalog.version
            self._active = catalog
            return Verdict.REPLACES
        if known or not self._is_later(catalog, others):
            return Verdict.SUPERSEDED
        self._active = catalog
        self.generation = max(self.generation + 1, others[0])
        return Verdict.REPLACES

    def adopt_generation(self, order: tuple[int, int]) -> None:
        """Adopt the generation of another entry that has the same version."""
        generation, version = order
        if self._active is not None and version == self._active.version:
            self.generation = max(self.generation, generation)

    def _is_later(self, catalog: Catalog, others: tuple[int, int]) -> bool:
        """Return whether a document of no higher version was written later.

        A copy holds only documents that were read when they were written, or that are
        older than the first one that was read.
        """
        if catalog.version >= self._complete_since:
            return True
        return others[0] > self.generation and others[1] == catalog.version

    def _remember(self, catalog: Catalog) -> None:
        if len(self._known) >= _MAX_KNOWN:
            del self._known[next(iter(self._known))]
        self._known[catalog.fingerprint] = None


__all__ = ["ConfigHistory", "Verdict"]
