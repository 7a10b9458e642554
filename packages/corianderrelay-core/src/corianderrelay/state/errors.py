"""Typed errors; each has a kind, an HTTP status, a message and a remedy."""

from __future__ import annotations

from enum import Enum


class Ran(Enum):
    """Whether an endpoint ran the request that failed with an error."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class RelayError(Exception):
    """Base of all errors that are reported to a caller, an operator or a peer.

    :param message: what went wrong, in one sentence.
    :param remedy: what the reader can do about it.
    :param ran: whether an endpoint ran the request.
    :param retry_after_s: seconds after which a retry may succeed; ``None`` if a retry
        cannot help.
    """

    __slots__ = ("message", "remedy", "ran", "retry_after_s")

    kind = "internal"
    http_status = 500

    def __init__(
        self,
        message: str,
        remedy: str,
        *,
        ran: Ran = Ran.NO,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
        self.ran = ran
        self.retry_after_s = retry_after_s


class InvalidRequestError(RelayError):
    """The request is malformed; an unchanged retry cannot succeed."""

    kind = "invalid_request"
    http_status = 400


class UnauthorizedError(RelayError):
    """The caller's or operator's key is missing or unknown."""

    kind = "unauthorized"
    http_status = 401


class NotFoundError(RelayError):
    """The route, service, model or request does not exist for this caller."""

    kind = "not_found"
    http_status = 404


class MethodNotAllowedError(RelayError):
    """The route exists but not with this method."""

    kind = "method_not_allowed"
    http_status = 405


class TooLargeError(RelayError):
    """A header, body or frame is over its limit."""

    kind = "too_large"
    http_status = 413


class ConflictError(RelayError):
    """The change is based on a version that is no longer the current one."""

    kind = "conflict"
    http_status = 409


class KeyReusedError(RelayError):
    """The idempotency key was already used for a different request."""

    kind = "key_reused"
    http_status = 422


class KeyExpiredError(RelayError):
    """The key is dated outside the window of kept claims; the request is not run."""

    kind = "key_expired"
    http_status = 422


class QuarantinedError(RelayError):
    """The request is quarantined because it crashed endpoints; it is not run."""

    kind = "quarantined"
    http_status = 422


class OverloadedError(RelayError):
    """No endpoint has capacity to start the request before its deadline."""

    kind = "overloaded"
    http_status = 503


class UnavailableError(RelayError):
    """No endpoint, or no platform service that the request needs, is reachable."""

    kind = "unavailable"
    http_status = 503


class OutcomeUnknownError(RelayError):
    """A request or publication may have taken effect, so that a retry is not safe."""

    kind = "outcome_unknown"
    http_status = 502


class AnswerNotKeptError(RelayError):
    """The request already ran, but its answer was too large to be stored."""

    kind = "answer_not_kept"
    http_status = 410


class EndpointFailedError(RelayError):
    """The endpoint failed while running the request, and no retry was possible."""

    kind = "endpoint_failed"
    http_status = 502


class DeadlineExceededError(RelayError):
    """The request's deadline passed before its answer was complete."""

    kind = "deadline_exceeded"
    http_status = 504


class FrameError(RelayError):
    """A frame is malformed or not allowed now, or a record in the log is malformed.

    A stream that receives such a frame is closed.
    """

    kind = "bad_frame"
    http_status = 502


class LogUnavailableError(RelayError):
    """The log service rejected or never received the call; the call had no effect."""

    kind = "log_unavailable"
    http_status = 503


class LogThrottledError(LogUnavailableError):
    """The log service is up but throttles appends; the call had no effect."""

    kind = "log_throttled"
    http_status = 503


class LogAnswerLostError(RelayError):
    """The log service's answer was lost; the append may have taken effect."""

    kind = "log_answer_lost"
    http_status = 503


class FencedError(RelayError):
    """The command's fencing number is older than one that was already accepted."""

    kind = "fenced"
    http_status = 409


class SettingsError(RelayError):
    """The settings or a configuration document are invalid; lists all faults."""

    kind = "invalid_settings"
    http_status = 422


__all__ = [
    "AnswerNotKeptError",
    "ConflictError",
    "DeadlineExceededError",
    "EndpointFailedError",
    "FencedError",
    "FrameError",
    "InvalidRequestError",
    "KeyExpiredError",
    "KeyReusedError",
    "LogAnswerLostError",
    "LogThrottledError",
    "LogUnavailableError",
    "MethodNotAllowedError",
    "NotFoundError",
    "OutcomeUnknownError",
    "OverloadedError",
    "QuarantinedError",
    "Ran",
    "RelayError",
    "SettingsError",
    "TooLargeError",
    "UnauthorizedError",
    "UnavailableError",
]
