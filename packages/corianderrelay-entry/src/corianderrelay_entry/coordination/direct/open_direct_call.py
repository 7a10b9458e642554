"""The state of an open request, and of its attempts in flight."""

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
    :ivar attempts_by_runner: the attempts in flight: one, and a takeover of it.
    :ivar last_event_at: when events of the answer last arrived, from any runner.
    """

    __slots__ = (
        "number",
        "call",
        "sink",
        "fingerprint",
        "route",
        "service",
        "workspace",
        "requires_valid_key",
        "priority",
        "attempts",
        "attempts_by_runner",
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
        self.attempts_by_runner: dict[str, OpenAttempt] = {}
        self.last_runner_id = ""
        self.status = 0
        self.first_byte_at = 0.0
        self.last_event_at = 0.0

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts of the prompt that other requests may have, too."""
        return self.call.shared_parts

    @property
    def earlier_wait_s(self) -> float:
        """Seconds, at least, for which the caller waited before it came back."""
        if not self.is_caller_retry or self.call.max_wait_s is None:
            return 0.0
        return self.route.timeout_s - self.call.max_wait_s

    @property
    def is_caller_retry(self) -> bool:
        """Whether the caller seems to retry: it waits less than the route's timeout."""
        max_wait_s = self.call.max_wait_s
        if max_wait_s is None or self.route.kind is not RequestKind.STREAM:
            return False
        return max_wait_s < self.route.timeout_s


class OpenAttempt:
    """One attempt in flight; forwards its events to the relay until it is detached.

    :param runner: the runner, as registered when the attempt was sent.
    :ivar crash_round: round of the attempt, see ``CrashLedger``.
    :ivar events_count: number of events that the attempt has received.
    :ivar length_known: whether room for the whole answer was asked for in advance.
    :ivar waits_for_room: whether the answer is not read, as there is no room for it.
    """

    __slots__ = (
        "opened",
        "runner",
        "sent_at",
        "crash_round",
        "events_count",
        "connection",
        "length_known",
        "waits_for_room",
        "_relay",
        "_detached",
    )

    def __init__(
        self,
        relay: DirectRelay,
        opened: OpenDirectCall,
        runner: RegisteredRunner,
        sent_at: float,
    ) -> None:
        self.opened = opened
        self.runner = runner
        self.sent_at = sent_at
        self.crash_round = 0
        self.events_count = 0
        self.connection: RunnerAttempt | None = None
        self.length_known = False
        self.waits_for_room = False
        self._relay = relay
        self._detached = False

    @property
    def runner_id(self) -> str:
        """The id of the attempt's runner."""
        return self.runner.runner_id

    @property
    def holds_for(self) -> str:
        """The id of the request, see ``ByteHolder``."""
        return self.opened.call.request_id

    @property
    def detached(self) -> bool:
        """Whether the attempt has ended."""
        return self._detached

    def drop_held(self) -> None:
        """Fail the attempt, as the entry holds too many bytes."""
        if not self._detached:
            self._relay.on_no_room(self)

    def on_room(self) -> None:
        """Read the answer, for which there is room now."""
        self.waits_for_room = False
        if self.connection is not None:
            self.connection.resume()

    def wait_for_room(self) -> None:
        """Stop reading the answer until there is room for it."""
        self.waits_for_room = True
        if self.connection is not None:
            self.connection.pause()

    def detach(self) -> None:
        """Ignore all further events of this attempt."""
        self._detached = True

    def may_be_sent(self) -> bool:
        """Whether the runner still takes requests, just before the first byte."""
        return self._relay.may_be_sent(self)

    def on_not_sent(self, reason: str) -> None:
        """No byte of the request reached the runner."""
        if not self._detached:
            self._relay.on_not_sent(self, reason)

    def on_head(self, head: RunnerHead) -> None:
        """The head of the answer was received."""
        if not self._detached:
            self._relay.on_head(self, head)

    def on_data(self, data: bytes) -> None:
        """Body data of the answer was received."""
        if not self._detached:
            self._relay.on_data(self, data)

    def on_end(self) -> None:
        """The answer is complete by its framing."""
        if not self._detached:
            self._relay.on_end(self)

    def on_incomplete(self, reason: str) -> None:
        """The attempt failed without a complete answer; the runner may have run it."""
        if not self._detached:
            self._relay.on_incomplete(self, reason)


__all__ = ["OpenDirectCall", "OpenAttempt"]
