"""Takes callers' requests, gives them places, sends them to runners and answers.

The decisions are those of :class:`DirectAttempts`, :class:`SurgeAdmission` and
:class:`LockstepPlacement`; this module carries their orders out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.attempts import (
    AbortResponse,
    AttemptAction,
    CancelAttempt,
    DirectAttempts,
    FinishResponse,
    RefuseRequest,
    StartAttempt,
    StartResponse,
    WriteResponse,
)
from ...state.direct.catalog import RequestKind
from .call_gate import NOT_READY_RETRY_S, CallGate, Rejected
from .decision_log import Decision
from .open_direct_call import OpenDirectCall, SendEvents
from .ports import RunnerRequest

if TYPE_CHECKING:
    from corianderrelay.coordination.clock import Clock

    from ...state.direct.call import DirectCall, RunnerHead
    from .call_gate import Passed
    from .config_watch import ConfigWatch
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import Dialect, DirectSink, RunnerConnections
    from .service_places import ServicePlaces

_STUCK_STREAM_S = 0.8  # far over a pass; callers give up after 2 s
_STUCK_START_S = 1.2  # prompts wait in a runner's queue before their first event
_GROUP_PROGRESS_S = 0.25  # others' events within it show that only this one is stuck
_PLAIN_PATIENCE = 0.6  # share of the objective after which another runner is asked


class DirectRelay:
    """The open requests of this entry.

    :param connections: sends requests to runners.
    :param places: who gets a place at which runner.
    """

    def __init__(
        self,
        dialect: Dialect,
        connections: RunnerConnections,
        config: ConfigWatch,
        places: ServicePlaces,
        clock: Clock,
        log: DecisionLog,
        metrics: DirectMetrics,
    ) -> None:
        self._dialect = dialect
        self._connections = connections
        self._config = config
        self._places = places
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._open: dict[int, OpenDirectCall] = {}
        self._next_number = 0
        self._progress_by_service: dict[str, float] = {}
        self._gate = CallGate(config)

    @property
    def open_requests(self) -> int:
        """Number of requests without a final answer."""
        return len(self._open)

    def take_no_more(self) -> None:
        """Refuse what still comes: it could not end before this process does."""
        self._gate.close()

    def submit(self, call: DirectCall, sink: DirectSink) -> OpenDirectCall | None:
        """Take a request; return it while it is open."""
        checked = self._gate.check(call)
        if isinstance(checked, Rejected):
            self._reject(call, sink, checked)
            return None
        return self._take(call, sink, checked, self._clock.seconds())

    def abandon(self, opened: OpenDirectCall) -> None:
        """The caller has left."""
        if opened.number not in self._open:
            return
        now = self._clock.seconds()
        self._metrics.abandoned.inc({"service": opened.service})
        self._log.note(
            Decision.REQUEST_CANCELLED,
            request=opened.call.request_id,
            runner=opened.attempts.runner_id,
            after_s=round(now - opened.call.received_at, 4),
        )
        self._places.stop_waiting(opened)
        self._carry_out(opened, opened.attempts.client_disconnected(), now)
        self._close(opened, now)

    def admit_waiting(self) -> None:
        """Give free places to waiting requests; refuse those that are too late."""
        now = self._clock.seconds()
        for opened in self._places.overdue(now):
            self._refuse_full(opened, "no place came free in time", now)
        for opened in self._places.admitted(now):
            self._metrics.waited_s.observe({}, now - opened.call.received_at)
            self._place(opened, now)

    def tick(self) -> None:
        """End requests whose time is over and leave runners that are stuck."""
        self.admit_waiting()
        now = self._clock.seconds()
        for opened in list(self._open.values()):
            if now >= opened.attempts.deadline_s:
                self._places.stop_waiting(opened)
                self._carry_out(opened, opened.attempts.deadline_passed(now), now)
            elif opened.attempts.in_flight and self._is_stuck(opened, now):
                self._leave_stuck(opened, now)

    def _take(
        self, call: DirectCall, sink: DirectSink, passed: Passed, now: float
    ) -> OpenDirectCall:
        route = passed.route
        service = self._places.service_of(route)
        opened = OpenDirectCall(self._next_number, call, sink, passed, service)
        self._next_number += 1
        max_wait_s = route.timeout_s
        if call.max_wait_s is not None:
            max_wait_s = min(max_wait_s, call.max_wait_s)
        picker = self._places.picker(opened)
        opened.attempts = DirectAttempts(
            call, route, picker, call.received_at + max_wait_s
        )
        self._open[opened.number] = opened
        self._places.arrived(opened, now)
        self._metrics.requests.inc({"kind": route.kind.value})
        self._log.note(
            Decision.REQUEST_TAKEN,
            request=call.request_id,
            route=route.name,
            service=service,
            workspace=passed.workspace,
            version=self._config.version,
            proof_age_s=round(self._config.age_s, 3),
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
        )
        self._give_place_or_wait(opened, now)
        return opened

    def _give_place_or_wait(self, opened: OpenDirectCall, now: float) -> None:
        if self._places.has_place(opened, now):
            self._place(opened, now)
            return
        waits = self._places.wait(opened, now)
        self._log.note(
            Decision.REQUEST_QUEUED if waits else Decision.REQUEST_NO_PLACE,
            request=opened.call.request_id,
            service=opened.service,
            **self._places.describe(opened.service, now),
        )
        if not waits:
            self._refuse_full(opened, "no place is expected in time", now)

    def _place(self, opened: OpenDirectCall, now: float) -> None:
        """Send an admitted request; its key may have been taken away meanwhile."""
        if opened.keyed and not self._gate.still_allows(opened.call):
            reason = "the key is no longer valid, or cannot be proved to be"
            orders = opened.attempts.refuse_unsent(reason, NOT_READY_RETRY_S)
            self._carry_out(opened, orders, now)
            return
        self._carry_out(opened, opened.attempts.start(now), now)

    def _refuse_full(self, opened: OpenDirectCall, reason: str, now: float) -> None:
        retry_after_s = self._places.retry_after_s(opened.service, now)
        orders = opened.attempts.refuse_unsent(reason, retry_after_s)
        self._carry_out(opened, orders, now)

    def _reject(self, call: DirectCall, sink: DirectSink, rejected: Rejected) -> None:
        self._metrics.refusals.inc({"status": str(rejected.status)})
        self._log.note(
            Decision.REQUEST_ENDED,
            request=call.request_id,
            status=rejected.status,
            reason=rejected.reason,
            path=call.path,
            version=self._config.version,
            proof_age_s=round(self._config.age_s, 3),
            retry_after_s=rejected.retry_after_s,
        )
        headers = self._dialect.encode_refusal(call, rejected.retry_after_s)
        sink.answer(rejected.status, headers, b"")

    def _is_stuck(self, opened: OpenDirectCall, now: float) -> bool:
        attempts = opened.attempts
        if opened.route.kind is not RequestKind.STREAM:
            max_wait_s = _PLAIN_PATIENCE * opened.route.objective_s
            return now - attempts.sent_at > max_wait_s
        progress = self._progress_by_service.get(opened.service, float("-inf"))
        if now - progress > _GROUP_PROGRESS_S:
            return False
        limit_s = _STUCK_STREAM_S if attempts.started else _STUCK_START_S
        return now - attempts.last_received_at > limit_s

    def _leave_stuck(self, opened: OpenDirectCall, now: float) -> None:
        runner_id = opened.attempts.runner_id
        last_received_at = opened.attempts.last_received_at
        orders = opened.attempts.stalled(now)
        if not orders:
            return
        self._places.failed(runner_id, now)
        self._log.note(
            Decision.REQUEST_LEFT_RUNNER,
            request=opened.call.request_id,
            runner=runner_id,
            reason="it is silent",
            silent_s=round(now - last_received_at, 3),
        )
        self._carry_out(opened, orders, now)

    def _carry_out(
        self, opened: OpenDirectCall, orders: list[AttemptAction], now: float
    ) -> None:
        for order in orders:
            match order:
                case StartAttempt():
                    self._send(opened, order, now)
                case CancelAttempt():
                    self._end_send(opened, now, cancel=True)
                case StartResponse():
                    self._start_answer(opened, order, now)
                case WriteResponse():
                    opened.sink.write(order.data)
                case FinishResponse():
                    self._note_end(opened, opened.status, "whole", now)
                    opened.sink.finish()
                case RefuseRequest():
                    self._refuse(opened, order, now)
                case AbortResponse():
                    self._note_end(opened, opened.status, order.reason, now)
                    opened.sink.abort()
        if opened.attempts.finished:
            self._close(opened, now)

    def _send(self, opened: OpenDirectCall, order: StartAttempt, now: float) -> None:
        runner = self._places.runner(order.runner_id)
        events = SendEvents(self, opened)
        opened.events = events
        self._places.sent(opened, order.runner_id, now)
        first = opened.attempts.sends == 1
        self._metrics.sends.inc({"kind": "first" if first else "again"})
        self._log.note(
            Decision.REQUEST_PLACED,
            request=opened.call.request_id,
            runner=order.runner_id,
            send=opened.attempts.sends,
            resume_after=order.resume_after,
            **self._places.describe_runner(order.runner_id, now),
        )
        headers = self._dialect.encode_call(
            opened.call,
            order.runner_id,
            opened.workspace,
            order.resume_after,
            max(opened.attempts.deadline_s - now, 0.0),
        )
        request = RunnerRequest(
            opened.call.method,
            opened.call.target,
            headers,
            opened.call.body,
            opened.call.request_id,
            opened.route.retryable,
        )
        opened.send = self._connections.send(runner, request, events)

    def _end_send(self, opened: OpenDirectCall, now: float, *, cancel: bool) -> None:
        send, opened.send = opened.send, None
        if opened.events is not None:
            opened.events.detach()
            opened.events = None
        if opened.runner_id:
            self._places.ended(opened, now)
        if cancel and send is not None:
            send.cancel()

    def _start_answer(
        self, opened: OpenDirectCall, order: StartResponse, now: float
    ) -> None:
        status = opened.status = order.head.status
        self._metrics.answers.inc({"status": str(status)})
        self._metrics.first_byte_s.observe(
            {"service": opened.service}, now - opened.call.received_at
        )
        opened.first_byte_at = now
        if order.body is None:
            opened.sink.start(status, order.head.headers)
            return
        self._note_end(opened, status, "whole", now)
        opened.sink.answer(status, order.head.headers, order.body)

    def _refuse(self, opened: OpenDirectCall, order: RefuseRequest, now: float) -> None:
        self._metrics.refusals.inc({"status": str(order.status)})
        self._note_end(opened, order.status, order.reason, now, order.retry_after_s)
        headers = self._dialect.encode_refusal(opened.call, order.retry_after_s)
        opened.sink.answer(order.status, headers, b"")

    def _note_end(
        self,
        opened: OpenDirectCall,
        status: int,
        reason: str,
        now: float,
        retry_after_s: float | None = None,
    ) -> None:
        taken_at = opened.call.received_at
        first_s = opened.first_byte_at - taken_at if opened.first_byte_at else None
        self._metrics.whole_answer_s.observe(
            {"service": opened.service}, now - taken_at
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
            whole_s=round(now - taken_at, 4),
        )

    def _close(self, opened: OpenDirectCall, now: float) -> None:
        if self._open.pop(opened.number, None) is None:
            return
        self._end_send(opened, now, cancel=False)
        self.admit_waiting()

    def on_not_sent(self, opened: OpenDirectCall, reason: str) -> None:
        """No byte of the present send reached the runner."""
        now = self._clock.seconds()
        self._lose_send(opened, reason, True, now)
        self._carry_out(opened, opened.attempts.not_sent(now, reason), now)

    def on_head(self, opened: OpenDirectCall, head: RunnerHead) -> None:
        """The head of the present send's answer has come."""
        now = self._clock.seconds()
        runner_id = opened.runner_id
        if head.not_run:
            # The runner that a rejection names is to blame, not the one that sends it.
            self._places.failed(head.faulty_runner_id, now)
        orders = opened.attempts.head(head, now)
        if orders:
            self._note_left(opened, runner_id, f"status {head.status}", head.not_run)
        self._carry_out(opened, orders, now)

    def on_data(self, opened: OpenDirectCall, data: bytes) -> None:
        """A piece of the present send's answer has come."""
        now = self._clock.seconds()
        self._progress_by_service[opened.service] = now
        events_before = opened.attempts.events
        orders = opened.attempts.data(data, now)
        if opened.attempts.events != events_before:
            self._places.progressed(opened, now)
        self._carry_out(opened, orders, now)

    def on_end(self, opened: OpenDirectCall) -> None:
        """The present send's answer is whole by its framing."""
        now = self._clock.seconds()
        opened.send = None
        runner_id = opened.runner_id
        sends = opened.attempts.sends
        orders = opened.attempts.response_ended(now)
        if opened.attempts.finished:
            self._places.answered(opened, opened.status, now)
        if opened.attempts.sends > sends:
            self._places.failed(runner_id, now)
            self._note_left(opened, runner_id, "its answer was a failure", False)
            self._end_send(opened, now, cancel=False)
        self._carry_out(opened, orders, now)

    def on_broken(self, opened: OpenDirectCall, reason: str) -> None:
        """The present send may have run, and its answer is lost."""
        now = self._clock.seconds()
        self._lose_send(opened, reason, False, now)
        self._carry_out(opened, opened.attempts.connection_lost(now, reason), now)

    def _lose_send(
        self, opened: OpenDirectCall, reason: str, not_run: bool, now: float
    ) -> None:
        runner_id = opened.runner_id
        self._places.failed(runner_id, now)
        self._end_send(opened, now, cancel=False)
        self._note_left(opened, runner_id, reason, not_run)

    def _note_left(
        self, opened: OpenDirectCall, runner_id: str, reason: str, not_run: bool
    ) -> None:
        self._log.note(
            Decision.REQUEST_LEFT_RUNNER,
            request=opened.call.request_id,
            runner=runner_id,
            reason=reason,
            not_run=not_run,
            events=opened.attempts.events,
        )


__all__ = ["DirectRelay"]
