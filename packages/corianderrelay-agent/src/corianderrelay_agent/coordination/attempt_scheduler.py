"""Admits and queues attempts, runs them on the engine and sends answers to entries."""

from __future__ import annotations

import itertools
from collections import deque
from typing import TYPE_CHECKING

import eliot

from corianderrelay.state.errors import (
    DeadlineExceededError,
    EndpointFailedError,
    OverloadedError,
    RelayError,
    UnavailableError,
)

from ..state.answer_limits import (
    PAUSE_BYTES,
    RESUME_BYTES,
    largest_beyond_limit,
    too_long_reason,
)
from ..state.attempt import Attempt, AttemptPhase
from ..state.engine_pace import EnginePace
from .attempt_answer_sink import AttemptAnswerSink
from .engine_call import build_engine_call

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.coordination.clock import Clock, DelayedCall

    from ..state.attempt import AttemptOrder
    from ..state.engine_pace import EngineStatement
    from ..state.settings import EndpointSettings
    from .engine import Engine, RunningCall
    from .entry_channel import EntryChannel
    from .keyed_attempts import KeyedAttempts

_LEAVING_RETRY_AFTER_S = 0.0
_MIN_RUN_S = 0.1  # an attempt that starts just before its deadline is of no use


class AttemptScheduler:
    """Holds this agent's queued and running attempts and unacknowledged answers.

    :param endpoint: service name, slots and queue length of the endpoint.
    :param clock: monotonic time and delayed calls.
    :param keyed_attempts: handles attempts with an idempotency key, which run at most
        once.
    :param on_call_failed: called when the engine has failed an attempt.
    """

    def __init__(
        self,
        engine: Engine,
        endpoint: EndpointSettings,
        clock: Clock,
        keyed_attempts: KeyedAttempts,
        on_call_failed: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._endpoint = endpoint
        self._seconds = clock.seconds
        self._clock = clock
        self._pace = EnginePace(endpoint.requests_per_s, clock.seconds())
        self._next_start: DelayedCall | None = None
        self.keyed_attempts = keyed_attempts
        self._on_call_failed = on_call_failed
        self._queue: deque[Attempt] = deque()
        self._call_by_attempt_id: dict[str, RunningCall] = {}
        self.attempts_by_id: dict[str, Attempt] = {}
        self.finished_by_id: dict[str, Attempt] = {}
        self._disconnected_at_by_entry_id: dict[str, float] = {}
        self.entries_by_id: dict[str, EntryChannel] = {}
        self.leaving = False

    @property
    def running(self) -> int:
        """Number of attempts that run on the engine."""
        return len(self._call_by_attempt_id)

    @property
    def queued(self) -> int:
        """Number of attempts that wait for a free slot."""
        return len(self._queue)

    @property
    def queued_tokens(self) -> int:
        """Estimated tokens of the queued attempts."""
        return sum(attempt.order.estimated_tokens for attempt in self._queue)

    def submit(self, order: AttemptOrder, entry_id: str) -> None:
        """Queue the attempt, or refuse it immediately.

        Sends the entry either ``accepted`` or ``refused``.
        """
        entry = self.entries_by_id[entry_id]
        refusal = self.admission_error(order)
        if refusal is not None:
            entry.send_refused(order.attempt_id, refusal)
            return
        attempt = Attempt(order, entry_id)
        self.attempts_by_id[order.attempt_id] = attempt
        self._queue.append(attempt)
        entry.send_accepted(attempt)
        self._start_queued()

    @property
    def pending(self) -> int:
        """Number of attempts that are queued, running or not fully acknowledged."""
        return len(self.attempts_by_id) + len(self.finished_by_id)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt whose answer the entry no longer needs.

        A keyed attempt that is already running on the engine runs to its end.
        """
        self.finished_by_id.pop(attempt_id, None)
        attempt = self.attempts_by_id.get(attempt_id)
        if attempt is None or (
            attempt.order.key and attempt_id in self._call_by_attempt_id
        ):
            return
        del self.attempts_by_id[attempt_id]
        if attempt.order.key:
            self.keyed_attempts.on_withdrawal(attempt)
        attempt.phase = AttemptPhase.ENDED
        call = self._call_by_attempt_id.pop(attempt_id, None)
        if call is not None:
            call.cancel()
        else:
            self._queue = deque(item for item in self._queue if item is not attempt)
        self._start_queued()

    def acknowledge(self, attempt_id: str, sequence: int) -> None:
        """Drop the chunks up to ``sequence``, which the entry has received.

        A sequence beyond the last chunk acknowledges the end of the answer as well.
        """
        attempt = self.find_attempt(attempt_id)
        if attempt is None:
            return
        attempt.acknowledge(sequence)
        call = self._call_by_attempt_id.get(attempt_id)
        if call and attempt.paused and attempt.unacknowledged_bytes <= RESUME_BYTES:
            attempt.paused = False
            call.resume()
        if attempt.ended_at_s is not None and sequence >= attempt.next_sequence:
            self.finished_by_id.pop(attempt_id, None)

    def find_attempt(self, attempt_id: str) -> Attempt | None:
        """Return a queued, running or unacknowledged attempt; ``None`` if unknown."""
        attempt = self.attempts_by_id.get(attempt_id)
        return attempt if attempt is not None else self.finished_by_id.get(attempt_id)

    def on_entry_connected(self, entry: EntryChannel, entry_id: str) -> None:
        """Register the entry's stream; it may replace one that stopped responding."""
        self.entries_by_id[entry_id] = entry
        self._disconnected_at_by_entry_id.pop(entry_id, None)

    def expire_attempts(self, retention_s: float) -> None:
        """Cancel or remove attempts whose entry did not reattach in time.

        Attempts of an entry that has been disconnected for ``retention_s`` are
        cancelled. Unacknowledged finished attempts are removed at the same age.

        :param retention_s: how long attempts are kept for their entry, in seconds.
        """
        cutoff_s = self._seconds() - retention_s
        expired_entry_ids = [
            name
            for name, at in self._disconnected_at_by_entry_id.items()
            if at <= cutoff_s
        ]
        for entry_id in expired_entry_ids:
            del self._disconnected_at_by_entry_id[entry_id]
            for attempt_id in self._attempt_ids_of(entry_id):
                self.cancel(attempt_id)
        expired_attempt_ids = [
            attempt_id
            for attempt_id, attempt in self.finished_by_id.items()
            if attempt.ended_at_s is not None and attempt.ended_at_s <= cutoff_s
        ]
        for attempt_id in expired_attempt_ids:
            del self.finished_by_id[attempt_id]

    def on_entry_disconnected(self, entry_id: str) -> None:
        """Keep the entry's attempts until they expire, so that it can reattach to them.

        Queued keyed attempts are cancelled, because their claims are settled by
        tombstone requests. Running keyed attempts continue.
        """
        self.entries_by_id.pop(entry_id, None)
        self._disconnected_at_by_entry_id[entry_id] = self._seconds()
        for attempt_id in self._attempt_ids_of(entry_id):
            if self.attempts_by_id[attempt_id].order.key:
                self.cancel(attempt_id)

    def _attempt_ids_of(self, entry_id: str) -> list[str]:
        return [
            attempt_id
            for attempt_id, attempt in self.attempts_by_id.items()
            if attempt.entry_id == entry_id
        ]

    def on_statement(self, attempt: Attempt, statement: EngineStatement) -> None:
        """Record what the engine states of itself."""
        now = self._seconds()
        if self._pace.on_statement(statement, attempt.started_at_s, now):
            eliot.log_message(
                message_type="agent:engine_states",
                per_s=self._pace.limit_per_s,
                rest_s=statement.rest_s,
                attempt=attempt.order.attempt_id,
            )
            self._start_queued()

    def on_head(self, attempt: Attempt, status: int, content_type: str) -> None:
        """Record the HTTP status and content type of the engine's answer."""
        attempt.status = status
        attempt.content_type = content_type

    def on_data(self, attempt: Attempt, data: bytes, tokens: int) -> None:
        """Number the next part of the engine's answer and send it to the entry."""
        if attempt.phase is AttemptPhase.ENDED:
            return
        chunk = attempt.add_chunk(data, tokens)
        if attempt.order.key:
            self.keyed_attempts.on_data(attempt, data)
        entry = self.entries_by_id.get(attempt.entry_id)
        if entry is not None:
            entry.send_chunk(attempt, chunk)
        self._check_lengths(attempt)

    def _check_lengths(self, attempt: Attempt) -> None:
        reason = too_long_reason(attempt)
        if reason is not None:
            self.on_too_long(attempt, reason)
        elif attempt.unacknowledged_bytes >= PAUSE_BYTES:
            self._pause(attempt)

    def _pause(self, attempt: Attempt) -> None:
        """Stop reading an answer; fail the largest if all together are too large."""
        call = self._call_by_attempt_id.get(attempt.order.attempt_id)
        # Answers with a key are acknowledged only when they are complete.
        if call is not None and not attempt.order.key and not attempt.paused:
            attempt.paused = True
            call.pause()
        kept = itertools.chain(
            self.attempts_by_id.values(), self.finished_by_id.values()
        )
        largest = largest_beyond_limit(kept)
        if largest is not None:
            reason = "its entry does not acknowledge the bytes of its answer"
            self.on_too_long(largest, reason)

    def on_too_long(self, attempt: Attempt, reason: str) -> None:
        """Cancel the call and fail an attempt whose answer exceeds a limit."""
        attempt_id = attempt.order.attempt_id
        eliot.log_message(
            message_type="agent:answer_cut",
            attempt=attempt_id,
            reason=reason,
            unacknowledged_bytes=attempt.unacknowledged_bytes,
        )
        if self.finished_by_id.pop(attempt_id, None) is not None:
            return
        call = self._call_by_attempt_id.get(attempt_id)
        if call is not None:
            call.cancel()
        error = EndpointFailedError(
            reason, "check the engine; use a streamed request for long answers"
        )
        self.on_failure(attempt, error)

    def on_done(self, attempt: Attempt) -> None:
        """Record that the engine's answer is complete and notify the entry."""
        if attempt.next_sequence == 0:
            self.on_data(attempt, b"", 0)
        if attempt.order.key:
            self.keyed_attempts.on_done(attempt)
        entry = self._record_end(attempt)
        if entry is not None:
            entry.send_done(attempt)

    def on_failure(self, attempt: Attempt, error: RelayError) -> None:
        """Record that the engine failed before its answer was complete."""
        if attempt.order.key:
            self.keyed_attempts.on_failure(attempt, error)
        attempt.failure = error
        self._on_call_failed()
        entry = self._record_end(attempt)
        if entry is not None:
            entry.send_failed(attempt, error)

    def admission_error(self, order: AttemptOrder) -> RelayError | None:
        """Return why the attempt cannot be accepted now; ``None`` if it can."""
        if self.leaving:
            return UnavailableError(
                "the instance is shutting down",
                "send the request to another endpoint",
                retry_after_s=_LEAVING_RETRY_AFTER_S,
            )
        if order.service != self._endpoint.service:
            return UnavailableError(
                f"this endpoint does not serve {order.service!r}",
                "check the instance list and the agent's settings",
            )
        if len(self._queue) >= self._endpoint.queue + self._free_slots():
            return OverloadedError(
                "the endpoint's queue is full",
                "retry the request later",
                retry_after_s=1.0,
            )
        wait_s = self._pace.wait_s(len(self._queue), self._seconds())
        if wait_s and self._seconds() + wait_s + _MIN_RUN_S > order.deadline_s:
            return OverloadedError(
                f"the endpoint takes the next request in {wait_s:.1f} s, by its limit "
                "or because it asked for rest",
                "retry the request later, or raise `endpoint.requests_per_s`",
                retry_after_s=wait_s,
            )
        return None

    def _free_slots(self) -> int:
        return self._endpoint.slots - len(self._call_by_attempt_id)

    def _start_queued(self) -> None:
        while self._queue and self._free_slots() > 0:
            wait_s = self._pace.wait_s(0, self._seconds())
            if wait_s > 0.0:
                self._start_queued_after(wait_s)
                return
            attempt = self._queue.popleft()
            if attempt.order.deadline_s <= self._seconds():
                self._refuse_expired(attempt)
            else:
                self._start(attempt)

    def _start_queued_after(self, wait_s: float) -> None:
        if self._next_start is not None and self._next_start.active():
            self._next_start.cancel()
        self._next_start = self._clock.callLater(wait_s, self._start_queued)

    def _refuse_expired(self, attempt: Attempt) -> None:
        del self.attempts_by_id[attempt.order.attempt_id]
        if attempt.order.key:
            self.keyed_attempts.on_withdrawal(attempt)
        entry = self.entries_by_id.get(attempt.entry_id)
        if entry is not None:
            error = DeadlineExceededError(
                "the deadline passed while the request was queued", "retry the request"
            )
            entry.send_refused(attempt.order.attempt_id, error)

    def _start(self, attempt: Attempt) -> None:
        order = attempt.order
        attempt.phase = AttemptPhase.RUNNING
        attempt.started_at_s = self._seconds()
        self._pace.on_started(attempt.started_at_s)
        sink = AttemptAnswerSink(self, attempt)
        call = self._engine.start_call(build_engine_call(order), sink)
        self._call_by_attempt_id[order.attempt_id] = call

    def _record_end(self, attempt: Attempt) -> EntryChannel | None:
        attempt.phase = AttemptPhase.ENDED
        attempt.ended_at_s = self._seconds()
        self._call_by_attempt_id.pop(attempt.order.attempt_id, None)
        self.attempts_by_id.pop(attempt.order.attempt_id, None)
        if not attempt.order.key and attempt.failure is None:
            self.finished_by_id[attempt.order.attempt_id] = attempt
        self._start_queued()
        return self.entries_by_id.get(attempt.entry_id)


__all__ = ["AttemptScheduler"]
