"""Idempotency keys: their scope, their partition, their date and their age."""

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
    """Return the name of a caller's key within its workspace and service.

    A cryptographic digest, because a caller chooses the key and must not be able to
    meet the key of another workspace.
    """
    parts = "\0".join((workspace, service, key)).encode()
    return hashlib.sha256(parts).hexdigest()[:_SCOPED_KEY_HEX_DIGITS]


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which two requests under one key are compared."""
    digest = hashlib.sha256()
    _update_framed(digest, (method.encode(), path.encode(), body))
    return digest.hexdigest()


def _update_framed(digest: hashlib._Hash, parts: Iterable[bytes]) -> None:
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)


def key_partition(scoped: str, partitions: int) -> int:
    """Return the claims stream of a scoped key, from 0 to ``partitions`` - 1."""
    return xxhash.xxh3_64_intdigest(scoped.encode()) % partitions


def key_date(key: str) -> float | None:
    """Return the time at which a UUIDv7 key was made, in seconds since 1970.

    ``None`` stands for a key of any other form: it carries no date.
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
    """Refuse a key whose claim the log service may keep no longer.

    :param dated_s: the key's own date, in seconds since 1970.
    :param wall_now_s: this process's wall clock, in seconds since 1970.
    :param window_s: how far from now a key's date may lie. With half of the retention
        a wall clock may be wrong by up to half of the retention, either way.
    """
    if abs(wall_now_s - dated_s) <= window_s:
        return Ok(None)
    return Err(expired_key_error())


def expired_key_error() -> KeyExpiredError:
    """Return the refusal of a key that may have been used before the retention."""
    return KeyExpiredError(
        "the idempotency key lies outside the window in which claims are kept, "
        "so it was not run now, but an earlier call may have run it",
        "look up whether the earlier call took effect; use a new UUIDv7 key if not",
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
