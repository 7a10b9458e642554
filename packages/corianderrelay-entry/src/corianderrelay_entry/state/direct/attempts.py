"""State machine for the attempts of one direct request.

Each event method returns the actions that the relay must carry out. After an attempt
that may have run, only a retryable request gets another attempt. Status 503 means "not
run": it is sent only if no attempt was sent or every attempted runner proved that it
did not run the request. A stream resumes at another runner after its last complete
event.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .call import RunnerHead
from .catalog import RequestKind
from .event_buffer import MAX_EVENT_BYTES, EventBuffer

if TYPE_CHECKING:
    from .call import DirectCall
    from .catalog import Route

# Bodies that are not streamed are kept in memory until they are complete.
_MAX_BODY_BYTES = 4_194_304
_MAX_CONNECT_FAILURES = 3  # failed connections after which the request fails
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # callers read them as "not run"
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Action: start an attempt at exactly this runner; no other may accept it.

    :param resume_after: id of the last complete event; empty to start from the first.
    """

    runner_id: str
    resume_after: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: close the connection of the current attempt."""

    runner_id: str


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Action: send the runner's response head to the caller.

    :param body: the complete body; ``None`` if events follow.
    """

    head: RunnerHead
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class WriteResponse:
    """Action: send complete events to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishResponse:
    """Action: end the response; the stream is complete."""


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Action: respond with a status that the entry generates.

    :param retry_after_s: delay after which the caller may retry, in seconds; ``None``
        if the request may have run.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AbortResponse:
    """Action: close the caller's connection, which marks the response truncated."""

    reason: str


AttemptAction = (
    StartAttempt
    | CancelAttempt
    | StartResponse
    | WriteResponse
    | FinishResponse
    | RefuseRequest
    | AbortResponse
)


