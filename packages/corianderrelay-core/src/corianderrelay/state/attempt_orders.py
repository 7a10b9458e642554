"""What the attempts of a request order: towards runners and towards the caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .errors import RelayError


@dataclass(frozen=True, slots=True)
class BeginAttempt:
    """Dispatch a new attempt; the caller has ``resume_from`` tokens already."""

    attempt_id: str
    runner_id: str
    resume_from: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell the runner that the attempt is abandoned."""

    attempt_id: str
    runner_id: str


@dataclass(frozen=True, slots=True)
class AttachAttempt:
    """Ask the runner for the attempt's frames after this sequence again."""

    attempt_id: str
    runner_id: str
    after_sequence: int


@dataclass(frozen=True, slots=True)
class AcknowledgeAttempt:
    """Tell the runner that frames up to this sequence need not be kept."""

    attempt_id: str
    runner_id: str
    sequence: int


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Begin the caller's answer."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Send a piece of the answer to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """End the caller's answer: it is whole."""


@dataclass(frozen=True, slots=True)
class FailAnswer:
    """End the caller's answer with a typed error."""

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
