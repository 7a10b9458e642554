"""Identifies equal requests by a digest of their content."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

_DIGEST_BYTES = 16


def fingerprint(workspace: str, service: str, body: bytes) -> str:
    """Return the fingerprint of a request's workspace, service and canonical body.

    JSON bodies with equal values have equal fingerprints, whatever their whitespace and
    key order. Any other body is hashed byte for byte.
    """
    scope = f"{workspace}\x00{service}\x00".encode()
    digest = blake2b(scope + _canonical(body), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


def _canonical(body: bytes) -> bytes:
    try:
        return msgspec.json.encode(msgspec.json.decode(body), order="deterministic")
    except (msgspec.DecodeError, RecursionError):
        return body


__all__ = ["fingerprint"]
