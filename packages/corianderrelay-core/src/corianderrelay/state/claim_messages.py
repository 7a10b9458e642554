"""Messages between an entry and an agent about a claimed request."""

from __future__ import annotations

from msgspec import Struct


class KeyTicket(Struct, frozen=True):
    """An agent's permission to dispatch one request with this key to it.

    ``incarnation`` is the agent process that granted the ticket. ``lifetime_ms`` is the
    ticket's validity in milliseconds, measured by the agent's clock.
    """

    key: str
    incarnation: int
    ticket_id: int
    lifetime_ms: int


class StartOrder(Struct, frozen=True):
    """Asks the agent to start the request of the claim that holds the key.

    ``claim_offset`` is the claim's offset in its stream; ``incarnation`` and
    ``ticket_id`` come from the agent's ticket.
    """

    key: str
    claim_offset: int
    incarnation: int
    ticket_id: int


class TombstoneRequest(Struct, frozen=True):
    """Asks the agent never to start the claim's request if it has not started it."""

    key: str
    claim_offset: int
    ticket_id: int
    incarnation: int


class TombstoneReply(Struct, frozen=True):
    """Reports whether the claim's request was started, and with what result.

    ``forgotten`` means that this incarnation cannot tell whether the request was
    started; it then counts as started. ``status`` is 0 if the outcome is unknown.
    ``body_kept`` is false if the agent did not keep the body of the answer.
    """

    key: str
    incarnation: int
    started: bool
    finished: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    claim_offset: int = -1
    forgotten: bool = False
    body_kept: bool = True


__all__ = ["KeyTicket", "StartOrder", "TombstoneReply", "TombstoneRequest"]
