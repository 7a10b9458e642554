"""Relays callers' requests to runners and the runners' answers to callers.

:class:`DirectAttempts`, ``ServiceQueue`` and :class:`RunnerPlacement` decide;
this module performs the resulting I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.attempt_actions import (
    AbortResponse,
    AttemptAction,
    CancelAttempt,
    FinishResponse,
    RefuseRequest,
    StartAttempt,
    StartResponse,
    WriteResponse,
)
from ...state.direct.attempts import DirectAttempts
from ...state.direct.catalog import RequestKind
from ...state.direct.silence import MAX_STREAM_SILENCE_S, Silence
from .call_validation import NOT_READY_RETRY_S, CallValidator, RejectedCall
from .decision_log import Decision
from .open_direct_call import OpenAttempt, OpenDirectCall
from .ports import RunnerRequest

if TYPE_CHECKING:
    from corianderrelay.coordination.clock import Clock

    from ...state.direct.call import DirectCall, RunnerHead
    from .byte_account import ByteAccount
    from .call_validation import AcceptedCall
    from .config_watch import ConfigWatch
    from .crash_watch import CrashWatch
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .group_watch import GroupWatch
    from .ports import AnswerSink, Dialect, RunnerConnections
    from .service_scheduler import ServiceScheduler
    from .statement_watch import StatementWatch

_STOPPING = "this entry stops"
_SMALL_ANSWER_BYTES = 8192  # shorter answers are not worth an account
_LONG_ANSWER_BYTES = 65_536  # one read of a socket


class DirectRelay:
    """Owns the open requests of this entry.

    :param connections: sends requests to runners.
    :param scheduler: admits requests and picks their runners.
    :param crashes: holds back requests that end their runners.
    :param statements: records what runners state in their answers.
    :param groups: records the evidence that lock-step groups are closed.
    :param account: bounds the bytes that are held for all requests.
    """

    def __init__(
        self,
        dialect: Dialect,
        connections: RunnerConnections,
        config: ConfigWatch,
        scheduler: ServiceScheduler,
        crashes: CrashWatch,
        statements: StatementWatch,
        groups: GroupWatch,
        clock: Clock,
        log: DecisionLog,
        metrics: DirectMetrics,
        account: ByteAccount,
    ) -> None:
        self._dialect = dialect
        self._connections = connections
        self._config = config
        self._scheduler = scheduler
        self._crashes = crashes
        self._statements = statements
        self._groups = groups
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._account = account
        self._open_by_number: dict[int, OpenDirectCall] = {}
        self._next_number = 0
        # Requests whose silent attempt has not got a takeover yet, as of the last tick.
        self._silent_by_number: dict[int, OpenDirectCall] = {}
        self._silence = Silence()
        self._validator = CallValidator(config)

    @property
    def open_requests(self) -> int:
        """Number of requests without a final answer."""
        return len(self._open_by_number)

    def stop_accepting(self) -> None:
        """Reject new requests, which might not end before this process exits."""
        self._validator.reject_all()

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait for a slot; they might not end in time."""
        now = self._clock.seconds()
        for opened in list(self._open_by_number.values()):
            if not opened.attempts.sends:
                self._scheduler.dequeue(opened)
                self._refuse_overloaded(opened, _STOPPING, now)

    def refuse_evacuated(self) -> None:
        """Refuse the waiting requests whose services have only evacuated runners."""
        now = self._clock.seconds()
        for opened in list(self._open_by_number.values()):
            evacuated = self._scheduler.is_evacuated(opened.service)
            if evacuated and not opened.attempts.sends:
                self._scheduler.dequeue(opened)
                self._refuse_overloaded(opened, "all zones are evacuated", now)

    def end_all(self) -> None:
        """Answer all open requests, as this process exits."""
        now = self._clock.seconds()
        for opened in list(self._open_by_number.values()):
            self._scheduler.dequeue(opened)
            self._execute(opened, opened.attempts.end_now(_STOPPING, now), now)

    def submit(self, call: DirectCall, sink: AnswerSink) -> OpenDirectCall | None:
        """Accept or reject a request; return it if it is accepted."""
        checked = self._validator.validate(call)
        if isinstance(checked, RejectedCall):
            self._reject(call, sink, checked)
            return None
        return self._accept(call, sink, checked, self._clock.seconds())

    def abandon(self, opened: OpenDirectCall) -> None:
        """Cancel a request whose caller has disconnected."""
        if opened.number not in self._open_by_number:
            return
        now = self._clock.seconds()
        for attempt in opened.attempts.attempts:
            silent = opened.attempts_by_runner.get(attempt.runner_id)
            if silent and now - attempt.last_received_at > MAX_STREAM_SILENCE_S:
                self._crashes.on_attempt_lost(silent)
        self._metrics.abandoned.inc({"service": opened.service})
        self._log.note(
            Decision.REQUEST_CANCELLED,
            request=opened.call.request_id,
            runner=opened.attempts.runner_id,
            after_s=round(now - opened.call.received_at, 4),
        )
        self._scheduler.dequeue(opened)
        self._execute(opened, opened.attempts.client_disconnected(), now)
        self._close(opened, now)

    def admit_waiting(self) -> None:
        """Refuse queued requests that are overdue; dispatch others to free slots."""
        now = self._clock.seconds()
        for opened in self._scheduler.take_overdue(now):
            self._refuse_overloaded(opened, "no slot became free in time", now)
        for opened in self._scheduler.take_admitted(now):
            self._metrics.waited_s.observe({}, now - opened.call.received_at)
            self._dispatch(opened, now)

    def tick(self) -> None:
        """Admit queued requests; end overdue ones; start takeovers of silent ones."""
        self.admit_waiting()
        now = self._clock.seconds()
        self._silent_by_number.clear()
        for opened in list(self._open_by_number.values()):
            if now >= opened.attempts.deadline_s:
                self._scheduler.dequeue(opened)
                for attempt in opened.attempts_by_runner.values():
                    self._crashes.on_attempt_lost(attempt)
                self._execute(opened, opened.attempts.deadline_passed(now), now)
            else:
                self._take_over_if_silent(opened, now)

    def _accept(
        self, call: DirectCall, sink: AnswerSink, accepted: AcceptedCall, now: float
    ) -> OpenDirectCall:
        route = accepted.route
        service = self._scheduler.choose_service(route)
        opened = OpenDirectCall(self._next_number, call, sink, accepted, service)
        self._next_number += 1
        max_wait_s = route.timeout_s
        if call.max_wait_s is not None:
            max_wait_s = min(max_wait_s, call.max_wait_s)
        picker = self._crashes.guard(self._scheduler.picker(opened), opened)
        opened.attempts = DirectAttempts(
            call, route, picker, call.received_at + max_wait_s
        )
        self._open_by_number[opened.number] = opened
        self._scheduler.on_arrived(opened, now)
        self._metrics.requests.inc({"kind": route.kind.value})
        self._log.note(
            Decision.REQUEST_TAKEN,
            request=call.request_id,
            route=route.name,
            service=service,
            fingerprint=opened.fingerprint,
            workspace=accepted.workspace,
            version=self._config.version,
            era=self._config.era,
            proof_age_s=round(self._config.age_s, 3),
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
        )
        self._start_or_enqueue(opened, now)
        return opened

    def _refuse_if_held(self, opened: OpenDirectCall, now: float) -> bool:
        """Refuse a request that ends its runners; return whether it was refused."""
        held_s = self._crashes.held_s(opened)
        if held_s is None:
            return False
        part_hold = self._crashes.parts.hold(opened)
        self._metrics.held.inc({"by": "request" if part_hold is None else "part"})
        self._log.note(
            Decision.REQUEST_HELD,
            request=opened.call.request_id,
            fingerprint=opened.fingerprint,
            rounds=self._crashes.ledger.rounds(opened.fingerprint),
            part=None if part_hold is None else part_hold.part,
            part_crashes=0 if part_hold is None else part_hold.crashes,
            held_s=round(held_s, 3),
        )
        reason = "runners have ended under earlier requests like this one"
        self._execute(opened, opened.attempts.refuse_unsent(reason, held_s), now)
        return True

    def _start_or_enqueue(self, opened: OpenDirectCall, now: float) -> None:
        if self._refuse_if_held(opened, now):
            return
        if self._scheduler.has_free_slot(opened, now):
            self._dispatch(opened, now)
            return
        result = self._scheduler.enqueue(opened, now)
        self._log.note(
            Decision.REQUEST_QUEUED if result.waits else Decision.REQUEST_NO_PLACE,
            request=opened.call.request_id,
            service=opened.service,
            **self._scheduler.admission_log_fields(opened, now),
        )
        for displaced in result.displaced:
            self._refuse_displaced(displaced, opened, now)
        if not result.waits:
            self._refuse_overloaded(
                opened, "no slot is expected to become free in time", now
            )

    def _refuse_displaced(
        self, displaced: OpenDirectCall, opened: OpenDirectCall, now: float
    ) -> None:
        """Refuse a queued request, which has not run, in favour of a new one."""
        self._metrics.displaced.inc({"priority": str(displaced.priority)})
        self._log.note(
            Decision.REQUEST_DISPLACED,
            request=displaced.call.request_id,
            service=displaced.service,
            priority=displaced.priority,
            by=opened.call.request_id,
            by_priority=opened.priority,
            waited_s=round(now - displaced.call.received_at, 4),
        )
        self._refuse_overloaded(
            displaced, "a request of more value needs its slot", now
        )

    def _dispatch(self, opened: OpenDirectCall, now: float) -> None:
        """Start an admitted request, unless its API key was revoked while it waited."""
        if opened.requires_valid_key and not self._validator.key_still_valid(
            opened.call
        ):
            reason = "the API key is no longer valid, or cannot be validated"
            actions = opened.attempts.refuse_unsent(reason, NOT_READY_RETRY_S)
            self._execute(opened, actions, now)
        elif not self._refuse_if_held(opened, now):
            self._execute(opened, opened.attempts.start(now), now)

    def _refuse_overloaded(
        self, opened: OpenDirectCall, reason: str, now: float
    ) -> None:
        retry_after_s = self._scheduler.retry_after_s(opened, now)
        actions = opened.attempts.refuse_unsent(reason, retry_after_s)
        self._execute(opened, actions, now)

    def _reject(
        self, call: DirectCall, sink: AnswerSink, rejected: RejectedCall
    ) -> None:
        self._metrics.refusals.inc({"status": str(rejected.status)})
        self._log.note(
            Decision.REQUEST_ENDED,
            request=call.request_id,
            status=rejected.status,
            reason=rejected.reason,
            path=call.path,
            **self._config.evidence(),
            retry_after_s=rejected.retry_after_s,
        )
        headers = self._dialect.encode_refusal(call, rejected.retry_after_s)
        sink.answer(rejected.status, headers, b"")

    def _take_over_if_silent(self, opened: OpenDirectCall, now: float) -> None:
        """Start a takeover of a silent attempt, which stays in flight."""
        attempts, current = opened.attempts, opened.attempts.current
        if current is None or not self._silence.is_too_long(
            current, opened.route, opened.service, attempts.started, now
        ):
            return
        silent = opened.attempts_by_runner.get(current.runner_id)
        if silent is not None and silent.waits_for_room:
            return
        if silent is not None and opened.route.retryable:
            self._crashes.on_attempt_lost(silent)
        actions = attempts.stalled(now)
        if not actions:
            if len(attempts.attempts) == 1:
                self._silent_by_number[opened.number] = opened
            return
        self._scheduler.on_failed(current.runner_id, now)
        self._log.note(
            Decision.TAKEOVER_STARTED,
            request=opened.call.request_id,
            fingerprint=opened.fingerprint,
            runner=current.runner_id,
            silent_s=round(now - current.last_received_at, 3),
            **self._scheduler.retry_log_fields(opened.service, now),
        )
        self._execute(opened, actions, now)

    def _take_over_silent(self, now: float) -> None:
        """Start takeovers before queued requests take the slots that became free."""
        for number, opened in list(self._silent_by_number.items()):
            del self._silent_by_number[number]
            if number in self._open_by_number:
                self._take_over_if_silent(opened, now)

    def _execute(
        self, opened: OpenDirectCall, actions: list[AttemptAction], now: float
    ) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._start_attempt(opened, action, now)
                case CancelAttempt():
                    self._end_attempt(opened, action.runner_id, now, cancel=True)
                case StartResponse():
                    self._start_answer(opened, action, now)
                case WriteResponse():
                    opened.sink.write(action.data)
                case FinishResponse():
                    self._crashes.on_completed(opened)
                    self._record_end(opened, opened.status, "whole", now)
                    opened.sink.finish()
                case RefuseRequest():
                    self._refuse(opened, action, now)
                case AbortResponse():
                    self._record_end(opened, opened.status, action.reason, now)
                    opened.sink.abort()
        if opened.attempts.finished:
            self._close(opened, now)

    def _start_attempt(
        self, opened: OpenDirectCall, action: StartAttempt, now: float
    ) -> None:
        runner = self._scheduler.runner(action.runner_id)
        attempt = OpenAttempt(self, opened, runner, now)
        opened.attempts_by_runner[action.runner_id] = attempt
        self._scheduler.on_sent(attempt, now)
        self._crashes.on_sent(attempt)
        first = opened.attempts.sends == 1
        self._metrics.runner_attempts.inc({"kind": "first" if first else "again"})
        self._log.note(
            Decision.REQUEST_PLACED,
            request=opened.call.request_id,
            runner=action.runner_id,
            send=opened.attempts.sends,
            resume_after=action.resume_after,
            **self._scheduler.runner_log_fields(action.runner_id, now),
        )
        headers = self._dialect.encode_call(
            opened.call,
            action.runner_id,
            opened.workspace,
            action.resume_after,
            max(opened.attempts.deadline_s - now, 0.0),
            self._scheduler.runner_priority(opened),
        )
        request = RunnerRequest(
            opened.call.method,
            opened.call.target,
            headers,
            opened.call.body,
            opened.call.request_id,
            # A kept connection may have caused the failure of the first attempt.
            may_reuse_connection=opened.route.retryable and first,
        )
        attempt.connection = self._connections.send(runner, request, attempt)

    def _end_attempt(
        self, opened: OpenDirectCall, runner_id: str, now: float, *, cancel: bool
    ) -> None:
        attempt = opened.attempts_by_runner.pop(runner_id, None)
        if attempt is None:
            return
        attempt.detach()
        self._account.release(attempt)
        self._scheduler.on_attempt_ended(attempt, now)
        if cancel and attempt.connection is not None:
            attempt.connection.cancel()

    def _start_answer(
        self, opened: OpenDirectCall, action: StartResponse, now: float
    ) -> None:
        status = opened.status = action.head.status
        self._metrics.answers.inc({"status": str(status)})
        self._metrics.first_byte_s.observe(
            {"service": opened.service}, now - opened.call.received_at
        )
        opened.first_byte_at = now
        if action.body is None:
            opened.sink.start(status, action.head.headers)
            return
        self._crashes.on_completed(opened)
        self._record_end(opened, status, "whole", now)
        opened.sink.answer(status, action.head.headers, action.body)

    def _refuse(
        self, opened: OpenDirectCall, action: RefuseRequest, now: float
    ) -> None:
        self._metrics.refusals.inc({"status": str(action.status)})
        self._record_end(
            opened, action.status, action.reason, now, action.retry_after_s
        )
        headers = self._dialect.encode_refusal(opened.call, action.retry_after_s)
        opened.sink.answer(action.status, headers, b"")

    def _record_end(
        self,
        opened: OpenDirectCall,
        status: int,
        reason: str,
        now: float,
        retry_after_s: float | None = None,
    ) -> None:
        arrived_at = opened.call.received_at
        first_s = opened.first_byte_at - arrived_at if opened.first_byte_at else None
        self._metrics.whole_answer_s.observe(
            {"service": opened.service}, now - arrived_at
        )
        self._log.note(
            Decision.REQUEST_ENDED,
            request=opened.call.request_id,
            service=opened.service,
            status=status,
            reason=reason,
            runner=opened.last_runner_id,
            sends=opened.attempts.sends,
            may_have_run=opened.attempts.may_have_run,
            retry_after_s=retry_after_s,
            events=opened.attempts.events,
            first_byte_s=None if first_s is None else round(first_s, 4),
            whole_s=round(now - arrived_at, 4),
        )

    def _close(self, opened: OpenDirectCall, now: float) -> None:
        if self._open_by_number.pop(opened.number, None) is None:
            return
        for runner_id in list(opened.attempts_by_runner):
            self._end_attempt(opened, runner_id, now, cancel=False)
        self._take_over_silent(now)
        self.admit_waiting()

    def may_be_sent(self, attempt: OpenAttempt) -> bool:
        """Whether an attempt's runner still takes requests."""
        return self._scheduler.may_send(attempt.runner)

    def on_not_sent(self, attempt: OpenAttempt, reason: str) -> None:
        """An attempt ended before any byte of it reached the runner."""
        now = self._clock.seconds()
        opened = attempt.opened
        self._fail_attempt(attempt, reason, True, now)
        actions = opened.attempts.connect_failed(attempt.runner_id, now, reason)
        self._execute(opened, actions, now)

    def on_head(self, attempt: OpenAttempt, head: RunnerHead) -> None:
        """The head of an attempt's answer was received."""
        now = self._clock.seconds()
        opened = attempt.opened
        self._statements.on_head(attempt, head, now)
        if head.not_run:
            # The runner at fault may differ from the one that sent the rejection.
            self._scheduler.on_failed(head.faulty_runner_id, now)
            self._groups.on_rejected(attempt, head, now)
        is_takeover = attempt.runner_id != opened.attempts.runner_id
        actions = opened.attempts.head(attempt.runner_id, head, now)
        if actions:
            self._log_failed_attempt(attempt, f"status {head.status}", head.not_run)
        self._execute(opened, actions, now)
        if is_takeover and head.not_run:
            self._scheduler.on_takeover_rejected(attempt.runner_id, now)
        self._reserve_room(attempt, head)

    def _reserve_room(self, attempt: OpenAttempt, head: RunnerHead) -> None:
        """Read a long answer of known length only when there is room for it."""
        streamed = head.success and attempt.opened.route.kind is RequestKind.STREAM
        if attempt.detached or streamed or (head.body_bytes or 0) < _LONG_ANSWER_BYTES:
            return
        attempt.length_known = True
        if not self._account.reserve_or_wait(attempt, head.body_bytes or 0):
            attempt.wait_for_room()

    def on_no_room(self, attempt: OpenAttempt) -> None:
        """The bytes of an attempt's answer are dropped, as the entry holds too many."""
        now = self._clock.seconds()
        opened = attempt.opened
        reason = "its answer has no known length, and the entry holds too many bytes"
        self._scheduler.on_failed(attempt.runner_id, now)
        self._log_failed_attempt(attempt, reason, False)
        actions = opened.attempts.connection_lost(attempt.runner_id, now, reason)
        self._execute(opened, actions, now)

    def on_data(self, attempt: OpenAttempt, data: bytes) -> None:
        """Body data of an attempt's answer was received."""
        now = self._clock.seconds()
        opened = attempt.opened
        events_before = opened.attempts.events
        actions = opened.attempts.data(attempt.runner_id, data, now)
        if opened.attempts.events != events_before:
            received = opened.attempts.events - events_before
            self._crashes.parts.on_events(attempt, received)
            self._silence.on_progress(opened.service, now)
            self._scheduler.on_progress(attempt, now)
        if CancelAttempt(attempt.runner_id) in actions:
            self._scheduler.on_failed(attempt.runner_id, now)
            self._log_failed_attempt(attempt, "its answer is too long", False)
        self._log_ended_takeover(attempt, actions)
        self._execute(opened, actions, now)
        if not attempt.detached and not attempt.length_known:
            held_bytes = opened.attempts.held_bytes(attempt.runner_id)
            if held_bytes >= _SMALL_ANSWER_BYTES:
                self._account.hold(attempt, held_bytes)

    def on_end(self, attempt: OpenAttempt) -> None:
        """An attempt's answer is complete by its framing."""
        now = self._clock.seconds()
        opened = attempt.opened
        attempt.connection = None
        actions = opened.attempts.response_ended(attempt.runner_id, now)
        if opened.attempts.finished:
            self._scheduler.on_answered(attempt, opened.status, now)
        else:
            self._fail_attempt(attempt, "the runner's answer was a failure", False, now)
        self._log_ended_takeover(attempt, actions)
        self._execute(opened, actions, now)

    def on_incomplete(self, attempt: OpenAttempt, reason: str) -> None:
        """An attempt failed without a complete answer; it may have run."""
        now = self._clock.seconds()
        self._crashes.on_attempt_lost(attempt)
        self._groups.on_cut(attempt, now)
        self._fail_attempt(attempt, reason, False, now)
        self._crashes.after_probe(attempt, lambda: self._retry_lost(attempt, reason))

    def _retry_lost(self, attempt: OpenAttempt, reason: str) -> None:
        now = self._clock.seconds()
        opened = attempt.opened
        actions = opened.attempts.connection_lost(attempt.runner_id, now, reason)
        self._execute(opened, actions, now)

    def _fail_attempt(
        self, attempt: OpenAttempt, reason: str, not_run: bool, now: float
    ) -> None:
        self._scheduler.on_failed(attempt.runner_id, now)
        self._end_attempt(attempt.opened, attempt.runner_id, now, cancel=False)
        self._log_failed_attempt(attempt, reason, not_run)

    def _log_ended_takeover(
        self, attempt: OpenAttempt, actions: list[AttemptAction]
    ) -> None:
        for action in actions:
            if (
                isinstance(action, CancelAttempt)
                and action.runner_id != attempt.runner_id
            ):
                self._log.note(
                    Decision.TAKEOVER_ENDED,
                    request=attempt.opened.call.request_id,
                    runner=attempt.runner_id,
                    cancelled=action.runner_id,
                )

    def _log_failed_attempt(
        self, attempt: OpenAttempt, reason: str, not_run: bool
    ) -> None:
        opened = attempt.opened
        self._log.note(
            Decision.REQUEST_LEFT_RUNNER,
            request=opened.call.request_id,
            fingerprint=opened.fingerprint,
            runner=attempt.runner_id,
            reason=reason,
            not_run=not_run,
            events=opened.attempts.events,
            **self._scheduler.retry_log_fields(opened.service, self._clock.seconds()),
        )


__all__ = ["DirectRelay"]
