"""Actions of a request's attempts, which the relay carries out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .call import RunnerHead


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Action: start an attempt at exactly this runner; no other may accept it.

    :param resume_after: id of the last complete event; empty to start from the first.
    """

    runner_id: str
    resume_after: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: close the connection of the attempt at this runner."""

    runner_id: str


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Action: send the runner's response head to the caller.

    :param body: the complete body; ``None`` if events follow.
    """

    head: RunnerHead
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class WriteResponse:
    """Action: send complete events to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishResponse:
    """Action: end the response; the stream is complete."""


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Action: respond with a status that the entry generates.

    :param retry_after_s: delay after which the caller may retry, in seconds; ``None``
        if the request may have run.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AbortResponse:
    """Action: close the caller's connection, which marks the response truncated."""

    reason: str


AttemptAction = (
    StartAttempt
    | CancelAttempt
    | StartResponse
    | WriteResponse
    | FinishResponse
    | RefuseRequest
    | AbortResponse
)

__all__ = [
    "AbortResponse",
    "AttemptAction",
    "CancelAttempt",
    "FinishResponse",
    "RefuseRequest",
    "StartAttempt",
    "StartResponse",
    "WriteResponse",
]
