"""Which numbers are the HTTP status of a final answer (RFC 9110, section 15)."""

from __future__ import annotations

_MIN_FINAL = 200
_MAX_FINAL = 599


def is_final_status(status: int) -> bool:
    """Return whether a final answer can have this status."""
    return _MIN_FINAL <= status <= _MAX_FINAL


__all__ = ["is_final_status"]
