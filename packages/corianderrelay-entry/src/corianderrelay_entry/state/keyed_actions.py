"""What the entry does for requests that must not be repeated, one class an action."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from corianderrelay.state.claim_orders import StopOrder
    from corianderrelay.state.claim_records import AnyClaimRecord, ClaimRecord, Outcome
    from corianderrelay.state.errors import RelayError


@dataclass(slots=True, frozen=True)
class KeyedCall:
    """A request that must not be repeated, with the runner chosen for it.

    :param key: the scoped key.
    :param digest: digest of the request.
    :param dated_s: the key's own date in seconds since 1970, if it carries one.
    :param deadline: when its caller stops waiting, in monotonic seconds.
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
    """Ask the runner's agent for a ticket."""

    request_id: str
    runner_id: str
    key: str


@dataclass(slots=True, frozen=True)
class AppendRecord:
    """Append a record to the claims stream."""

    record: AnyClaimRecord


@dataclass(slots=True, frozen=True)
class SendDispatch:
    """Dispatch the request; its claim is the first for its key.

    :param nonce: the claim's nonce, which names the attempt.
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
    """Ask the claim's agent to stop it if it was not started."""

    runner_id: str
    order: StopOrder


@dataclass(slots=True, frozen=True)
class SendAnswer:
    """Give the caller the answer of its request."""

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, frozen=True)
class SendError:
    """Give the caller an error; ``error.ran`` says whether this call was run."""

    request_id: str
    error: RelayError


@dataclass(slots=True, frozen=True)
class AuditSettlement:
    """Write to the audit trail that this entry settled a claim."""

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
