"""One fault of a checked document: where it is, what is wrong, what to do."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fault:
    """A single fault.

    :param path: JSON path of the value, such as ``$.callers.port``.
    :param reason: what is wrong with it.
    :param remedy: what to write instead.
    """

    path: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}; {self.remedy}"


__all__ = ["Fault"]
