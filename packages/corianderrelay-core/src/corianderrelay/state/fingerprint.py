"""Names a request by what it asks, so that a repeat of it is recognised."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

_DIGEST_BYTES = 16


def fingerprint(workspace: str, service: str, body: bytes) -> str:
    """Return the fingerprint of a request's workspace, service and canonical body.

    A JSON body is compared by its values, not by spacing or by the order of its keys.
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
