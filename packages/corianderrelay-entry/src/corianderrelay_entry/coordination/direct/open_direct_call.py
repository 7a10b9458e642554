"""An open request of the direct path with what carries it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.catalog import RequestKind

if TYPE_CHECKING:
    from ...state.direct.attempts import DirectAttempts
    from ...state.direct.call import DirectCall, RunnerHead
    from .call_gate import Passed
    from .direct_relay import DirectRelay
    from .ports import DirectSink, RunnerSend


class OpenDirectCall:
    """One request between its arrival and its final answer.

    :param number: identifies it in this process; callers' ids may come twice.
    :param passed: what the gate has found of it.
    :param service: the service that was drawn for it.
    """

    __slots__ = (
        "number",
        "call",
        "sink",
        "route",
        "service",
        "workspace",
        "keyed",
        "priority",
        "attempts",
        "events",
        "send",
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
        sink: DirectSink,
        passed: Passed,
        service: str,
    ) -> None:
        self.number = number
        self.call = call
        self.sink = sink
        self.route = passed.route
        self.service = service
        self.workspace = passed.workspace
        self.keyed = passed.keyed
        self.priority = passed.priority
        self.events: SendEvents | None = None
        self.send: RunnerSend | None = None
        self.runner_id = ""
        self.last_runner_id = ""
        self.status = 0
        self.first_byte_at = 0.0
        self.last_event_at = 0.0

    @property
    def returned(self) -> bool:
        """Whether the caller has waited before: it will wait less than is usual."""
        max_wait_s = self.call.max_wait_s
        if max_wait_s is None or self.route.kind is not RequestKind.STREAM:
            return False
        return max_wait_s < self.route.timeout_s


class SendEvents:
    """Passes the events of one send on, until the request has left that runner."""

    __slots__ = ("_relay", "_opened")

    def __init__(self, relay: DirectRelay, opened: OpenDirectCall) -> None:
        self._relay = relay
        self._opened: OpenDirectCall | None = opened

    def detach(self) -> None:
        """Drop what still comes of this send."""
        self._opened = None

    def on_not_sent(self, reason: str) -> None:
        """No byte of the request reached the runner."""
        if self._opened is not None:
            self._relay.on_not_sent(self._opened, reason)

    def on_head(self, head: RunnerHead) -> None:
        """The head of the answer has come."""
        if self._opened is not None:
            self._relay.on_head(self._opened, head)

    def on_data(self, data: bytes) -> None:
        """A piece of the answer's body has come."""
        if self._opened is not None:
            self._relay.on_data(self._opened, data)

    def on_end(self) -> None:
        """The answer is whole by its framing."""
        if self._opened is not None:
            self._relay.on_end(self._opened)

    def on_broken(self, reason: str) -> None:
        """The request may have reached the runner, and no whole answer came."""
        if self._opened is not None:
            self._relay.on_broken(self._opened, reason)


__all__ = ["OpenDirectCall", "SendEvents"]
