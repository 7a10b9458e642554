"""Actions that an entry performs for keyed requests, which run at most once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from corianderrelay.state.claim_messages import TombstoneRequest
    from corianderrelay.state.claim_records import AnyClaimRecord, ClaimRecord, Outcome
    from corianderrelay.state.errors import RelayError


@dataclass(slots=True, frozen=True)
class KeyedCall:
    """A request with an idempotency key, and the runner chosen for it.

    :param key: the idempotency key, scoped to workspace and service.
    :param digest: digest of the request's method, path and body.
    :param dated_s: timestamp in the key in seconds since 1970; ``None`` if it has none.
    :param deadline: monotonic time in seconds at which the caller stops waiting.
    """

    request_id: str
    key: str
    digest: str
    workspace: str
    service: str
    runner_id: str
    deadline: float
    dated_s: float | None = None


@dataclass(slots=True, frozen=True)
class RequestTicket:
    """Request a ticket for the key from the runner's agent."""

    request_id: str
    runner_id: str
    key: str


@dataclass(slots=True, frozen=True)
class AppendRecord:
    """Append a record to the claims stream."""

    record: AnyClaimRecord


@dataclass(slots=True, frozen=True)
class SendDispatch:
    """Dispatch the request, whose claim holds its key.

    :param nonce: the claim's nonce, which also identifies the attempt.
    :param claim_offset: log offset of the claim.
    """

    request_id: str
    nonce: str
    runner_id: str
    key: str
    claim_offset: int
    incarnation: int
    ticket_id: int


@dataclass(slots=True, frozen=True)
class SendTombstone:
    """Order the agent named in a claim not to start it if it has not started yet."""

    runner_id: str
    order: TombstoneRequest


@dataclass(slots=True, frozen=True)
class SendAnswer:
    """Send the caller the answer to its request."""

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, frozen=True)
class SendError:
    """Send the caller an error; ``error.ran`` states whether the request was run."""

    request_id: str
    error: RelayError


@dataclass(slots=True, frozen=True)
class AuditSettlement:
    """Write the settlement of a claim by this entry to the audit log."""

    claim: ClaimRecord
    outcome: Outcome


Action = (
    RequestTicket
    | AppendRecord
    | SendDispatch
    | SendTombstone
    | SendAnswer
    | SendError
    | AuditSettlement
)

__all__ = [
    "Action",
    "AppendRecord",
    "RequestTicket",
    "AuditSettlement",
    "KeyedCall",
    "SendDispatch",
    "SendTombstone",
    "SendAnswer",
    "SendError",
]
