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
from .event_frames import EventFrames

if TYPE_CHECKING:
    from .call import DirectCall
    from .catalog import Route

_MAX_UNSENT = 3  # runners that may refuse a connection before the request gives up
_RETRY_SOON_S = 0.1  # a rejected request finds another runner free within about a pass
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Send:
    """Order: send the request to this runner, which nobody else may take it for."""

    runner_id: str
    resume_after: str


@dataclass(frozen=True, slots=True)
class CancelSend:
    """Order: close the connection of the present send."""

    runner_id: str


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Order: pass the runner's head on; ``body`` is whole if it is not ``None``."""

    head: RunnerHead
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Order: pass whole events on."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Order: the stream is whole."""


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Order: answer with a status of our own.

    :param retry_after_s: when asking again can help; ``None`` where the request may
        have run.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class BreakAnswer:
    """Order: close the caller's connection, so that the answer does not look whole."""

    reason: str


DirectOrder = (
    Send
    | CancelSend
    | StartAnswer
    | WriteAnswer
    | FinishAnswer
    | RefuseCall
    | BreakAnswer
)


class RunnerPicker(Protocol):
    """Picks runners for one request and pays for its repeats."""

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, or ``None``."""

    def take_repeat(self, now: float) -> bool:
        """Pay for sending the request once more; false if the budget is spent."""


class DirectAttempts:
    """One request's sends.

    :param deadline_s: monotonic time after which the caller gets a final answer.
    """

    __slots__ = (
        "_call",
        "_route",
        "_picker",
        "_frames",
        "_head",
        "_body",
        "_excluded",
        "_unsent",
        "deadline_s",
        "sends",
        "runner_id",
        "may_have_run",
        "started",
        "over",
        "sent_at",
        "heard_at",
    )

    def __init__(
        self, call: DirectCall, route: Route, picker: RunnerPicker, deadline_s: float
    ) -> None:
        self._call = call
        self._route = route
        self._picker = picker
        self._frames = EventFrames(call.resume_after)
        self._head: RunnerHead | None = None
        self._body: list[bytes] = []
        self._excluded: frozenset[str] = frozenset()
        self._unsent = 0
        self.deadline_s = deadline_s
        self.sends = 0
        self.runner_id = ""
        self.may_have_run = False
        self.started = False
        self.over = False
        self.sent_at = 0.0
        self.heard_at = 0.0

    @property
    def events(self) -> int:
        """Whole events that have come."""
        return self._frames.events

    @property
    def waiting(self) -> bool:
        """Whether a runner has the request at this moment."""
        return not self.over and self.runner_id != ""

    def start(self, now: float) -> list[DirectOrder]:
        """Send the request for the first time."""
        return self._send(now, "no runner of the service is usable")

    def refuse_unsent(self, reason: str, retry_after_s: float) -> list[DirectOrder]:
        """End a request that was never sent: it has not run and will not."""
        if self.over or self.sends:
            return []
        refusal = RefuseCall(_UNAVAILABLE, reason, retry_after_s)
        return self._finish([refusal])

    def not_sent(self, now: float, reason: str) -> list[DirectOrder]:
        """No byte reached the runner: ask another one, at no price."""
        if self.over:
            return []
        self.sends -= 1
        self._unsent += 1
        self._leave()
        if self._unsent >= _MAX_UNSENT:
            return self._give_up(reason)
        return self._send(now, reason)

    def head(self, head: RunnerHead, now: float) -> list[DirectOrder]:
        """The head of the runner's answer has come."""
        if self.over:
            return []
        self.heard_at = now
        self._head = head
        if head.not_run:
            return self._rejected(head, now)
        self.may_have_run = True
        if head.success and (head.encoded or not head.signed):
            return self._again(now, "the runner's answer is not its own bytes")
        if self.started and not head.success:
            return self._again(now, f"the runner answered {head.status} to a resume")
        return []

    def data(self, data: bytes, now: float) -> list[DirectOrder]:
        """Bytes of the answer's body have come."""
        if self.over or self._head is None:
            return []
        self.heard_at = now
        if not self._streams(self._head):
            self._body.append(data)
            return []
        whole = self._frames.add(data)
        if not whole:
            return []
        orders: list[DirectOrder] = []
        if not self.started:
            self.started = True
            orders.append(StartAnswer(self._head))
        return [*orders, WriteAnswer(whole)]

    def ended(self, now: float) -> list[DirectOrder]:
        """The runner's answer is whole by its framing."""
        if self.over or self._head is None:
            return []
        head = self._head
        if self._streams(head):
            return self._stream_ended(head, now)
        if head.success:
            return self._finish([StartAnswer(head, b"".join(self._body))])
        return self._failed_answer(head, now)

    def broken(self, now: float, reason: str) -> list[DirectOrder]:
        """The request was sent, or a part of it, and no whole answer came."""
        if self.over:
            return []
        self.may_have_run = True
        return self._again(now, reason)

    def stuck(self, now: float) -> list[DirectOrder]:
        """The present runner is silent: go on elsewhere if that is allowed."""
        if not self.waiting or not self._may_repeat():
            return []
        other = self._picker.pick(self._excluded | {self.runner_id}, now)
        if other is None or not self._picker.take_repeat(now):
            return []
        self.may_have_run = True
        cancel = CancelSend(self.runner_id)
        self._leave()
        return [cancel, self._send_to(other, now)]

    def deadline_passed(self, now: float) -> list[DirectOrder]:
        """End the request if its time is over."""
        if self.over or now < self.deadline_s:
            return []
        cancel: list[DirectOrder] = []
        if self.runner_id:
            cancel = [CancelSend(self.runner_id)]
            self.may_have_run = True
        if self.started:
            return [*cancel, *self._finish([BreakAnswer("the request's time is over")])]
        if self.may_have_run:
            late = RefuseCall(_GATEWAY_TIMEOUT, "no runner answered in time")
            return [*cancel, *self._finish([late])]
        return [*cancel, *self._give_up("no runner took the request in time")]

    def caller_gone(self) -> list[DirectOrder]:
        """The caller has left: stop the runner's work."""
        if self.over:
            return []
        self.over = True
        return [CancelSend(self.runner_id)] if self.runner_id else []

    def _streams(self, head: RunnerHead) -> bool:
        return head.success and self._route.kind is RequestKind.STREAM

    def _stream_ended(self, head: RunnerHead, now: float) -> list[DirectOrder]:
        if self._frames.pending:
            return self._again(now, "the runner's stream ended within an event")
        if not self.started:
            return self._finish([StartAnswer(head), FinishAnswer()])
        return self._finish([FinishAnswer()])

    def _rejected(self, head: RunnerHead, now: float) -> list[DirectOrder]:
        cancel = CancelSend(self.runner_id)
        reason = f"the runner rejected the request with status {head.status}"
        if head.at_fault:
            self._excluded |= {head.at_fault}
        self._leave()
        if self._may_send_again() and self._picker.take_repeat(now):
            return [cancel, *self._send(now, reason)]
        return [cancel, *self._give_up(reason)]

    def _failed_answer(self, head: RunnerHead, now: float) -> list[DirectOrder]:
        if head.status >= _SERVER_ERROR and self._may_repeat():
            other = self._picker.pick(self._excluded | {self.runner_id}, now)
            if other is not None and self._picker.take_repeat(now):
                self._leave()
                return [self._send_to(other, now)]
        if head.status in _PROMISES_NOT_RUN:
            reason = f"the runner failed with status {head.status}"
            return self._finish([RefuseCall(_BAD_GATEWAY, reason)])
        return self._finish([StartAnswer(head, b"".join(self._body))])

    def _again(self, now: float, reason: str) -> list[DirectOrder]:
        cancel: list[DirectOrder] = (
            [CancelSend(self.runner_id)] if self.runner_id else []
        )
        self._leave()
        if self._may_repeat() and self._picker.take_repeat(now):
            return [*cancel, *self._send(now, reason)]
        return [*cancel, *self._give_up(reason)]

    def _may_send_again(self) -> bool:
        return self.sends < self._route.attempts

    def _may_repeat(self) -> bool:
        return self._route.repeatable and self._may_send_again()

    def _leave(self) -> None:
        self._excluded |= {self.runner_id}
        self.runner_id = ""
        self._head = None
        self._body.clear()
        self._frames.restart()

    def _send(self, now: float, reason: str) -> list[DirectOrder]:
        if now >= self.deadline_s:
            return self._give_up(reason)
        runner_id = self._picker.pick(self._excluded, now)
        if runner_id is None:
            return self._give_up(reason)
        return [self._send_to(runner_id, now)]

    def _send_to(self, runner_id: str, now: float) -> Send:
        self.sends += 1
        self.runner_id = runner_id
        self.sent_at = self.heard_at = now
        return Send(runner_id, self._frames.last_id)

    def _give_up(self, reason: str) -> list[DirectOrder]:
        if self.started:
            return self._finish([BreakAnswer(reason)])
        if self.may_have_run:
            return self._finish([RefuseCall(_BAD_GATEWAY, reason)])
        return self._finish([RefuseCall(_UNAVAILABLE, reason, _RETRY_SOON_S)])

    def _finish(self, orders: list[DirectOrder]) -> list[DirectOrder]:
        self.over = True
        self.runner_id = ""
        return orders


__all__ = [
    "BreakAnswer",
    "CancelSend",
    "DirectAttempts",
    "DirectOrder",
    "FinishAnswer",
    "RefuseCall",
    "RunnerPicker",
    "Send",
    "StartAnswer",
    "WriteAnswer",
]
