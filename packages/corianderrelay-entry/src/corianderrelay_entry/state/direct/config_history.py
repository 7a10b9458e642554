"""Decides which configurations that were read replace the active one.

Versions increase within one history of the log. The log may be restored from an older
copy, and nothing may tell of it. It then holds older versions again, and the operators
may give their numbers, or lower ones, to other documents. A copy holds the records of
the log up to some offset, so an unknown document at an offset from which on all records
were read was written later.
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
    UNCERTAIN = "it may be older, or written later under a lower number"


class ConfigHistory:
    """The configurations that this entry has read.

    :ivar generation: increases whenever a version replaces one of the same number or a
        higher one. Configurations of different entries are ordered by generation, then
        by version.
    """

    __slots__ = ("generation", "_active", "_known", "_complete_from")

    def __init__(self) -> None:
        self.generation = 0
        self._active: Catalog | None = None
        # In the order in which they were read; the values have no meaning.
        self._known: dict[str, None] = {}
        self._complete_from = 0  # the offset from which on all records were read

    @property
    def order(self) -> tuple[int, int]:
        """The generation and version of the active configuration."""
        return self.generation, self._active.version if self._active else 0

    def judge(
        self,
        catalog: Catalog,
        offset: int,
        others: tuple[int, int],
        *,
        in_sequence: bool,
    ) -> Verdict:
        """Return whether a configuration becomes the active one, and record it.

        :param offset: offset of its record.
        :param others: the highest order that other entries state.
        :param in_sequence: whether all records before it were read.
        """
        active = self._active
        if active is not None and catalog.fingerprint == active.fingerprint:
            return Verdict.ACTIVE
        if active is not None and catalog.fingerprint in self._known:
            return Verdict.SUPERSEDED
        if active is not None and catalog.version <= active.version:
            others_have_it = others > self.order and others[1] == catalog.version
            same_number = catalog.version == active.version
            if offset < self._complete_from and not (same_number or others_have_it):
                return Verdict.UNCERTAIN
            self.generation = max(self.generation + 1, others[0])
        self._activate(catalog)
        if active is None or not in_sequence:
            self._complete_from = offset
        return Verdict.REPLACES

    def accept(self, catalog: Catalog, offset: int) -> None:
        """Make an uncertain configuration the active one, as no other has followed."""
        self.generation += 1
        self._activate(catalog)
        self._complete_from = offset

    def adopt_generation(self, order: tuple[int, int]) -> None:
        """Adopt the generation of another entry that has the same version."""
        generation, version = order
        if self._active is not None and version == self._active.version:
            self.generation = max(self.generation, generation)

    def _activate(self, catalog: Catalog) -> None:
        self._active = catalog
        if len(self._known) >= _MAX_KNOWN:
            del self._known[next(iter(self._known))]
        self._known[catalog.fingerprint] = None


__all__ = ["ConfigHistory", "Verdict"]
