"""The errors that a caller of a request that must not be repeated can be told."""

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
_RETRY_REMEDY = "repeat it with the same idempotency key"


def log_unavailable_error() -> UnavailableError:
    """The log service is out, so no claim can be made; this call was not run."""
    return UnavailableError(
        "claims cannot be recorded now, so this call was not run",
        _RETRY_REMEDY,
        retry_after_s=_RETRY_AFTER_S,
    )


def not_run_error() -> OverloadedError:
    """No agent started this call, and none will."""
    return OverloadedError(
        "no endpoint started this call, and none will",
        _RETRY_REMEDY,
        retry_after_s=_RETRY_AFTER_S,
    )


def claim_timeout_error() -> UnavailableError:
    """The claim was not confirmed in time; it is given up and will not be used."""
    return UnavailableError(
        "the claim was not confirmed in time, so this call was not run",
        _RETRY_REMEDY,
        retry_after_s=_RETRY_AFTER_S,
    )


def outcome_unknown_error() -> OutcomeUnknownError:
    """Nobody can tell whether the request ran; it is not run again."""
    return OutcomeUnknownError(
        "the request may have run; it is never run again",
        "look up its effect at the service before placing it anew",
        ran=Ran.UNKNOWN,
    )


def in_progress_error() -> OutcomeUnknownError:
    """The key's request has not ended while this caller waited."""
    return OutcomeUnknownError(
        "a call with this idempotency key has not ended yet",
        _RETRY_REMEDY + " to get its answer",
        ran=Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )


def key_reused_error() -> KeyReusedError:
    """The key belongs to another request."""
    return KeyReusedError(
        "the idempotency key was used with another request",
        "use a new key for each request",
    )


def answer_not_kept_error() -> AnswerNotKeptError:
    """The request was run; its answer was too large to be kept."""
    return AnswerNotKeptError(
        "the request was run before, and its answer is no longer kept",
        "look up its effect at the service",
        ran=Ran.YES,
    )


def undated_key_error() -> KeyExpiredError:
    """It cannot be told whether an undated key was used before."""
    return KeyExpiredError(
        "it cannot be told whether this undated idempotency key was used before, "
        "so it was not run now",
        "use a UUIDv7 as key, whose date tells",
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
