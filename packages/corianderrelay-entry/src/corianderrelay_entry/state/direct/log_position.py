"""Position of a reader in the platform's log.

The platform may restore its log from an older copy. Offsets of lost records are then
assigned to other records, and the log may state a higher era. A mark of what was read
before the position tells two histories apart if no era does.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogPosition:
    """The next record to read.

    :param era: era of the log in which the offset is valid; 0 if the log states none.
    :param offset: number of the record within its topic.
    :param mark: digest of the last record before it that the reader uses; empty if
        there is none, or it is not known.
    """

    era: int
    offset: int
    mark: str = ""

    def is_at_or_after(self, other: LogPosition) -> bool:
        """Return whether nothing before the other position is still to be read."""
        return self.era == other.era and self.offset >= other.offset


__all__ = ["LogPosition"]
