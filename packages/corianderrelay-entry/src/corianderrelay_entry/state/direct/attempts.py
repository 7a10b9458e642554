"""The sends of one direct request, until its whole answer or a true refusal.

Events go in, orders come out. A request that may run once is sent once. "Not run" is
said only if nothing was sent, or if every runner that had it has proved so. A stream
goes on at another runner after its last whole event.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .call import RunnerHead
from .catalog import RequestKind
from .event_buffer import EventBuffer

if TYPE_CHECKING:
    from .call import DirectCall
    from .catalog import Route

_MAX_CONNECT_FAILURES = (
    3  # runners that may refuse a connection before the request gives up
)
_RETRY_AFTER_S = 0.1  # a rejected request finds another runner free within about a pass
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Order: send the request to this runner, which nobody else may take it for."""

    runner_id: str
    resume_after: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Order: close the connection of the present send."""

    runner_id: str


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Order: pass the runner's head on; ``body`` is whole if it is not ``None``."""

    head: RunnerHead
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class WriteResponse:
    """Order: pass whole events on."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishResponse:
    """Order: the stream is whole."""


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Order: answer with a status of our own.

    :param retry_after_s: when asking again can help; ``None`` where the request may
        have run.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AbortResponse:
    """Order: close the caller's connection, so that the answer does not look whole."""

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
    """Picks runners for one request and pays for its repeats."""

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, or ``None``."""

    def take_retry(self, now: float) -> bool:
        """Pay for sending the request once more; false if the budget is spent."""


class DirectAttempts:
    """One request's sends.

    :param deadline_s: monotonic time after which the caller gets a final answer.
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
        self._body: list[bytes] = []
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
        """Whole events that have come."""
        return self._buffer.events

    @property
    def in_flight(self) -> bool:
        """Whether a runner has the request at this moment."""
        return not self.finished and self.runner_id != ""

    def start(self, now: float) -> list[AttemptAction]:
        """Send the request for the first time."""
        return self._start_attempt(now, "no runner of the service is usable")

    def refuse_unsent(self, reason: str, retry_after_s: float) -> list[AttemptAction]:
        """End a request that was never sent: it has not run and will not."""
        if self.finished or self.sends:
            return []
        refusal = RefuseRequest(_UNAVAILABLE, reason, retry_after_s)
        return self._finish([refusal])

    def not_sent(self, now: float, reason: str) -> list[AttemptAction]:
        """No byte reached the runner: ask another one, at no price."""
        if self.finished:
            return []
        self.sends -= 1
        self._connect_failures += 1
        self._release_runner()
        if self._connect_failures >= _MAX_CONNECT_FAILURES:
            return self._fail(reason)
        return self._start_attempt(now, reason)

    def head(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        """The head of the runner's answer has come."""
        if self.finished:
            return []
        self.last_received_at = now
        self._head = head
        if head.not_run:
            return self._on_rejection(head, now)
        self.may_have_run = True
        if head.success and (head.encoded or not head.signed):
            return self._retry_or_fail(now, "the runner's answer is not its own bytes")
        if self.started and not head.success:
            return self._retry_or_fail(
                now, f"the runner answered {head.status} to a resume"
            )
        return []

    def data(self, data: bytes, now: float) -> list[AttemptAction]:
        """Bytes of the answer's body have come."""
        if self.finished or self._head is None:
            return []
        self.last_received_at = now
        if not self._is_stream(self._head):
            self._body.append(data)
            return []
        complete_events = self._buffer.add(data)
        if not complete_events:
            return []
        actions: list[AttemptAction] = []
        if not self.started:
            self.started = True
            actions.append(StartResponse(self._head))
        return [*actions, WriteResponse(complete_events)]

    def response_ended(self, now: float) -> list[AttemptAction]:
        """The runner's answer is whole by its framing."""
        if self.finished or self._head is None:
            return []
        head = self._head
        if self._is_stream(head):
            return self._on_stream_end(head, now)
        if head.success:
            return self._finish([StartResponse(head, b"".join(self._body))])
        return self._on_error_response(head, now)

    def connection_lost(self, now: float, reason: str) -> list[AttemptAction]:
        """The request was sent, or a part of it, and no whole answer came."""
        if self.finished:
            return []
        self.may_have_run = True
        return self._retry_or_fail(now, reason)

    def stalled(self, now: float) -> list[AttemptAction]:
        """The present runner is silent: go on elsewhere if that is allowed."""
        if not self.in_flight or not self._may_retry():
            return []
        other = self._picker.pick(self._excluded | {self.runner_id}, now)
        if other is None or not self._picker.take_retry(now):
            return []
        self.may_have_run = True
        cancel = CancelAttempt(self.runner_id)
        self._release_runner()
        return [cancel, self._start_attempt_at(other, now)]

    def deadline_passed(self, now: float) -> list[AttemptAction]:
        """End the request if its time is over."""
        if self.finished or now < self.deadline_s:
            return []
        cancel: list[AttemptAction] = []
        if self.runner_id:
            cancel = [CancelAttempt(self.runner_id)]
            self.may_have_run = True
        if self.started:
            return [
                *cancel,
                *self._finish([AbortResponse("the request's time is over")]),
            ]
        if self.may_have_run:
            timeout = RefuseRequest(_GATEWAY_TIMEOUT, "no runner answered in time")
            return [*cancel, *self._finish([timeout])]
        return [*cancel, *self._fail("no runner took the request in time")]

    def client_disconnected(self) -> list[AttemptAction]:
        """The caller has left: stop the runner's work."""
        if self.finished:
            return []
        self.finished = True
        return [CancelAttempt(self.runner_id)] if self.runner_id else []

    def _is_stream(self, head: RunnerHead) -> bool:
        return head.success and self._route.kind is RequestKind.STREAM

    def _on_stream_end(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        if self._buffer.pending:
            return self._retry_or_fail(now, "the runner's stream ended within an event")
        if not self.started:
            return self._finish([StartResponse(head), FinishResponse()])
        return self._finish([FinishResponse()])

    def _on_rejection(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        cancel = CancelAttempt(self.runner_id)
        reason = f"the runner rejected the request with status {head.status}"
        if head.faulty_runner_id:
            self._excluded |= {head.faulty_runner_id}
        self._release_runner()
        if self._has_attempts_left() and self._picker.take_retry(now):
            return [cancel, *self._start_attempt(now, reason)]
        return [cancel, *self._fail(reason)]

    def _on_error_response(self, head: RunnerHead, now: float) -> list[AttemptAction]:
        if head.status >= _SERVER_ERROR and self._may_retry():
            other = self._picker.pick(self._excluded | {self.runner_id}, now)
            if other is not None and self._picker.take_retry(now):
                self._release_runner()
                return [self._start_attempt_at(other, now)]
        if head.status in _NOT_RUN_STATUSES:
            reason = f"the runner failed with status {head.status}"
            return self._finish([RefuseRequest(_BAD_GATEWAY, reason)])
        return self._finish([StartResponse(head, b"".join(self._body))])

    def _retry_or_fail(self, now: float, reason: str) -> list[AttemptAction]:
        cancel: list[AttemptAction] = (
            [CancelAttempt(self.runner_id)] if self.runner_id else []
        )
        self._release_runner()
        if self._may_retry() and self._picker.take_retry(now):
            return [*cancel, *self._start_attempt(now, reason)]
        return [*cancel, *self._fail(reason)]

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
            return self._fail(reason)
        runner_id = self._picker.pick(self._excluded, now)
        if runner_id is None:
            return self._fail(reason)
        return [self._start_attempt_at(runner_id, now)]

    def _start_attempt_at(self, runner_id: str, now: float) -> StartAttempt:
        self.sends += 1
        self.runner_id = runner_id
        self.sent_at = self.last_received_at = now
        return StartAttempt(runner_id, self._buffer.last_id)

    def _fail(self, reason: str) -> list[AttemptAction]:
        if self.started:
            return self._finish([AbortResponse(reason)])
        if self.may_have_run:
            return self._finish([RefuseRequest(_BAD_GATEWAY, reason)])
        return self._finish([RefuseRequest(_UNAVAILABLE, reason, _RETRY_AFTER_S)])

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
