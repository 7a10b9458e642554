"""The state of an open request, and the listener for its attempts' events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.catalog import RequestKind
from ...state.direct.fingerprint import request_fingerprint

if TYPE_CHECKING:
    from ...state.direct.attempts import DirectAttempts
    from ...state.direct.call import DirectCall, RunnerHead
    from ...state.direct.runner_list import RegisteredRunner
    from .call_validation import AcceptedCall
    from .direct_relay import DirectRelay
    from .ports import AnswerSink, RunnerAttempt


class OpenDirectCall:
    """One request from its acceptance to its final answer.

    :param number: unique in this process, unlike the ids that callers choose.
    :param accepted: the result of the request's validation.
    :param service: the service that was chosen for the request.
    :ivar fingerprint: the same for all requests of a caller that ask for the same.
    :ivar crash_round: round of the current attempt, see ``CrashLedger``.
    :ivar sent_to: the runner of the current attempt, as registered when it was sent.
    :ivar attempt_events_count: number of events that the current attempt received.
    """

    __slots__ = (
        "number",
        "call",
        "sink",
        "fingerprint",
        "crash_round",
        "sent_to",
        "attempt_events_count",
        "route",
        "service",
        "workspace",
        "requires_valid_key",
        "priority",
        "attempts",
        "attempt_events",
        "runner_attempt",
        "runner_id",
        "last_runner_id",
        "status",
        "first_byte_at",
        "last_event_at",
    )

    attempts: DirectAttempts

    def __init__(
        self,
        number: int,
        call: DirectCall,
        sink: AnswerSink,
        accepted: AcceptedCall,
        service: str,
    ) -> None:
        self.number = number
        self.call = call
        self.sink = sink
        self.route = accepted.route
        self.service = service
        self.workspace = accepted.workspace
        self.fingerprint = request_fingerprint(call, accepted.workspace)
        self.requires_valid_key = accepted.requires_valid_key
        self.priority = accepted.priority
        self.crash_round = 0
        self.sent_to: RegisteredRunner | None = None
        self.attempt_events_count = 0
        self.attempt_events: AttemptEvents | None = None
        self.runner_attempt: RunnerAttempt | None = None
        self.runner_id = ""
        self.last_runner_id = ""
        self.status = 0
        self.first_byte_at = 0.0
        self.last_event_at = 0.0

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts of the prompt that other requests may have, too."""
        return self.call.shared_parts

    @property
    def is_caller_retry(self) -> bool:
        """Whether the caller seems to retry: it waits less than the route's timeout."""
        max_wait_s = self.call.max_wait_s
        if max_wait_s is None or self.route.kind is not RequestKind.STREAM:
            return False
        return max_wait_s < self.route.timeout_s


class AttemptEvents:
    """Forwards the events of one attempt to the relay until it is detached."""

    __slots__ = ("_relay", "_opened")

    def __init__(self, relay: DirectRelay, opened: OpenDirectCall) -> None:
        self._relay = relay
        self._opened: OpenDirectCall | None = opened

    def detach(self) -> None:
        """Ignore all further events of this attempt."""
        self._opened = None

    def on_not_sent(self, reason: str) -> None:
        """No byte of the request reached the runner."""
        if self._opened is not None:
            self._relay.on_not_sent(self._opened, reason)

    def on_head(self, head: RunnerHead) -> None:
        """The head of the answer was received."""
        if self._opened is not None:
            self._relay.on_head(self._opened, head)

    def on_data(self, data: bytes) -> None:
        """Body data of the answer was received."""
        if self._opened is not None:
            self._relay.on_data(self._opened, data)

    def on_end(self) -> None:
        """The answer is complete by its framing."""
        if self._opened is not None:
            self._relay.on_end(self._opened)

    def on_incomplete(self, reason: str) -> None:
        """The attempt failed without a complete answer; the runner may have run it."""
        if self._opened is not None:
            self._relay.on_incomplete(self._opened, reason)


__all__ = ["OpenDirectCall", "AttemptEvents"]
