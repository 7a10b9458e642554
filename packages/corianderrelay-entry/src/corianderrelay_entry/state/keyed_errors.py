"""Errors that a caller of a keyed request can receive."""

from __future__ import annotations

from corianderrelay.state.errors import (
    AnswerNotKeptError,
    KeyExpiredError,
    KeyReusedError,
    OutcomeUnknownError,
    OverloadedError,
    Ran,
    UnavailableError,
)

_RETRY_AFTER_S = 5.0
_RETRY_REMEDY = "retry with the same idempotency key"


def log_unavailable_error() -> UnavailableError:
    """The log service is unavailable, so no claim can be recorded."""
    return UnavailableError(
        "the log service is unavailable and no claim can be recorded, "
        "so this call was not run",
        _RETRY_REMEDY,
        retry_after_s=_RETRY_AFTER_S,
    )


def not_run_error() -> OverloadedError:
    """No agent started this call, and none will start it."""
    return OverloadedError(
        "no endpoint started this call, and none will start it",
        _RETRY_REMEDY,
        retry_after_s=_RETRY_AFTER_S,
    )


def claim_timeout_error() -> UnavailableError:
    """The claim was not confirmed in time; it is abandoned and never dispatched."""
    return UnavailableError(
        "the log did not confirm the claim in time, so this call was not run",
        _RETRY_REMEDY,
        retry_after_s=_RETRY_AFTER_S,
    )


def outcome_unknown_error() -> OutcomeUnknownError:
    """The outcome of the request is unknown; it is not retried."""
    return OutcomeUnknownError(
        "the outcome of the request is unknown; it may have run and is not retried",
        "check its effect at the service before sending it with a new key",
        ran=Ran.UNKNOWN,
    )


def in_progress_error() -> OutcomeUnknownError:
    """The request with this key did not end before this caller's deadline."""
    return OutcomeUnknownError(
        "a call with this idempotency key is still in progress",
        _RETRY_REMEDY + " to get its answer",
        ran=Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )


def key_reused_error() -> KeyReusedError:
    """The key was already used for a different request."""
    return KeyReusedError(
        "the idempotency key was already used for a different request",
        "use a new key for each request",
    )


def answer_not_kept_error() -> AnswerNotKeptError:
    """The request was run, but its answer was too large to be recorded."""
    return AnswerNotKeptError(
        "the request was already run, and its answer was not kept",
        "check its effect at the service",
        ran=Ran.YES,
    )


def undated_key_error() -> KeyExpiredError:
    """It is unknown whether a key without timestamp was used before."""
    return KeyExpiredError(
        "it is unknown whether this idempotency key without timestamp was used "
        "before, so the request was not run now",
        "use a UUIDv7 as key, because it contains a timestamp",
        ran=Ran.UNKNOWN,
    )


__all__ = [
    "answer_not_kept_error",
    "claim_timeout_error",
    "in_progress_error",
    "key_reused_error",
    "log_unavailable_error",
    "not_run_error",
    "undated_key_error",
    "outcome_unknown_error",
]
