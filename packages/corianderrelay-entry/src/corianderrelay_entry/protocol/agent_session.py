"""Translates between the messages of one agent's stream and the relays' events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec.structs import astuple, replace

from corianderrelay.protocol.messages import (
    PROTOCOL_VERSION,
    Accepted,
    Acknowledge,
    Attach,
    AttemptOutcome,
    Cancel,
    Chunk,
    ConfigRequest,
    ConfigSnapshot,
    Dispatch,
    End,
    Heartbeat,
    Hello,
    Leaving,
    Ping,
    Pong,
    Refused,
    Ticket,
    TicketRequest,
    Tombstone,
    Tombstoned,
)
from corianderrelay.state.answer_assembly import AnswerHead
from corianderrelay.state.claim_messages import KeyTicket, TombstoneReply
from corianderrelay.state.errors import FrameError
from corianderrelay.state.http_status import is_final_status

from ..state.runner import Runner

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.protocol.config_exchange import ConfigExchange
    from corianderrelay.protocol.message_stream import MessageStream
    from corianderrelay.protocol.messages import AnyMessage
    from corianderrelay.state.call import Call
    from corianderrelay.state.claim_messages import TombstoneRequest
    from corianderrelay.state.members import Members

    from ..coordination.keyed_relay import KeyedRelay
    from ..coordination.relay import Relay
    from ..state.entry_directory import EntryDirectory
    from ..state.keyed_actions import SendDispatch


class AgentSession:
    """The protocol session with one agent over one stream.

    :param relay: handles requests without an idempotency key.
    :param keyed: handles requests with an idempotency key.
    :param directory: records which entries agents report as leaving.
    :param config: exchanges configuration snapshots with the agent.
    :param members: membership state that receives the agent's heartbeats.
    :param stream: the connection to the agent.
    :param seconds: returns the monotonic time in seconds.
    :param expected_id: instance id that the platform's list gives for this address.
    :param stream_id: number of the stream, unique within this process.
    """

    def __init__(
        self,
        relay: Relay,
        keyed: KeyedRelay,
        directory: EntryDirectory,
        config: ConfigExchange,
        members: Members,
        stream: MessageStream,
        seconds: Callable[[], float],
        expected_id: str,
        stream_id: int,
    ) -> None:
        self._members = members
        self.expected_id = expected_id
        self.stream_id = stream_id
        self.opened_s = seconds()
        self._relay = relay
        self._keyed = keyed
        self._directory = directory
        self._config = config
        self._stream = stream
        self._seconds = seconds
        self._runner: Runner | None = None
        self._handlers_by_type: dict[type, Callable[[Any], None]] = {
            Hello: self._on_hello,
            Heartbeat: self._on_heartbeat,
            Leaving: self._on_leaving,
            Accepted: self._on_accepted,
            Refused: self._on_refused,
            Chunk: self._on_chunk,
            End: self._on_end,
            Ticket: self._on_ticket,
            Tombstoned: self._on_tombstoned,
            ConfigRequest: self._on_config_request,
            ConfigSnapshot: self._on_config_snapshot,
            Ping: self._on_ping,
            Pong: self._on_pong,
        }

    @property
    def runner(self) -> Runner:
        """The runner of this agent; available only after the agent's Hello."""
        assert self._runner is not None
        return self._runner

    @property
    def agent_id(self) -> str:
        """The agent's instance id; empty until its Hello is received."""
        return self._runner.instance_id if self._runner else ""

    def receive(self, message: AnyMessage) -> None:
        """Handle one message from the agent.

        :raises FrameError: agents don't send this type, it came before Hello, or the
            Hello doesn't match this stream or the protocol version.
        """
        handler = self._handlers_by_type.get(type(message))
        if handler is None or (self._runner is None and type(message) is not Hello):
            raise FrameError(
                f"an agent sent an unexpected message: {type(message).__name__}",
                "check that both sides run the same protocol version",
            )
        handler(message)
        self._members.bytes_received(self.agent_id, self.stream_id, self._seconds())

    def send(self, message: AnyMessage) -> None:
        """Send a message to the agent."""
        self._stream.send(message)

    def on_closed(self) -> None:
        """Report the closed stream to membership and the relays.

        The relays are not notified if a newer stream to the agent is open.
        """
        bound_stream_id = self.stream_id if self.agent_id else None
        self._members.stream_closed(self.expected_id, bound_stream_id, self._seconds())
        if self._relay.agents_by_id.get(self.agent_id) is self:
            self._relay.on_agent_disconnected(self.agent_id)
            self._keyed.on_agent_disconnected(self.agent_id)

    def dispatch(self, attempt_id: str, call: Call, resume_from: int) -> None:
        """Dispatch an attempt to the agent; see ``AgentPort``."""
        self._stream.send(self._build_dispatch(attempt_id, call, resume_from))

    def dispatch_keyed(self, call: Call, order: SendDispatch) -> None:
        """Dispatch a call whose claim holds its idempotency key; see ``AgentPort``."""
        message = replace(
            self._build_dispatch(order.nonce, call, 0),
            claim_offset=order.claim_offset,
            ticket_incarnation=order.incarnation,
            ticket_id=order.ticket_id,
        )
        self._stream.send(message)

    def request_ticket(self, key: str) -> None:
        """Request a ticket for an idempotency key; see ``AgentPort``."""
        self._stream.send(TicketRequest(key))

    def tombstone(self, order: TombstoneRequest) -> None:
        """Ask the agent to tombstone a claim; see ``AgentPort``."""
        self._stream.send(Tombstone(*astuple(order)))

    def _build_dispatch(
        self, attempt_id: str, call: Call, resume_from: int
    ) -> Dispatch:
        remaining_s = max(0.0, call.deadline_s - self._seconds())
        return Dispatch(
            attempt_id=attempt_id,
            request_id=call.request_id,
            workspace=call.workspace,
            service=call.service,
            method=call.method,
            path=call.path,
            content_type=call.content_type,
            body=call.body,
            deadline_ms=int(remaining_s * 1000),
            priority=call.priority,
            estimated_tokens=call.estimated_tokens,
            resume_from=resume_from,
            key=call.idempotency_key,
            trace=call.trace,
        )

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; see ``AgentPort``."""
        self._stream.send(Cancel(attempt_id))

    def attach(self, attempt_id: str, after_sequence: int) -> None:
        """Request the chunks after a sequence number again; see ``AgentPort``."""
        self._stream.send(Attach(attempt_id, after_sequence))

    def acknowledge(self, attempt_id: str, sequence: int) -> None:
        """Acknowledge chunks up to a sequence number; see ``AgentPort``."""
        self._stream.send(Acknowledge(attempt_id, sequence))

    def _on_hello(self, message: Hello) -> None:
        if message.protocol_version != PROTOCOL_VERSION:
            raise FrameError(
                f"the agent uses protocol version {message.protocol_version}",
                f"run a release with protocol version {PROTOCOL_VERSION} on both sides",
            )
        self._bind_member(message)
        self._runner = Runner(
            instance_id=message.instance_id,
            incarnation=message.incarnation,
            zone=message.zone,
            service=message.service,
            model=message.model,
            group=message.group,
            rank=message.rank,
            slots=message.slots,
            reported_s=self._seconds(),
        )
        self._relay.on_agent_ready(self)

    def _bind_member(self, message: Hello) -> None:
        """Bind the stream to its member; raise if the Hello doesn't match it."""
        bound = message.instance_id == self.expected_id and self._members.stream_opened(
            message.instance_id, self.stream_id, message.incarnation, self._seconds()
        )
        if not bound:
            raise FrameError(
                f"{message.instance_id} sent Hello on a stream to {self.expected_id}, "
                "or its incarnation is older than the known one",
                "correct the platform's list of instances",
            )

    def _on_heartbeat(self, message: Heartbeat) -> None:
        runner = self.runner
        runner.running = message.running
        runner.queued = message.queued
        runner.queued_tokens = message.queued_tokens
        runner.tokens_per_s = message.tokens_per_s
        runner.leaving = runner.leaving or message.leaving
        runner.engine_up = message.engine_up
        runner.reported_s = self._seconds()
        runner.dispatched = 0
        self._members.heartbeat_received(
            self.agent_id,
            self.stream_id,
            message.sequence,
            message.echo,
            message.leaving,
            runner.reported_s,
        )
        self._relay.routers.record_load(runner)
        self._directory.mark_leaving(message.leaving_entries, runner.reported_s)
        request = self._config.config_request(message.config_version, runner.reported_s)
        if request is not None:
            self._stream.send(request)

    def _on_config_request(self, message: ConfigRequest) -> None:
        snapshot = self._config.config_snapshot(message)
        if snapshot is not None:
            self._stream.send(snapshot)

    def _on_config_snapshot(self, message: ConfigSnapshot) -> None:
        self._config.adopt_snapshot(message)

    def _on_leaving(self, message: Leaving) -> None:
        self.runner.leaving = True
        self._members.leaving_received(self.agent_id, message.incarnation)

    def _on_accepted(self, message: Accepted) -> None:
        """Do nothing: the first Chunk or the End message carries the result."""

    def _on_ticket(self, message: Ticket) -> None:
        self._keyed.on_ticket(KeyTicket(*astuple(message)))

    def _on_tombstoned(self, message: Tombstoned) -> None:
        self._keyed.on_tombstoned(TombstoneReply(*astuple(message)))

    def _on_refused(self, message: Refused) -> None:
        if self._keyed.owns(message.attempt_id):
            self._keyed.on_refused(message.attempt_id, message.reason)
            return
        self._relay.on_refused(message.attempt_id, message.retry_after_ms / 1000)

    def _on_chunk(self, message: Chunk) -> None:
        if self._keyed.owns(message.attempt_id):
            self._keyed.on_chunk(
                message.attempt_id,
                message.sequence,
                message.data,
                message.status,
                message.content_type,
            )
            return
        if message.sequence == 0 and not is_final_status(message.status):
            # Agents of earlier versions pass on any number that the engine sends.
            self.cancel(message.attempt_id)
            reason = f"the status {message.status} is not valid"
            self._relay.on_failed(message.attempt_id, reason)
            return
        self._relay.on_chunk(
            message.attempt_id,
            message.sequence,
            message.data,
            message.tokens,
            AnswerHead(message.status, message.content_type),
        )

    def _on_end(self, message: End) -> None:
        if self._keyed.owns(message.attempt_id):
            self._keyed.on_end(
                message.attempt_id, message.outcome, message.chunks, message.digest
            )
            return
        if message.outcome is AttemptOutcome.DONE:
            self._relay.on_end(message.attempt_id, message.chunks, message.digest)
        elif message.outcome is AttemptOutcome.NOT_STARTED:
            self._relay.on_refused(message.attempt_id, 0.0)
        else:
            self._relay.on_failed(
                message.attempt_id, message.detail or message.outcome.value
            )

    def _on_ping(self, message: Ping) -> None:
        self._stream.send(Pong(message.sequence))

    def _on_pong(self, message: Pong) -> None:
        """Do nothing: ``receive`` has already recorded that the connection is alive."""


__all__ = ["AgentSession"]
