"""A set of names in which each name expires unless it is renewed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class ExpiringMarks:
    """Names that are marked for a limited time.

    :param lifetime_s: time in seconds after which a mark expires unless it is renewed.
    """

    __slots__ = ("_lifetime_s", "_expiry_by_name")

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._expiry_by_name: dict[str, float] = {}

    def mark(self, names: Iterable[str], now: float) -> None:
        """Mark the names, or renew their marks."""
        expires_at = now + self._lifetime_s
        self._expiry_by_name.update(dict.fromkeys(names, expires_at))

    def clear(self, name: str) -> None:
        """Remove the mark from a name, if there is one."""
        self._expiry_by_name.pop(name, None)

    def marked(self, now: float) -> list[str]:
        """Remove expired marks and return the marked names in sorted order."""
        expired = [
            name
            for name, expires_at in self._expiry_by_name.items()
            if expires_at <= now
        ]
        for name in expired:
            del self._expiry_by_name[name]
        return sorted(self._expiry_by_name)


__all__ = ["ExpiringMarks"]
