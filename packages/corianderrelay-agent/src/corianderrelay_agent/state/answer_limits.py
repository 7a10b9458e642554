"""Limits on the bytes of answers that an agent keeps.

An answer with tokens may be of any length: its entry passes them on and acknowledges
them. Bytes without a token are kept whole at the entry, as is an event until its end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .attempt import Attempt

# The endpoint's answer is not read while its entry has so much to acknowledge.
PAUSE_BYTES = 262_144
RESUME_BYTES = 131_072
MAX_EVENT_BYTES = 262_144  # several times an event with log probabilities
_MAX_TOKENLESS_BYTES = 4_194_304
_MAX_KEPT_BYTES = 16_777_216  # of all attempts together


def too_long_reason(attempt: Attempt) -> str | None:
    """Return why an answer must not go on; ``None`` if it may."""
    if attempt.tokenless_bytes <= _MAX_TOKENLESS_BYTES:
        return None
    return f"its answer has over {_MAX_TOKENLESS_BYTES} bytes without a token"


def largest_beyond_limit(attempts: Iterable[Attempt]) -> Attempt | None:
    """Return the attempt with the most unacknowledged bytes if all have too many."""
    kept = list(attempts)
    if sum(each.unacknowledged_bytes for each in kept) <= _MAX_KEPT_BYTES:
        return None
    return max(kept, key=lambda each: each.unacknowledged_bytes)


__all__ = [
    "MAX_EVENT_BYTES",
    "PAUSE_BYTES",
    "RESUME_BYTES",
    "largest_beyond_limit",
    "too_long_reason",
]
