"""Idempotency keys: scope, partition, date and expiry."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING

import xxhash
from result import Err, Ok, Result

from .errors import KeyExpiredError, Ran

if TYPE_CHECKING:
    from collections.abc import Iterable

_SCOPED_KEY_HEX_DIGITS = 40
_MS_PER_S = 1000.0
_UUID7_VERSION = 7
_UUID7_TIME_SHIFT_BITS = 80


def scoped_key(workspace: str, service: str, key: str) -> str:
    """Return a caller's key, scoped to its workspace and service, as a hex digest.

    The digest is cryptographic because callers choose their keys and must not be able
    to construct a collision with a key of another workspace.
    """
    parts = "\0".join((workspace, service, key)).encode()
    return hashlib.sha256(parts).hexdigest()[:_SCOPED_KEY_HEX_DIGITS]


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells whether two requests with one key are equal."""
    digest = hashlib.sha256()
    _update_length_prefixed(digest, (method.encode(), path.encode(), body))
    return digest.hexdigest()


def _update_length_prefixed(digest: hashlib._Hash, parts: Iterable[bytes]) -> None:
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)


def key_partition(scoped: str, partitions: int) -> int:
    """Return the partition of a scoped key's claims stream, below ``partitions``."""
    return xxhash.xxh3_64_intdigest(scoped.encode()) % partitions


def key_date(key: str) -> float | None:
    """Return the timestamp in a UUIDv7 key, in seconds since 1970.

    Returns ``None`` for a key of any other form, which carries no date.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID7_VERSION:
        return None
    return (parsed.int >> _UUID7_TIME_SHIFT_BITS) / _MS_PER_S


def check_key_date(
    dated_s: float, wall_now_s: float, window_s: float
) -> Result[None, KeyExpiredError]:
    """Reject a key whose claim may already be past the log service's retention.

    :param dated_s: the date that the key carries, in seconds since 1970.
    :param wall_now_s: this process's wall clock, in seconds since 1970.
    :param window_s: maximum distance between the key's date and now, in seconds. If it
        is half of the retention, the wall clock may be off by up to half of the
        retention in either direction.
    """
    if abs(wall_now_s - dated_s) <= window_s:
        return Ok(None)
    return Err(expired_key_error())


def expired_key_error() -> KeyExpiredError:
    """Return the error for a key whose earlier use may be past the retention."""
    return KeyExpiredError(
        "the date of the idempotency key lies outside the window in which claims are "
        "kept, so this request was not run, but an earlier request may have run",
        "check whether the earlier request took effect; if not, use a new UUIDv7 key",
        ran=Ran.UNKNOWN,
    )


__all__ = [
    "check_key_date",
    "expired_key_error",
    "key_date",
    "key_partition",
    "request_digest",
    "scoped_key",
]
