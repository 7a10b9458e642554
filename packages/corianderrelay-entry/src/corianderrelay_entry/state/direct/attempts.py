"""State machine for the attempts of one direct request.

Each event method returns the actions that the relay must carry out. After an attempt
that may have run, only a retryable request gets another attempt. Status 503 means "not
run": it is sent only if no attempt was sent or every attempted runner proved that it
did not run the request. A stream resumes at another runner after its last complete
event.

A retryable request whose runner has stopped sending gets a second attempt, the
takeover, beside the one in flight. The first of the two to send an event or a complete
answer continues, and the other is cancelled. A silent runner may be sound, and the
runner of the takeover may reject it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .attempt import Attempt
from .attempt_actions import (
    AbortResponse,
    AttemptAction,
    CancelAttempt,
    FinishResponse,
    RefuseRequest,
    StartAttempt,
    StartResponse,
    WriteResponse,
)
from .catalog import RequestKind
from .event_buffer import MAX_EVENT_BYTES

if TYPE_CHECKING:
    from .call import DirectCall, RunnerHead
    from .catalog import Route

# Bodies that are not streamed are kept in memory until they are complete.
_MAX_BODY_BYTES = 4_194_304
# An error answer is kept beside the attempt that follows it up to this size.
_MAX_KEPT_ERROR_BYTES = 65_536
_MAX_CONNECT_FAILURES = 3  # failed connections after which the request fails
_MAX_FAILED_TAKEOVERS = 4  # rejected or unreachable ones, which count as no attempt
_TAKEOVER_PAUSE_S = 0.25  # after a failed one; callers wait for 2 s
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # callers read them as "not run"
_BUSY_STATUSES = frozenset({429, 503})  # the runner may have a place soon
_TOO_LONG = f"the runner's body is longer than {_MAX_BODY_BYTES} bytes"
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500


class RunnerPicker(Protocol):
    """Picks runners for one request and spends its retries from the retry budget."""

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, or ``None``."""

    def pick_for_takeover(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a runner that may take over a silent attempt, or ``None``."""

    def spend_retry(self, now: float) -> bool:
        """Spend one retry; return false if the budget is exhausted."""

    def retry_after_s(self, now: float) -> float:
        """Return the seconds after which a refused caller may find a runner."""


class DirectAttempts:
    """The attempts of one request; at most two are in flight, at different runners.

    ``sends`` counts the attempts that were sent, without failed connections and
    takeovers that were rejected, or cancelled before an answer began.

    :param deadline_s: monotonic time at which the request fails if it is unfinished.
    """

    __slots__ = (
        "_call",
        "_route",
        "_picker",
        "_current",
        "_takeover",
        "_last_event_id",
        "_error_answer",
        "_excluded",
        "_connect_failures",
        "_failed_takeovers",
        "_takeover_failed_at",
        "deadline_s",
        "sends",
        "events",
        "may_have_run",
        "started",
        "finished",
    )

    def __init__(
        self, call: DirectCall, route: Route, picker: RunnerPicker, deadline_s: float
    ) -> None:
        self._call = call
        self._route = route
        self._picker = picker
        self._current: Attempt | None = None
        self._takeover: Attempt | None = None
        self._last_event_id = call.resume_after
        # A runner's error: the answer, unless another runner gives a better one.
        self._error_answer: StartResponse | None = None
        self._excluded: frozenset[str] = frozenset()
        self._connect_failures = 0
        self._failed_takeovers = 0
        self._takeover_failed_at = float("-inf")
        self.deadline_s = deadline_s
        self.sends = 0
        self.events = 0  # complete events received
        self.may_have_run = False
        self.started = False
        self.finished = False

    @property
    def current(self) -> Attempt | None:
        """The attempt in flight; while it is silent, a takeover may run beside it."""
        return self._current

    @property
    def attempts(self) -> list[Attempt]:
        """The attempts in flight: the current one and its takeover."""
        return [each for each in (self._current, self._takeover) if each is not None]

    @property
    def runner_id(self) -> str:
        """The runner of the current attempt; empty if none is in flight."""
        return "" if self._current is None else self._current.runner_id

    def start(self, now: float) -> list[AttemptAction]:
        """Start the first attempt."""
        return self._start_attempt(now, "no runner of the service is available")

    def refuse_unsent(self, reason: str, retry_after_s: float) -> list[AttemptAction]:
        """Refuse the request if no attempt was sent, so that it cannot have run."""
        if self.finished or self.sends:
            return []
        refusal = RefuseRequest(_UNAVAILABLE, reason, retry_after_s)
        return self._finish([refusal])

    def connect_failed(
        self, runner_id: str, now: float, reason: str
    ) -> list[AttemptAction]:
        """Try another runner after a failed connection; this uses no retry budget."""
        attempt = self._find(runner_id)
        if attempt is None:
            return []
        self.sends -= 1
        if attempt is self._takeover:
            self._record_failed_takeover(now)
        if self._end_beside_other(attempt):
            return []
        self._connect_failures += 1
        if self._connect_failures >= _MAX_CONNECT_FAILURES:
            return self._fail(reason, now)
        return self._start_attempt(now, reason)

    def head(self, runner_id: str, head: RunnerHead, now: float) -> list[AttemptAction]:
        """Handle the head of the runner's response."""
        attempt = self._find(runner_id)
        if attempt is None:
            return []
        attempt.last_received_at = now
        attempt.head = head
        if head.not_run:
            return self._on_rejection(attempt, head, now)
        self.may_have_run = True
        if head.success and (head.encoded or not head.signed):
            return self._retry_or_fail(
                attempt, now, "the runner's response is unsigned or encoded"
            )
        if self.started and not head.success:
            reason = f"the runner responded to a resume with status {head.status}"
            return self._retry_or_fail(attempt, now, reason)
        if not self._is_stream(head) and (head.body_bytes or 0) > _MAX_BODY_BYTES:
            return self._retry_or_fail(attempt, now, _TOO_LONG)
        return []

    def held_bytes(self, runner_id: str) -> int:
        """Return how many bytes of an attempt's answer are held."""
        attempt = self._find(runner_id)
        return 0 if attempt is None else attempt.held_bytes

    def data(self, runner_id: str, data: bytes, now: float) -> list[AttemptAction]:
        """Handle bytes of the response body."""
        attempt = self._find(runner_id)
        if attempt is None or attempt.head is None:
            return []
        if not self._is_stream(attempt.head):
            return self._on_body_data(attempt, data, now)
        actions: list[AttemptAction] = []
        events_before = attempt.buffer.events
        if complete_events := attempt.buffer.add(data):
            attempt.last_received_at = now
            actions += self._keep_only(attempt)
            self.events += attempt.buffer.events - events_before
            self._last_event_id = attempt.buffer.last_event_id
            if not self.started:
                self.started = True
                actions.append(StartResponse(attempt.head))
            actions.append(WriteResponse(complete_events))
        if attempt.buffer.too_long:
            reason = f"the runner's event is longer than {MAX_EVENT_BYTES} bytes"
            actions += self._retry_or_fail(attempt, now, reason)
        return actions

    def _on_body_data(
        self, attempt: Attempt, data: bytes, now: float
    ) -> list[AttemptAction]:
        attempt.last_received_at = now
        attempt.body.add(data)
        if len(attempt.body) <= _MAX_BODY_BYTES:
            return []
        return self._retry_or_fail(attempt, now, _TOO_LONG)

    def response_ended(self, runner_id: str, now: float) -> list[AttemptAction]:
        """Handle the end of a response that is complete by its HTTP framing."""
        attempt = self._find(runner_id)
        if attempt is None or attempt.head is None:
            return []
        head = attempt.head
        if self._is_stream(head):
            return self._on_stream_end(attempt, head, now)
        if not head.success:
            return self._on_error_response(attempt, head, now)
        whole = StartResponse(head, attempt.body.whole())
        return [*self._keep_only(attempt), *self._finish([whole])]

    def connection_lost(
        self, runner_id: str, now: float, reason: str
    ) -> list[AttemptAction]:
        """Handle a connection lost after at least part of the request was sent."""
        attempt = self._find(runner_id)
        if attempt is None:
            return []
        self.may_have_run = True
        return self._retry_or_fail(attempt, now, reason)

    def stalled(self, now: float) -> list[AttemptAction]:
        """Start a takeover of the silent current attempt, which stays in flight."""
        if self._current is None or self._takeover is not None:
            return []
        if not self._may_retry() or not self._may_take_over(now):
            return []
        excluded = self._excluded | {self._current.runner_id}
        other = self._picker.pick_for_takeover(excluded, now)
        if other is None or not self._picker.spend_retry(now):
            return []
        self.sends += 1
        self._takeover = Attempt(other, self._last_event_id, now)
        return [StartAttempt(other, self._last_event_id)]

    def deadline_passed(self, now: float) -> list[AttemptAction]:
        """End the request if its deadline has passed."""
        if now < self.deadline_s:
            return []
        return self.end_now("no complete response before the deadline", now)

    def end_now(self, reason: str, now: float) -> list[AttemptAction]:
        """End the request, and say whether it can have run."""
        if self.finished:
            return []
        cancel = self._cancel_all()
        if cancel:
            self.may_have_run = True
        if self.started or self._error_answer is not None:
            return [*cancel, *self._fail(reason, now)]
        if self.may_have_run:
            timeout = RefuseRequest(_GATEWAY_TIMEOUT, reason)
            return [*cancel, *self._finish([timeout])]
        return [*cancel, *self._fail(reason, now)]

    def client_disconnected(self) -> list[AttemptAction]:
        """Cancel the attempts in flight after the caller disconnected."""
        if self.finished:
            return []
        return self._finish(self._cancel_all())

    def _find(self, runner_id: str) -> Attempt | None:
        """Return the attempt in flight at a runner; ``None`` if it has ended."""
        return next(
            (each for each in self.attempts if each.runner_id == runner_id), None
        )

    def _is_stream(self, head: RunnerHead) -> bool:
        return head.success and self._route.kind is RequestKind.STREAM

    def _on_stream_end(
        self, attempt: Attempt, head: RunnerHead, now: float
    ) -> list[AttemptAction]:
        if attempt.buffer.pending:
            reason = "the runner's stream ended inside an event"
            return self._retry_or_fail(attempt, now, reason)
        start = [] if self.started else [StartResponse(head)]
        return [*self._keep_only(attempt), *self._finish([*start, FinishResponse()])]

    def _on_rejection(
        self, attempt: Attempt, head: RunnerHead, now: float
    ) -> list[AttemptAction]:
        cancel = CancelAttempt(attempt.runner_id)
        reason = f"the runner rejected the request with status {head.status}"
        if head.faulty_runner_id:
            self._excluded |= {head.faulty_runner_id}
        if attempt is self._takeover:
            self._takeover = None
            self._record_failed_takeover(now)
            self.sends -= 1
            if head.status not in _BUSY_STATUSES:
                self._excluded |= {attempt.runner_id}
            return [cancel]
        if self._end_beside_other(attempt):
            return [cancel]
        if self._has_attempts_left() and self._picker.spend_retry(now):
            return [cancel, *self._start_attempt(now, reason)]
        return [cancel, *self._fail(reason, now)]

    def _on_error_response(
        self, attempt: Attempt, head: RunnerHead, now: float
    ) -> list[AttemptAction]:
        whole = StartResponse(head, attempt.body.whole())
        if head.status < _SERVER_ERROR:
            return [*self._keep_only(attempt), *self._finish_with_error(whole)]
        if len(attempt.body) <= _MAX_KEPT_ERROR_BYTES:
            self._error_answer = whole
        if self._end_beside_other(attempt):
            return []
        if self._may_retry():
            other = self._picker.pick(self._excluded, now)
            if other is not None and self._picker.spend_retry(now):
                return [self._start_attempt_at(other, now)]
        return self._finish_with_error(whole)

    def _finish_with_error(self, whole: StartResponse) -> list[AttemptAction]:
        status = whole.head.status
        if status not in _NOT_RUN_STATUSES:
            return self._finish([whole])
        reason = f"the runner failed with status {status}"
        return self._finish([RefuseRequest(_BAD_GATEWAY, reason)])

    def _retry_or_fail(
        self, attempt: Attempt, now: float, reason: str
    ) -> list[AttemptAction]:
        cancel = CancelAttempt(attempt.runner_id)
        if self._end_beside_other(attempt):
            return [cancel]
        if self._may_retry() and self._picker.spend_retry(now):
            return [cancel, *self._start_attempt(now, reason)]
        return [cancel, *self._fail(reason, now)]

    def _has_attempts_left(self) -> bool:
        return self.sends < self._route.attempts

    def _may_retry(self) -> bool:
        return self._route.retryable and self._has_attempts_left()

    def _may_take_over(self, now: float) -> bool:
        return (
            self._failed_takeovers < _MAX_FAILED_TAKEOVERS
            and now - self._takeover_failed_at >= _TAKEOVER_PAUSE_S
        )

    def _record_failed_takeover(self, now: float) -> None:
        self._failed_takeovers += 1
        self._takeover_failed_at = now

    def _end_beside_other(self, attempt: Attempt) -> bool:
        """Remove a failed attempt; return whether another one continues."""
        self._excluded |= {attempt.runner_id}
        if attempt is self._current:
            self._current = self._takeover
        self._takeover = None
        return self._current is not None

    def _keep_only(self, attempt: Attempt) -> list[AttemptAction]:
        """Make this attempt the current one, and cancel the other."""
        other = self._current if attempt is self._takeover else self._takeover
        if other is None:
            return []
        if other is self._takeover and other.head is None:
            self.sends -= 1  # its runner has not begun to answer
        self._current, self._takeover = attempt, None
        self._excluded |= {other.runner_id}
        return [CancelAttempt(other.runner_id)]

    def _cancel_all(self) -> list[AttemptAction]:
        cancel: list[AttemptAction] = [
            CancelAttempt(each.runner_id) for each in self.attempts
        ]
        self._current = self._takeover = None
        return cancel

    def _start_attempt(self, now: float, reason: str) -> list[AttemptAction]:
        if now >= self.deadline_s:
            return self._fail(reason, now)
        runner_id = self._picker.pick(self._excluded, now)
        if runner_id is None:
            return self._fail(reason, now)
        return [self._start_attempt_at(runner_id, now)]

    def _start_attempt_at(self, runner_id: str, now: float) -> StartAttempt:
        self.sends += 1
        self._current = Attempt(runner_id, self._last_event_id, now)
        return StartAttempt(runner_id, self._last_event_id)

    def _fail(self, reason: str, now: float) -> list[AttemptAction]:
        if self.started:
            return self._finish([AbortResponse(reason)])
        if self._error_answer is not None:
            return self._finish_with_error(self._error_answer)
        if self.may_have_run:
            return self._finish([RefuseRequest(_BAD_GATEWAY, reason)])
        retry_after_s = self._picker.retry_after_s(now)
        return self._finish([RefuseRequest(_UNAVAILABLE, reason, retry_after_s)])

    def _finish(self, actions: list[AttemptAction]) -> list[AttemptAction]:
        self.finished = True
        self._current = self._takeover = None
        return actions


__all__ = ["DirectAttempts", "RunnerPicker"]
