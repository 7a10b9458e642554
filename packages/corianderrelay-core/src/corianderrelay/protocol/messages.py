"""Messages between an entry and an agent, one class each, sent as msgpack arrays.

Times are remaining durations in milliseconds, never points in time, because clocks of
different instances are not compared. New fields go last and have defaults.
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
    """Base of all messages; the first element of the array names the class."""


class Hello(Message, tag="hello", frozen=True):
    """First message of each side: who speaks, and which version of this protocol."""

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
    """Periodic sign of life with the sender's load and its newest configuration.

    ``echo`` is the sequence of the newest heartbeat that the sender has received from
    this peer: the receiver counts freshness from when it sent that one, so that a
    heartbeat which was delayed on its way proves nothing about the present.
    ``leaving_entries`` are the entries that have told this agent that they leave.
    """

    sequence: NonNegativeInt
    config_version: NonNegativeInt = 0
    running: NonNegativeInt = 0
    queued: NonNegativeInt = 0
    queued_tokens: NonNegativeInt = 0
    tokens_per_s: float = 0.0
    leaving: bool = False
    engine_up: bool = True
    news: bytes = b""
    echo: NonNegativeInt = 0
    period_ms: NonNegativeInt = 1000
    leaving_entries: list[Identifier] = []


class Dispatch(Message, tag="dispatch", frozen=True):
    """Entry to agent: run this attempt.

    ``resume_from`` is the number of answer tokens that the caller already has. For
    requests that must not be repeated, ``key`` is set, ``claim_offset`` is the
    claim's offset in its log stream, and ``ticket_incarnation`` is the incarnation of
    the agent that the claim names. ``trace`` continues the log action of the request.
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
    """Entry to agent: stop this attempt; its frames are no longer wanted."""

    attempt_id: Identifier


class Attach(Message, tag="attach", frozen=True):
    """Entry to agent: send the attempt's frames from ``after_sequence`` on again."""

    attempt_id: Identifier
    after_sequence: int


class Acknowledge(Message, tag="ack", frozen=True):
    """Entry to agent: frames up to ``sequence`` need not be kept any longer."""

    attempt_id: Identifier
    sequence: int


class TicketRequest(Message, tag="ticket_request", frozen=True):
    """Entry to agent: promise to take one keyed request for a while."""

    key: Identifier


class Ticket(Message, tag="ticket", frozen=True):
    """Agent to entry: the promise, with its life on the agent's own clock."""

    key: Identifier
    incarnation: NonNegativeInt
    ticket_id: NonNegativeInt
    lifetime_ms: NonNegativeInt


class Tombstone(Message, tag="tombstone", frozen=True):
    """Entry to agent: never start this key if it has not been started."""

    key: Identifier
    claim_offset: int
    ticket_id: NonNegativeInt = 0
    incarnation: NonNegativeInt = 0


class Tombstoned(Message, tag="tombstoned", frozen=True):
    """Agent to entry: whether this incarnation had started the claim with this key.

    ``forgotten`` says that it cannot tell any more, or never could because the claim
    names another incarnation; it then counts as started.
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
    """Agent to entry: the attempt was not and will not be run."""

    attempt_id: Identifier
    reason: RefusalReason
    retry_after_ms: NonNegativeInt = 0


class Chunk(Message, tag="chunk", frozen=True):
    """Agent to entry: a piece of the answer, numbered from 0 within the attempt.

    The first chunk of a plain answer carries its HTTP status and content type.
    """

    attempt_id: Identifier
    sequence: NonNegativeInt
    data: bytes
    tokens: NonNegativeInt = 0
    status: int = 0
    content_type: str = ""


class End(Message, tag="end", frozen=True):
    """Agent to entry: the attempt is over, with the count and digest of its chunks.

    ``digest`` is the xxh3-64 of all chunk data in order.
    """

    attempt_id: Identifier
    outcome: AttemptOutcome
    chunks: NonNegativeInt
    tokens: NonNegativeInt
    digest: NonNegativeInt
    detail: str = ""


class Leaving(Message, tag="leaving", frozen=True):
    """Agent to entry: no new work from now on; running work will end."""

    incarnation: NonNegativeInt


class Ping(Message, tag="ping", frozen=True):
    """Either way: answer with a pong; bytes prove that the connection lives."""

    sequence: NonNegativeInt


class Pong(Message, tag="pong", frozen=True):
    """Answer to a ping."""

    sequence: NonNegativeInt


class Closing(Message, tag="closing", frozen=True):
    """Either way: why the sender closes this stream; nothing follows."""

    kind: str
    detail: str


class ConfigRequest(Message, tag="config_request", frozen=True):
    """Either way: send the configuration in force if it is newer than this version."""

    known_version: NonNegativeInt


class ConfigSnapshot(Message, tag="config_snapshot", frozen=True):
    """Answer to a config request: the version in force, its document as JSON.

    ``as_of`` is the last offset of the ``config`` stream that it takes account of.
    """

    version: NonNegativeInt
    document: bytes
    author: str
    time_s: float
    as_of: int


class GroupFrame(Message, tag="group", frozen=True):
    """Agent to agent of one group: a message from one rank to another.

    The agents of a group hold a stream to that of rank 0, which passes frames on.

    :param body: the message; see ``group_messages``.
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
