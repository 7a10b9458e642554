"""How an attempt at an agent is refused and how it ends."""

from __future__ import annotations

from enum import Enum


class RefusalReason(Enum):
    """Why an agent did not take an attempt; in each case nothing was run."""

    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    STALE_INCARNATION = "stale_incarnation"
    TICKET_EXPIRED = "ticket_expired"
    FENCED = "fenced"
    DUPLICATE_KEY = "duplicate_key"
    TOMBSTONED = "tombstoned"
    UNKNOWN_SERVICE = "unknown_service"


class AttemptOutcome(Enum):
    """How an attempt that was started has ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    ENGINE_DIED = "engine_died"
    ENGINE_ERROR = "engine_error"
    NOT_STARTED = "not_started"


__all__ = ["AttemptOutcome", "RefusalReason"]
