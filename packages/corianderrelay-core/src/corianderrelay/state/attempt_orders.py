"""Orders of a request's attempts to runners and to the caller's connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .errors import RelayError


@dataclass(frozen=True, slots=True)
class BeginAttempt:
    """Dispatch a new attempt.

    :param resume_from: number of answer tokens that the caller has received already.
    """

    attempt_id: str
    runner_id: str
    resume_from: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Notify the runner that the attempt is cancelled."""

    attempt_id: str
    runner_id: str


@dataclass(frozen=True, slots=True)
class AttachAttempt:
    """Ask the runner to resend the attempt's frames after a sequence number.

    :param after_sequence: number of the last chunk received; -1 for none.
    """

    attempt_id: str
    runner_id: str
    after_sequence: int


@dataclass(frozen=True, slots=True)
class AcknowledgeAttempt:
    """Acknowledge frames up to ``sequence``, so that the runner can drop them."""

    attempt_id: str
    runner_id: str
    sequence: int


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Send the status and content type of the answer to the caller."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Send bytes of the answer body to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """End the answer to the caller after its last byte."""


@dataclass(frozen=True, slots=True)
class FailAnswer:
    """End the answer to the caller with a typed error."""

    error: RelayError


AttemptOrder = (
    BeginAttempt
    | CancelAttempt
    | AttachAttempt
    | AcknowledgeAttempt
    | StartAnswer
    | WriteAnswer
    | FinishAnswer
    | FailAnswer
)

__all__ = [
    "AcknowledgeAttempt",
    "AttachAttempt",
    "AttemptOrder",
    "BeginAttempt",
    "CancelAttempt",
    "FailAnswer",
    "FinishAnswer",
    "StartAnswer",
    "WriteAnswer",
]
