"""A fault of a validated document: its path, the reason and a remedy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a document.

    :param path: JSON path of the value, such as ``$.callers.port``.
    :param reason: what is wrong with the value.
    :param remedy: what to write instead.
    """

    path: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}; {self.remedy}"


__all__ = ["Fault"]
