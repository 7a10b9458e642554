"""Interface through which the relays use a connected agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderrelay.state.call import Call
    from corianderrelay.state.claim_messages import TombstoneRequest

    from ..state.keyed_actions import SendDispatch
    from ..state.runner import Runner


class AgentPort(Protocol):
    """An agent with an open stream; each method sends it one message."""

    @property
    def runner(self) -> Runner:
        """State of the agent's runner."""

    def dispatch(self, attempt_id: str, call: Call, resume_from: int) -> None:
        """Dispatch the call to the agent's runner as this attempt.

        :param resume_from: number of answer tokens that the caller already received.
        """

    def cancel(self, attempt_id: str) -> None:
        """Cancel the attempt, because its answer is no longer needed."""

    def attach(self, attempt_id: str, after_sequence: int) -> None:
        """Request the attempt's frames after this sequence number again."""

    def acknowledge(self, attempt_id: str, sequence: int) -> None:
        """Acknowledge chunks up to ``sequence``; the agent may discard them."""

    def request_ticket(self, key: str) -> None:
        """Request a ticket for a scoped key."""

    def dispatch_keyed(self, call: Call, order: SendDispatch) -> None:
        """Dispatch a keyed call, whose claim holds its idempotency key."""

    def tombstone(self, order: TombstoneRequest) -> None:
        """Order the agent not to start a claim that it has not started yet."""


__all__ = ["AgentPort"]
