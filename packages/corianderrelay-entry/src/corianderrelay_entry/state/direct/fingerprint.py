"""Identifies requests that ask for the same thing, whatever their request ids are."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .call import DirectCall

_DIGEST_BYTES = 12  # collisions are out of reach for the requests of many years


def request_fingerprint(call: DirectCall, workspace: str | None) -> str:
    """Return the hexadecimal digest of a request's caller, target and body.

    A stream that the caller resumes has the fingerprint of its first request.

    :param workspace: the caller's workspace; ``None`` on public routes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        (workspace or "").encode(),
        call.host.encode(),
        call.method,
        call.target,
        call.body,
    ):
        # The length keeps the boundary between two parts unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


__all__ = ["request_fingerprint"]
