"""Digests of keys; keys themselves are never kept or logged."""

from __future__ import annotations

import hashlib


def key_digest(key: str) -> str:
    """Return the SHA-256 of a key as 64 hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


__all__ = ["key_digest"]
