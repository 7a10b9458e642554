"""Reasons for which an agent refuses an attempt, and outcomes of started attempts."""

from __future__ import annotations

from enum import Enum


class RefusalReason(Enum):
    """Why an agent refused an attempt; a refused attempt has not been started."""

    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    STALE_INCARNATION = "stale_incarnation"
    TICKET_EXPIRED = "ticket_expired"
    FENCED = "fenced"
    DUPLICATE_KEY = "duplicate_key"
    TOMBSTONED = "tombstoned"
    UNKNOWN_SERVICE = "unknown_service"


class AttemptOutcome(Enum):
    """How a started attempt ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    ENGINE_DIED = "engine_died"
    ENGINE_ERROR = "engine_error"
    NOT_STARTED = "not_started"


__all__ = ["AttemptOutcome", "RefusalReason"]
