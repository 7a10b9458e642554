"""Relays keyed calls, which run at most once, by executing their actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import eliot

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.state.attempt_outcome import AttemptOutcome, RefusalReason
from corianderrelay.state.audit import settlement_audit_record
from corianderrelay.state.claim_keys import (
    key_date,
    key_partition,
    request_digest,
    scoped_key,
)
from corianderrelay.state.claims import ClaimFold
from corianderrelay.state.errors import UnavailableError

from ..state.keyed_actions import (
    AppendRecord,
    AuditSettlement,
    KeyedCall,
    RequestTicket,
    SendAnswer,
    SendDispatch,
    SendError,
    SendTombstone,
)
from ..state.keyed_requests import KeyedRequests
from ..state.open_request import OpenRequest, RequestPhase
from .claims_stream import ClaimsStream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from corianderrelay.coordination.audit_writer import AuditWriter
    from corianderrelay.coordination.clock import Clock
    from corianderrelay.coordination.log_client import LogClient
    from corianderrelay.state.call import Call
    from corianderrelay.state.claim_messages import KeyTicket, TombstoneReply
    from corianderrelay.state.claim_records import ClaimRecord, Outcome

    from ..state.keyed_actions import Action
    from ..state.keyed_limits import KeyedLimits
    from .agent_port import AgentPort
    from .answer_sink import AnswerSink

CLAIMS_PARTITIONS = 4
_TICK_INTERVAL_S = 0.5
_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _OpenKeyedCall:
    """A keyed call and its answer; ``sink`` is ``None`` if its caller disconnected."""

    request: OpenRequest
    sink: AnswerSink | None
    status: int = 0
    content_type: str = ""
    parts: list[bytes] = field(default_factory=list)
    nonces: list[str] = field(default_factory=list)


class KeyedRelay:
    """Runs the keyed requests of this entry; partitions them by key over the streams.

    :param agents_by_id: the connected agents; its owner keeps it up to date.
    :param wall_seconds: returns the wall-clock time in seconds since 1970.
    :param nonces: yields unique nonces.
    :param audit: writes the settlements of this entry to the audit log.
    """

    def __init__(
        self,
        entry_id: str,
        limits: KeyedLimits,
        log: LogClient,
        clock: Clock,
        agents_by_id: Mapping[str, AgentPort],
        wall_seconds: Callable[[], float],
        nonces: Iterator[str],
        audit: AuditWriter,
    ) -> None:
        self._entry_id = entry_id
        self._audit = audit
        self._clock = clock
        self._wall_seconds = wall_seconds
        self._agents_by_id = agents_by_id
        self._partitions = [
            KeyedRequests(entry_id, limits, ClaimFold(), nonces)
            for _ in range(CLAIMS_PARTITIONS)
        ]
        self._streams = [
            ClaimsStream(
                log, clock, f"claims-{number}", requests, self._execute, next(nonces)
            )
            for number, requests in enumerate(self._partitions)
        ]
        self._open_by_id: dict[str, _OpenKeyedCall] = {}
        self._id_by_nonce: dict[str, str] = {}
        self._ticket_request_id_by_key: dict[str, str] = {}
        self._tick = Periodic(clock, self._on_tick)

    @property
    def open_requests(self) -> int:
        """Number of requests that have not been answered yet."""
        return len(self._open_by_id)

    def start(self) -> None:
        """Start to read the claims streams and to process timeouts."""
        for stream in self._streams:
            stream.start()
        self._tick.start(_TICK_INTERVAL_S)

    def stop(self) -> None:
        """Stop reading the claims streams and processing timeouts."""
        for stream in self._streams:
            stream.stop()
        self._tick.stop()

    def submit(self, call: Call, sink: AnswerSink, now: float) -> OpenRequest:
        """Run a call at most once per key, and send its answer to ``sink``."""
        request = OpenRequest(call, now)
        runner_id = self._choose_runner(call.service)
        if runner_id is None:
            request.end(RequestPhase.FAILED)
            sink.fail(_runner_unavailable_error(call.service))
            return request
        keyed = KeyedCall(
            request_id=call.request_id,
            key=scoped_key(call.workspace, call.service, call.idempotency_key),
            digest=request_digest(call.method, call.path, call.body),
            workspace=call.workspace,
            service=call.service,
            runner_id=runner_id,
            deadline=call.deadline_s,
            dated_s=key_date(call.idempotency_key),
        )
        self._open_by_id[call.request_id] = _OpenKeyedCall(request, sink)
        requests = self._partition_of_key(keyed.key)
        self._execute(requests, requests.submit(keyed, now, self._wall_seconds()))
        return request

    def abandon(self, request: OpenRequest) -> None:
        """Detach a disconnected caller; its request continues and is recorded."""
        opened = self._open_by_id.get(request.call.request_id)
        if opened is not None:
            opened.sink = None

    def owns(self, nonce_or_key: str) -> bool:
        """Whether this attempt id or scoped key belongs to a keyed request."""
        return (
            nonce_or_key in self._id_by_nonce
            or nonce_or_key in self._ticket_request_id_by_key
        )

    def on_ticket(self, ticket: KeyTicket) -> None:
        """Process a ticket that an agent granted."""
        request_id = self._ticket_request_id_by_key.pop(ticket.key, "")
        requests = self._partition_of_key(ticket.key)
        actions = requests.on_ticket_granted(
            request_id, ticket, self._clock.seconds(), self._wall_seconds()
        )
        self._execute(requests, actions)

    def on_tombstoned(self, reply: TombstoneReply) -> None:
        """Process an agent's reply to a tombstone."""
        requests = self._partition_of_key(reply.key)
        self._execute(
            requests, requests.on_tombstone_reply(reply, self._clock.seconds())
        )

    def on_refused(self, nonce_or_key: str, reason: RefusalReason) -> None:
        """Process an agent's refusal of a ticket (by key) or attempt (by nonce)."""
        if nonce_or_key in self._ticket_request_id_by_key:
            requests = self._partition_of_key(nonce_or_key)
            request_id = self._ticket_request_id_by_key.pop(nonce_or_key)
            self._execute(requests, requests.on_ticket_refused(request_id))
            return
        requests = self._partition_of_attempt(nonce_or_key)
        now = self._clock.seconds()
        self._execute(requests, requests.on_dispatch_refused(nonce_or_key, reason, now))

    def on_chunk(
        self, nonce: str, sequence: int, data: bytes, status: int, content_type: str
    ) -> None:
        """Collect a chunk of an answer; ignore one that is late or a duplicate."""
        opened = self._open_by_id[self._id_by_nonce[nonce]]
        request = opened.request
        if request.attempt_id != nonce or sequence != request.next_sequence:
            return
        if sequence == 0:
            opened.status = status
            opened.content_type = content_type
        request.add_chunk(data, 0)
        opened.parts.append(data)

    def on_end(
        self, nonce: str, outcome: AttemptOutcome, chunks: int, digest: int
    ) -> None:
        """Process the end of an attempt; settle the claim of an incomplete answer."""
        requests = self._partition_of_attempt(nonce)
        opened = self._open_by_id[self._id_by_nonce[nonce]]
        now = self._clock.seconds()
        complete = opened.request.is_complete(chunks, digest)
        if outcome is AttemptOutcome.DONE and not complete:
            # The agent may have the whole answer, so a tombstone settles the claim.
            reason = RefusalReason.STALE_INCARNATION
            self._execute(requests, requests.on_dispatch_refused(nonce, reason, now))
            return
        body = b"".join(opened.parts)
        actions = requests.on_attempt_ended(
            nonce, outcome, opened.status, opened.content_type, body, now
        )
        self._execute(requests, actions)

    def on_agent_disconnected(self, runner_id: str) -> None:
        """Settle the claims of a disconnected agent's attempts: they may have run."""
        affected = [
            nonce
            for nonce, request_id in self._id_by_nonce.items()
            if self._open_by_id[request_id].request.runner_id == runner_id
        ]
        for nonce in affected:
            requests = self._partition_of_attempt(nonce)
            # This reason leaves open whether the request ran, so the claim is settled.
            reason = RefusalReason.STALE_INCARNATION
            now = self._clock.seconds()
            self._execute(requests, requests.on_dispatch_refused(nonce, reason, now))

    def _on_tick(self) -> None:
        for requests in self._partitions:
            actions = requests.tick(self._clock.seconds(), self._wall_seconds())
            self._execute(requests, actions)

    def _partition_of_key(self, key: str) -> KeyedRequests:
        return self._partitions[key_partition(key, CLAIMS_PARTITIONS)]

    def _partition_of_attempt(self, nonce: str) -> KeyedRequests:
        call = self._open_by_id[self._id_by_nonce[nonce]].request.call
        key = scoped_key(call.workspace, call.service, call.idempotency_key)
        return self._partition_of_key(key)

    def _choose_runner(self, service: str) -> str | None:
        runners = (agent.runner for agent in self._agents_by_id.values())
        usable = [one for one in runners if one.usable and one.service == service]
        best = min(usable, key=lambda runner: runner.load, default=None)
        return best.instance_id if best else None

    def _execute(self, requests: KeyedRequests, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case RequestTicket():
                    self._request_ticket(requests, action)
                case AppendRecord(record):
                    self._streams[self._partitions.index(requests)].append(record)
                case SendDispatch():
                    self._dispatch(requests, action)
                case SendTombstone(runner_id, order):
                    agent = self._agents_by_id.get(runner_id)
                    if agent is not None:
                        agent.tombstone(order)
                case SendAnswer():
                    self._send_answer(action)
                case SendError():
                    self._send_error(action)
                case AuditSettlement(claim, outcome):
                    self._write_settlement(claim, outcome)

    def _request_ticket(self, requests: KeyedRequests, action: RequestTicket) -> None:
        agent = self._agents_by_id.get(action.runner_id)
        if agent is None:
            self._execute(requests, requests.on_ticket_refused(action.request_id))
            return
        self._ticket_request_id_by_key[action.key] = action.request_id
        agent.request_ticket(action.key)

    def _dispatch(self, requests: KeyedRequests, action: SendDispatch) -> None:
        agent = self._agents_by_id.get(action.runner_id)
        opened = self._open_by_id[action.request_id]
        self._id_by_nonce[action.nonce] = action.request_id
        opened.nonces.append(action.nonce)
        if agent is None:
            # The dispatch was not sent, so the attempt cannot have started.
            reason = RefusalReason.LEAVING
            now = self._clock.seconds()
            self._execute(
                requests, requests.on_dispatch_refused(action.nonce, reason, now)
            )
            return
        opened.request.begin_attempt(action.nonce, action.runner_id)
        opened.parts.clear()
        agent.dispatch_keyed(opened.request.call, action)

    def _send_answer(self, action: SendAnswer) -> None:
        opened = self._close(action.request_id)
        opened.request.end(RequestPhase.DONE)
        if opened.sink is not None:
            opened.sink.start(action.status, action.content_type)
            opened.sink.write(action.body)
            opened.sink.finish()

    def _send_error(self, action: SendError) -> None:
        opened = self._close(action.request_id)
        opened.request.end(RequestPhase.FAILED)
        eliot.log_message(
            message_type="keyed:not_answered",
            request_id=action.request_id,
            kind=action.error.kind,
            ran=action.error.ran.value,
        )
        if opened.sink is not None:
            opened.sink.fail(action.error)

    def _write_settlement(self, claim: ClaimRecord, outcome: Outcome) -> None:
        stream = f"claims-{key_partition(claim.key, CLAIMS_PARTITIONS)}"
        now_s = self._wall_seconds()
        self._audit.write(
            settlement_audit_record(claim, outcome, self._entry_id, stream, now_s)
        )

    def _close(self, request_id: str) -> _OpenKeyedCall:
        opened = self._open_by_id.pop(request_id)
        call = opened.request.call
        key = scoped_key(call.workspace, call.service, call.idempotency_key)
        if self._ticket_request_id_by_key.get(key) == request_id:
            del self._ticket_request_id_by_key[key]
        for nonce in opened.nonces:
            del self._id_by_nonce[nonce]
        return opened


def _runner_unavailable_error(service: str) -> UnavailableError:
    return UnavailableError(
        f"no endpoint of service {service!r} is available, so this call was not run",
        f"retry with the same idempotency key after {_RETRY_AFTER_S:.0f} s",
        retry_after_s=_RETRY_AFTER_S,
    )


__all__ = ["CLAIMS_PARTITIONS", "KeyedRelay"]
