"""Digests of API keys; the keys themselves are never stored or logged."""

from __future__ import annotations

import hashlib


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of an API key as 64 hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


__all__ = ["key_digest"]
