"""Messages between processes, one class each, encoded as msgpack arrays.

Deadlines and lifetimes are remaining durations in milliseconds, never timestamps,
because clocks are not compared across instances. New fields are added last, with
defaults.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from ..state.attempt_outcome import AttemptOutcome, RefusalReason

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024

Identifier = Annotated[str, Meta(min_length=1, max_length=200)]
NonNegativeInt = Annotated[int, Meta(ge=0)]


class Message(Struct, array_like=True, frozen=True, tag_field="type"):
    """Base of all messages; the first array element is the message type."""


class Hello(Message, tag="hello", frozen=True):
    """First message of each side: its identity, role and protocol version."""

    protocol_version: int
    instance_id: Identifier
    incarnation: NonNegativeInt
    zone: str
    role: str
    service: str = ""
    model: str = ""
    group: str = ""
    rank: int = 0
    slots: NonNegativeInt = 0


class Heartbeat(Message, tag="heartbeat", frozen=True):
    """Periodic heartbeat with the sender's load and configuration version.

    ``echo`` is the sequence number of the newest heartbeat received from this peer.
    The receiver measures staleness from the time when it sent that heartbeat, so a
    heartbeat that was delayed in transit does not count as a recent one.
    ``leaving_entries`` lists the entries that have announced to this agent that they
    are leaving.
    """

    sequence: NonNegativeInt
    config_version: NonNegativeInt = 0
    running: NonNegativeInt = 0
    queued: NonNegativeInt = 0
    queued_tokens: NonNegativeInt = 0
    tokens_per_s: float = 0.0
    leaving: bool = False
    engine_up: bool = True
    peer_update: bytes = b""
    echo: NonNegativeInt = 0
    period_ms: NonNegativeInt = 1000
    leaving_entries: list[Identifier] = []


class Dispatch(Message, tag="dispatch", frozen=True):
    """Entry to agent: run this attempt.

    ``resume_from`` is the number of answer tokens that the caller already has. For a
    request that must not run twice, ``key`` is set, ``claim_offset`` is the offset of
    its claim in the log stream, and ``ticket_incarnation`` is the agent incarnation
    that the claim names. ``trace`` is the serialized eliot task id of the request's
    log action.
    """

    attempt_id: Identifier
    request_id: Identifier
    workspace: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    deadline_ms: NonNegativeInt
    priority: int = 0
    estimated_tokens: NonNegativeInt = 0
    resume_from: NonNegativeInt = 0
    key: str = ""
    claim_offset: int = -1
    ticket_incarnation: NonNegativeInt = 0
    ticket_remaining_ms: NonNegativeInt = 0
    alone: bool = False
    trace: bytes = b""
    ticket_id: NonNegativeInt = 0


class Cancel(Message, tag="cancel", frozen=True):
    """Entry to agent: cancel this attempt; a running keyed attempt continues."""

    attempt_id: Identifier


class Attach(Message, tag="attach", frozen=True):
    """Entry to agent: resend chunks after ``after_sequence``, and any ``End``."""

    attempt_id: Identifier
    after_sequence: int


class Acknowledge(Message, tag="ack", frozen=True):
    """Entry to agent: chunks up to ``sequence`` may be discarded."""

    attempt_id: Identifier
    sequence: int


class TicketRequest(Message, tag="ticket_request", frozen=True):
    """Entry to agent: request a ticket for one keyed request."""

    key: Identifier


class Ticket(Message, tag="ticket", frozen=True):
    """Agent to entry: a ticket that admits one keyed request for a limited time.

    ``lifetime_ms`` is measured on the agent's clock.
    """

    key: Identifier
    incarnation: NonNegativeInt
    ticket_id: NonNegativeInt
    lifetime_ms: NonNegativeInt


class Tombstone(Message, tag="tombstone", frozen=True):
    """Entry to agent: never start the request of this claim, unless it has started."""

    key: Identifier
    claim_offset: int
    ticket_id: NonNegativeInt = 0
    incarnation: NonNegativeInt = 0


class Tombstoned(Message, tag="tombstoned", frozen=True):
    """Agent to entry: whether this incarnation had started the request of the claim.

    ``forgotten`` means that the agent does not know: its record was evicted, or the
    claim names another incarnation. The request then counts as started.
    """

    key: Identifier
    incarnation: NonNegativeInt
    started: bool
    finished: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    claim_offset: int = -1
    forgotten: bool = False
    body_kept: bool = True


class Accepted(Message, tag="accepted", frozen=True):
    """Agent to entry: the attempt is queued or running."""

    attempt_id: Identifier
    incarnation: NonNegativeInt


class Refused(Message, tag="refused", frozen=True):
    """Agent to entry: the attempt has not run and will not run.

    Also refuses a ``TicketRequest``, with its key as ``attempt_id``, and an ``Attach``
    to an attempt that the agent does not keep; that attempt may have run.
    """

    attempt_id: Identifier
    reason: RefusalReason
    retry_after_ms: NonNegativeInt = 0


class Chunk(Message, tag="chunk", frozen=True):
    """Agent to entry: a part of the answer, numbered from 0 within the attempt.

    Only the first chunk has the HTTP status and content type of the answer.
    """

    attempt_id: Identifier
    sequence: NonNegativeInt
    data: bytes
    tokens: NonNegativeInt = 0
    status: int = 0
    content_type: str = ""


class End(Message, tag="end", frozen=True):
    """Agent to entry: the attempt has ended, with the count and digest of its chunks.

    ``digest`` is the xxh3-64 hash of the data of all chunks in order.
    """

    attempt_id: Identifier
    outcome: AttemptOutcome
    chunks: NonNegativeInt
    tokens: NonNegativeInt
    digest: NonNegativeInt
    detail: str = ""


class Leaving(Message, tag="leaving", frozen=True):
    """Agent to entry: no new attempts are accepted; running attempts continue."""

    incarnation: NonNegativeInt


class Ping(Message, tag="ping", frozen=True):
    """Either direction: keepalive that the peer answers with a pong.

    Any bytes received show that the connection is alive.
    """

    sequence: NonNegativeInt


class Pong(Message, tag="pong", frozen=True):
    """Response to a ping."""

    sequence: NonNegativeInt


class Closing(Message, tag="closing", frozen=True):
    """Either direction: reason for closing this stream; always the last message."""

    kind: str
    detail: str


class ConfigRequest(Message, tag="config_request", frozen=True):
    """Either direction: request the active configuration if newer than this version."""

    known_version: NonNegativeInt


class ConfigSnapshot(Message, tag="config_snapshot", frozen=True):
    """Response to a config request: the active version, with its document as JSON.

    ``as_of`` is the last ``config`` offset that the sender had read when it found this
    version active.
    """

    version: NonNegativeInt
    document: bytes
    author: str
    time_s: float
    as_of: int


class GroupFrame(Message, tag="group", frozen=True):
    """Agent to agent of one group: a message from one rank to another.

    Each agent of a group has a stream to the agent of rank 0, which forwards frames.

    :param body: the encoded message; see ``group_messages``.
    """

    group: Identifier
    source: NonNegativeInt
    target: NonNegativeInt
    body: bytes


AnyMessage = (
    Hello
    | Heartbeat
    | Dispatch
    | Cancel
    | Attach
    | Acknowledge
    | TicketRequest
    | Ticket
    | Tombstone
    | Tombstoned
    | Accepted
    | Refused
    | Chunk
    | End
    | Leaving
    | Ping
    | Pong
    | ConfigRequest
    | ConfigSnapshot
    | Closing
    | GroupFrame
)

__all__ = [
    "Accepted",
    "Acknowledge",
    "AnyMessage",
    "Attach",
    "AttemptOutcome",
    "Cancel",
    "Chunk",
    "ConfigRequest",
    "ConfigSnapshot",
    "Closing",
    "Dispatch",
    "End",
    "GroupFrame",
    "Heartbeat",
    "Hello",
    "Leaving",
    "MAX_FRAME_BYTES",
    "Message",
    "PROTOCOL_VERSION",
    "Ping",
    "Pong",
    "RefusalReason",
    "Refused",
    "Ticket",
    "TicketRequest",
    "Tombstone",
    "Tombstoned",
]