class RunnerPicker(Protocol):
    """Picks runners for one request and spends its retries from the retry budget."""

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, or ``None``."""

    def spend_retry(self, now: float) -> bool:
        """Spend one retry; return false if the budget is exhausted."""

    def retry_after_s(self, now: float) -> float:
        """Return the seconds after which a refused caller may find a runner."""


class DirectAttempts:
    """The attempts of one request.

    ``sends`` counts the attempts that were sent, without failed connections.

    :param deadline_s: monotonic time at which the request fails if it is unfinished.
    """

    __slots__ = (
        "_call",
        "_route",
        "_picker",
        "_buffer",
        "_head",
        "_body",
        "_excluded",
        "_connect_failures",
        "deadline_s",
        "sends",
        "runner_id",
        "may_have_run",
        "started",
        "finished",
        "sent_at",
        "last_received_at",
    )

    def __init__(
        self, call: DirectCall, route: Route, picker: RunnerPicker, deadline_s: float
    ) -> None:
        self._call = call
        self._route = route
        self._picker = picker
        self._buffer = EventBuffer(call.resume_after)
        self._head: RunnerHead | None = None
        self._body = bytearray()
        self._excluded: frozenset[str] = frozenset()
        self._connect_failures = 0
        self.deadline_s = deadline_s
        self.sends = 0
        self.runner_id = ""
        self.may_have_run = False
        self.started = False
        self.finished = False
        self.sent_at = 0.0
        self.last_received_at = 0.0

    @property
    def events(self) -> int:
        """Number of complete events received."""
        return self._buffer.events

    @property
    def in_flight(self) -> bool:
        """Whether an attempt is in flight."""
        return not self.finished and self.runner_id != ""

    def start(self, now: float) -> list[AttemptAction]:
        """Start the first attempt."""
        return self._start_attempt(now, "no runner of the service is available")

    def refuse_unsent(self, reason: str, retry_after_s: float) -> list[AttemptAction]:
        """Refuse the request if no attempt was sent, so that it cannot have run."""
        if self.finished or self.sends:
            return []
        refusal = RefuseRequest(_UNAVAILABLE, reason, retry_after_s)
        return self._finish([refusal])

    def connect_failed(self, now: float, reason: str) -> list[AttemptAction]:
        """Try another runner after a failed connection; this uses no retry budget."""
        if self.finished:
            return []
        self.sends -= 1
        self._connect_failures += 1
        self._release_runner()
        if self._connect_failures >= _MAX_CONNECT_FAILURES:
            return self._fail(reason, now)
        return self._start_attempt(now, reason)

    def head(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        """Handle the head of the runner's response."""
        if self.finished:
            return []
        self.last_received_at = now
        self._head = head
        if head.not_run:
            return self._on_rejection(head, now)
        self.may_have_run = True
        if head.success and (head.encoded or not head.signed):
            return self._retry_or_fail(
                now, "the runner's response is unsigned or encoded"
            )
        if self.started and not head.success:
            return self._retry_or_fail(
                now, f"the runner responded to a resume with status {head.status}"
            )
        return []

    def data(self, data: bytes, now: float) -> list[AttemptAction]:
        """Handle bytes of the response body."""
        if self.finished or self._head is None:
            return []
        if not self._is_stream(self._head):
            return self._on_body_data(data, now)
        actions: list[AttemptAction] = []
        if complete_events := self._buffer.add(data):
            self.last_received_at = now
            if not self.started:
                self.started = True
                actions.append(StartResponse(self._head))
            actions.append(WriteResponse(complete_events))
        if self._buffer.too_long:
            reason = f"the runner's event is longer than {MAX_EVENT_BYTES} bytes"
            actions += self._retry_or_fail(now, reason)
        return actions

    def _on_body_data(self, data: bytes, now: float) -> list[AttemptAction]:
        self.last_received_at = now
        self._body += data
        if len(self._body) <= _MAX_BODY_BYTES:
            return []
        return self._retry_or_fail(
            now, f"the runner's body is longer than {_MAX_BODY_BYTES} bytes"
        )

    def response_ended(self, now: float) -> list[AttemptAction]:
        """Handle the end of a response that is complete by its HTTP framing."""
        if self.finished or self._head is None:
            return []
        head = self._head
        if self._is_stream(head):
            return self._on_stream_end(head, now)
        if head.success:
            return self._finish([StartResponse(head, bytes(self._body))])
        return self._on_error_response(head, now)

    def connection_lost(self, now: float, reason: str) -> list[AttemptAction]:
        """Handle a connection lost after at least part of the request was sent."""
        if self.finished:
            return []
        self.may_have_run = True
        return self._retry_or_fail(now, reason)

    def stalled(self, now: float) -> list[AttemptAction]:
        """Move a stalled attempt to another runner if the request may be retried."""
        if not self.in_flight or not self._may_retry():
            return []
        other = self._picker.pick(self._excluded | {self.runner_id}, now)
        if other is None or not self._picker.spend_retry(now):
            return []
        self.may_have_run = True
        cancel = CancelAttempt(self.runner_id)
        self._release_runner()
        return [cancel, self._start_attempt_at(other, now)]

    def deadline_passed(self, now: float) -> list[AttemptAction]:
        """End the request if its deadline has passed."""
        if now < self.deadline_s:
            return []
        return self.end_now("no complete response before the deadline", now)

    def end_now(self, reason: str, now: float) -> list[AttemptAction]:
        """End the request, and say whether it can have run."""
        if self.finished:
            return []
        cancel: list[AttemptAction] = []
        if self.runner_id:
            cancel = [CancelAttempt(self.runner_id)]
            self.may_have_run = True
        if self.started:
            return [
                *cancel,
                *self._finish([AbortResponse(reason)]),
            ]
        if self.may_have_run:
            timeout = RefuseRequest(_GATEWAY_TIMEOUT, reason)
            return [*cancel, *self._finish([timeout])]
        return [*cancel, *self._fail(reason, now)]

    def client_disconnected(self) -> list[AttemptAction]:
        """Cancel the current attempt after the caller disconnected."""
        if self.finished:
            return []
        self.finished = True
        return [CancelAttempt(self.runner_id)] if self.runner_id else []

    def _is_stream(self, head: RunnerHead) -> bool:
        return head.success and self._route.kind is RequestKind.STREAM

    def _on_stream_end(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        if self._buffer.pending:
            return self._retry_or_fail(now, "the runner's stream ended inside an event")
        if not self.started:
            return self._finish([StartResponse(head), FinishResponse()])
        return self._finish([FinishResponse()])

    def _on_rejection(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        cancel = CancelAttempt(self.runner_id)
        reason = f"the runner rejected the request with status {head.status}"
        if head.faulty_runner_id:
            self._excluded |= {head.faulty_runner_id}
        self._release_runner()
        if self._has_attempts_left() and self._picker.spend_retry(now):
            return [cancel, *self._start_attempt(now, reason)]
        return [cancel, *self._fail(reason, now)]

    def _on_error_response(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        if head.status >= _SERVER_ERROR and self._may_retry():
            other = self._picker.pick(self._excluded | {self.runner_id}, now)
            if other is not None and self._picker.spend_retry(now):
                self._release_runner()
                return [self._start_attempt_at(other, now)]
        if head.status in _NOT_RUN_STATUSES:
            reason = f"the runner failed with status {head.status}"
            return self._finish([RefuseRequest(_BAD_GATEWAY, reason)])
        return self._finish([StartResponse(head, bytes(self._body))])

    def _retry_or_fail(self, now: float, reason: str) -> list[AttemptAction]:
        cancel: list[AttemptAction] = (
            [CancelAttempt(self.runner_id)] if self.runner_id else []
        )
        self._release_runner()
        if self._may_retry() and self._picker.spend_retry(now):
            return [*cancel, *self._start_attempt(now, reason)]
        return [*cancel, *self._fail(reason, now)]

    def _has_attempts_left(self) -> bool:
        return self.sends < self._route.attempts

    def _may_retry(self) -> bool:
        return self._route.retryable and self._has_attempts_left()

    def _release_runner(self) -> None:
        self._excluded |= {self.runner_id}
        self.runner_id = ""
        self._head = None
        self._body.clear()
        self._buffer.drop_partial()

    def _start_attempt(self, now: float, reason: str) -> list[AttemptAction]:
        if now >= self.deadline_s:
            return self._fail(reason, now)
        runner_id = self._picker.pick(self._excluded, now)
        if runner_id is None:
            return self._fail(reason, now)
        return [self._start_attempt_at(runner_id, now)]

    def _start_attempt_at(self, runner_id: str, now: float) -> StartAttempt:
        self.sends += 1
        self.runner_id = runner_id
        self.sent_at = self.last_received_at = now
        return StartAttempt(runner_id, self._buffer.last_event_id)

    def _fail(self, reason: str, now: float) -> list[AttemptAction]:
        if self.started:
            return self._finish([AbortResponse(reason)])
        if self.may_have_run:
            return self._finish([RefuseRequest(_BAD_GATEWAY, reason)])
        retry_after_s = self._picker.retry_after_s(now)
        return self._finish([RefuseRequest(_UNAVAILABLE, reason, retry_after_s)])

    def _finish(self, actions: list[AttemptAction]) -> list[AttemptAction]:
        self.finished = True
        self.runner_id = ""
        return actions


__all__ = [
    "AbortResponse",
    "CancelAttempt",
    "DirectAttempts",
    "AttemptAction",
    "FinishResponse",
    "RefuseRequest",
    "RunnerPicker",
    "StartAttempt",
    "StartResponse",
    "WriteResponse",
]
