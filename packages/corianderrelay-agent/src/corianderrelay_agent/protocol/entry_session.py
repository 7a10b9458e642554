"""Session with one entry: handles its messages and sends it the answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec.structs import astuple
from result import Err

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
    Ping,
    Pong,
    RefusalReason,
    Refused,
    Ticket,
    TicketRequest,
    Tombstone,
    Tombstoned,
)
from corianderrelay.state.claim_messages import TombstoneRequest
from corianderrelay.state.errors import (
    DeadlineExceededError,
    FrameError,
    OverloadedError,
    Ran,
)

from ..state.attempt import AttemptOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.protocol.config_exchange import ConfigExchange
    from corianderrelay.protocol.message_stream import MessageStream
    from corianderrelay.protocol.messages import AnyMessage
    from corianderrelay.state.errors import RelayError
    from corianderrelay.state.expiring_marks import ExpiringMarks

    from ..coordination.attempt_scheduler import AttemptScheduler
    from ..state.attempt import AnswerChunk, Attempt


class EntrySession:
    """Handles the messages of one entry on one stream; implements ``EntryChannel``.

    :param incarnation: identifies this run of the agent process.
    :param seconds: returns the monotonic time in seconds.
    :param leaving_entries: records the entries that announce their shutdown.
    :param config: exchanges configuration versions with the entry.
    :param build_heartbeat: builds the heartbeat that echoes the given sequence number.
    """

    def __init__(
        self,
        scheduler: AttemptScheduler,
        stream: MessageStream,
        incarnation: int,
        seconds: Callable[[], float],
        leaving_entries: ExpiringMarks,
        config: ConfigExchange,
        build_heartbeat: Callable[[int], Heartbeat],
    ) -> None:
        self._build_heartbeat = build_heartbeat
        self._scheduler = scheduler
        self._stream = stream
        self._incarnation = incarnation
        self._seconds = seconds
        self._leaving_entries = leaving_entries
        self._config = config
        self.entry_id = ""
        self.echo_sequence = 0
        self.heartbeat_answered = False
        self._handlers_by_type: dict[type, Callable[[Any], None]] = {
            Hello: self._on_hello,
            Heartbeat: self._on_heartbeat,
            Dispatch: self._on_dispatch,
            Cancel: self._on_cancel,
            Acknowledge: self._on_acknowledge,
            Attach: self._on_attach,
            TicketRequest: self._on_ticket_request,
            Tombstone: self._on_tombstone,
            ConfigRequest: self._on_config_request,
            ConfigSnapshot: self._on_config_snapshot,
            Ping: self._on_ping,
            Pong: self._on_pong,
        }

    def receive(self, message: AnyMessage) -> None:
        """Handle one message from the entry.

        :raises FrameError: entries may not send this message, or not before ``Hello``.
        """
        handler = self._handlers_by_type.get(type(message))
        if handler is None or (not self.entry_id and type(message) is not Hello):
            raise FrameError(
                f"an entry sent an unexpected {type(message).__name__} message",
                "check that both sides run the same protocol version",
            )
        handler(message)

    def on_stream_closed(self) -> None:
        """Mark the entry as disconnected unless a newer stream replaced this one."""
        if self._scheduler.entries_by_id.get(self.entry_id) is self:
            self._scheduler.on_entry_disconnected(self.entry_id)

    def send_accepted(self, attempt: Attempt) -> None:
        """Report that the attempt is accepted; see ``EntryChannel``."""
        self._stream.send(Accepted(attempt.order.attempt_id, self._incarnation))

    def send_refused(self, attempt_id: str, error: RelayError) -> None:
        """Report that the attempt is refused; see ``EntryChannel``."""
        retry_after_ms = int((error.retry_after_s or 0.0) * 1000)
        self._stream.send(Refused(attempt_id, _refusal_reason(error), retry_after_ms))

    def send_chunk(self, attempt: Attempt, chunk: AnswerChunk) -> None:
        """Send a chunk of the answer; see ``EntryChannel``."""
        self._stream.send(
            Chunk(
                attempt.order.attempt_id,
                chunk.sequence,
                chunk.data,
                chunk.tokens,
                chunk.status,
                chunk.content_type,
            )
        )

    def send_done(self, attempt: Attempt) -> None:
        """Report that the answer is complete; see ``EntryChannel``."""
        self._stream.send(_end_message(attempt, AttemptOutcome.DONE, ""))

    def send_failed(self, attempt: Attempt, error: RelayError) -> None:
        """Report that the engine failed; see ``EntryChannel``."""
        outcome = (
            AttemptOutcome.NOT_STARTED
            if error.ran is Ran.NO
            else AttemptOutcome.ENGINE_DIED
        )
        self._stream.send(_end_message(attempt, outcome, error.message))

    def _on_hello(self, message: Hello) -> None:
        if message.protocol_version != PROTOCOL_VERSION:
            raise FrameError(
                f"the entry uses protocol version {message.protocol_version}",
                f"run a release with protocol version {PROTOCOL_VERSION} on both sides",
            )
        self.entry_id = message.instance_id
        self._scheduler.on_entry_connected(self, self.entry_id)

    def _on_heartbeat(self, message: Heartbeat) -> None:
        self.echo_sequence = max(self.echo_sequence, message.sequence)
        self.heartbeat_answered = True
        self._stream.send(self._build_heartbeat(self.echo_sequence))
        if message.leaving:
            self._leaving_entries.mark([self.entry_id], self._seconds())
        else:
            self._leaving_entries.clear(self.entry_id)
        request = self._config.config_request(message.config_version, self._seconds())
        if request is not None:
            self._stream.send(request)

    def _on_config_request(self, message: ConfigRequest) -> None:
        config_snapshot = self._config.config_snapshot(message)
        if config_snapshot is not None:
            self._stream.send(config_snapshot)

    def _on_config_snapshot(self, message: ConfigSnapshot) -> None:
        self._config.adopt_snapshot(message)

    def _on_dispatch(self, message: Dispatch) -> None:
        order = AttemptOrder(
            attempt_id=message.attempt_id,
            request_id=message.request_id,
            workspace=message.workspace,
            service=message.service,
            method=message.method,
            path=message.path,
            content_type=message.content_type,
            body=message.body,
            deadline_s=self._seconds() + message.deadline_ms / 1000,
            priority=message.priority,
            estimated_tokens=message.estimated_tokens,
            resume_from=message.resume_from,
            key=message.key,
            claim_offset=message.claim_offset,
            ticket_incarnation=message.ticket_incarnation,
            ticket_remaining_s=message.ticket_remaining_ms / 1000,
            ticket_id=message.ticket_id,
            alone=message.alone,
            trace=message.trace,
        )
        if message.key and not self._admit_keyed(order):
            return
        self._scheduler.submit(order, self.entry_id)

    def _admit_keyed(self, order: AttemptOrder) -> bool:
        """Admit a keyed attempt; if it may not start, send the refusal to the entry."""
        refusal = self._scheduler.admission_error(order)
        reason = _refusal_reason(refusal) if refusal else None
        admitted = self._scheduler.keyed_attempts.admit(order, reason)
        if isinstance(admitted, Err):
            self._stream.send(Refused(order.attempt_id, admitted.err_value))
            return False
        return True

    def _on_ticket_request(self, message: TicketRequest) -> None:
        if self._scheduler.leaving:
            self._stream.send(Refused(message.key, RefusalReason.LEAVING))
            return
        granted = self._scheduler.keyed_attempts.issue_ticket(message.key)
        if isinstance(granted, Err):
            self._stream.send(Refused(message.key, granted.err_value))
        else:
            self._stream.send(Ticket(*astuple(granted.ok_value)))

    def _on_tombstone(self, message: Tombstone) -> None:
        tombstone_request = TombstoneRequest(
            message.key, message.claim_offset, message.ticket_id, message.incarnation
        )
        reply = self._scheduler.keyed_attempts.tombstone(tombstone_request)
        self._stream.send(Tombstoned(*astuple(reply)))

    def _on_cancel(self, message: Cancel) -> None:
        self._scheduler.cancel(message.attempt_id)

    def _on_acknowledge(self, message: Acknowledge) -> None:
        self._scheduler.acknowledge(message.attempt_id, message.sequence)

    def _on_attach(self, message: Attach) -> None:
        attempt = self._scheduler.find_attempt(message.attempt_id)
        if attempt is None:
            reason = RefusalReason.STALE_INCARNATION
            self._stream.send(Refused(message.attempt_id, reason))
            return
        for chunk in attempt.chunks_after(message.after_sequence):
            self.send_chunk(attempt, chunk)
        if attempt.failure is not None:
            self.send_failed(attempt, attempt.failure)
        elif attempt.ended_at_s is not None:
            self.send_done(attempt)

    def _on_ping(self, message: Ping) -> None:
        self._stream.send(Pong(message.sequence))

    def _on_pong(self, message: Pong) -> None:
        """Do nothing: receiving the bytes already counts as activity on the stream."""


def _refusal_reason(error: RelayError) -> RefusalReason:
    if isinstance(error, (OverloadedError, DeadlineExceededError)):
        return RefusalReason.OVERLOADED
    return RefusalReason.LEAVING


def _end_message(attempt: Attempt, outcome: AttemptOutcome, detail: str) -> End:
    return End(
        attempt.order.attempt_id,
        outcome,
        attempt.next_sequence,
        attempt.tokens,
        attempt.digest,
        detail,
    )


__all__ = ["EntrySession"]
