"""Typed errors: each has a kind, a message and a remedy."""

from __future__ import annotations

from enum import Enum


class Ran(Enum):
    """Whether the request that an error answers was run by an endpoint."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class RelayError(Exception):
    """Base of all errors that a caller, an operator or a peer can be told of.

    :param message: what is wrong, in one sentence.
    :param remedy: what the reader can do about it.
    :param ran: whether the request was run.
    :param retry_after_s: when asking again can help, in seconds; ``None`` if never.
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
    """The request is malformed and will never succeed as it stands."""

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
    """The change was based on a version that is no longer in force."""

    kind = "conflict"
    http_status = 409


class KeyReusedError(RelayError):
    """The idempotency key was used before with another request."""

    kind = "key_reused"
    http_status = 422


class KeyExpiredError(RelayError):
    """The idempotency key is older than the claims that are kept; it is not run."""

    kind = "key_expired"
    http_status = 422


class QuarantinedError(RelayError):
    """The request crashed endpoints before and is not run again."""

    kind = "quarantined"
    http_status = 422


class OverloadedError(RelayError):
    """No endpoint can start the request within its deadline."""

    kind = "overloaded"
    http_status = 503


class UnavailableError(RelayError):
    """No endpoint, or no part of the platform that the request needs, is reachable."""

    kind = "unavailable"
    http_status = 503


class OutcomeUnknownError(RelayError):
    """A request that must not be repeated may have run; its outcome is not known."""

    kind = "outcome_unknown"
    http_status = 502


class AnswerNotKeptError(RelayError):
    """The request was run before; its answer was too large to be kept."""

    kind = "answer_not_kept"
    http_status = 410


class EndpointFailedError(RelayError):
    """The endpoint failed while it ran the request, and no retry was possible."""

    kind = "endpoint_failed"
    http_status = 502


class DeadlineExceededError(RelayError):
    """The request's deadline passed before its answer was whole."""

    kind = "deadline_exceeded"
    http_status = 504


class FrameError(RelayError):
    """A frame on a stream between our processes is malformed; the stream is closed."""

    kind = "bad_frame"
    http_status = 502


class LogUnavailableError(RelayError):
    """The platform's log service refused or did not take the call: no effect."""

    kind = "log_unavailable"
    http_status = 503


class LogThrottledError(LogUnavailableError):
    """The log service takes no more appends just now: no effect, and it is not out."""

    kind = "log_throttled"
    http_status = 503


class LogAnswerLostError(RelayError):
    """The log service's answer was lost: the append may have taken effect."""

    kind = "log_answer_lost"
    http_status = 503


class FencedError(RelayError):
    """The order carries an older fencing number than one already obeyed."""

    kind = "fenced"
    http_status = 409


class SettingsError(RelayError):
    """The settings or a configuration document have faults; the message lists all."""

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
