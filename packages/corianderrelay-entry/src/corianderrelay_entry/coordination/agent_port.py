"""What the relay needs of a connected agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderrelay.state.call import Call
    from corianderrelay.state.claim_orders import StopOrder

    from ..state.keyed_actions import SendDispatch
    from ..state.runner import Runner


class AgentPort(Protocol):
    """One agent with an open stream."""

    @property
    def runner(self) -> Runner:
        """What is known of the agent's runner."""

    def dispatch(self, attempt_id: str, call: Call, resume_from: int) -> None:
        """Ask the agent to run the call as this attempt.

        :param resume_from: number of answer tokens that the caller already has.
        """

    def cancel(self, attempt_id: str) -> None:
        """Tell the agent that the attempt's answer is no longer wanted."""

    def attach(self, attempt_id: str, after_sequence: int) -> None:
        """Ask the agent for the attempt's frames after this sequence again."""

    def acknowledge(self, attempt_id: str, sequence: int) -> None:
        """Tell the agent that chunks up to ``sequence`` need not be kept."""

    def request_ticket(self, key: str) -> None:
        """Ask the agent for a ticket for a scoped key."""

    def dispatch_keyed(self, call: Call, order: SendDispatch) -> None:
        """Ask the agent to run a call whose claim holds its key."""

    def tombstone(self, order: StopOrder) -> None:
        """Ask the agent to stop a claim that it has not started."""


__all__ = ["AgentPort"]
