"""What an entry asks of an agent for a claim, and what the agent answers."""

from __future__ import annotations

from msgspec import Struct


class KeyTicket(Struct, frozen=True):
    """An agent's promise to take one dispatch of a key.

    ``lifetime_ms`` is its life on the agent's own clock, in milliseconds.
    """

    key: str
    incarnation: int
    ticket_id: int
    lifetime_ms: int


class StartOrder(Struct, frozen=True):
    """Start the claim's request; the claim holds its key."""

    key: str
    claim_offset: int
    incarnation: int
    ticket_id: int


class TombstoneRequest(Struct, frozen=True):
    """Never start the claim's request if it was not started."""

    key: str
    claim_offset: int
    ticket_id: int
    incarnation: int


class TombstoneReply(Struct, frozen=True):
    """Whether the claim's request was started, and how it ended.

    ``forgotten`` says that this incarnation cannot tell; it then counts as started.
    Status 0 stands for an end whose outcome is not known.
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
