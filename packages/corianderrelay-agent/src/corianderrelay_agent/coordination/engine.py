"""The interface between the agent and its engine or plain service.

An adapter in the transport layer implements ``Engine``. To support another kind of
engine, only another adapter is needed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from corianderrelay.state.errors import RelayError

    from ..state.engine_pace import EngineStatement


@dataclass(slots=True, frozen=True)
class EngineCall:
    """One HTTP request to the engine.

    :param path: path and query string, beginning with a slash.
    :param headers: further headers by name.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class AnswerSink(Protocol):
    """Receives one answer: ``on_head``, then ``on_data`` for each part of the body.

    ``on_statement`` comes before ``on_head``.

    The last callback is ``on_end``, or ``on_failure``, which may come at any point. A
    cancelled call receives neither.
    """

    def on_statement(self, statement: EngineStatement) -> None:
        """Receive what the engine states of itself."""

    def on_head(self, status: int, content_type: str) -> None:
        """Receive the HTTP status and the content type."""

    def on_data(self, data: bytes) -> None:
        """Receive the next bytes of the body."""

    def on_end(self) -> None:
        """Receive the end of the complete body."""

    def on_failure(self, error: RelayError) -> None:
        """Receive a failure; ``error.ran`` says whether the engine ran the call."""


class RunningCall(Protocol):
    """A call in flight."""

    def cancel(self) -> None:
        """Cancel the call; the sink receives no further callbacks."""

    def pause(self) -> None:
        """Stop reading the answer."""

    def resume(self) -> None:
        """Read on."""


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """The engine's latest load report, which lags behind its actual load.

    :param age_s: age of the report when the engine sent it, in seconds.
    """

    running: int
    queued: int
    queued_tokens: int
    tokens_per_s: float
    age_s: float


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to load a model, adapter or version, or to change the role.

    :param action: ``load_model``, ``load_adapter``, ``load_version`` or ``set_role``.
    :param fencing_token: an engine that checks fencing tokens refuses an order whose
        token is lower than the highest that it has accepted.
    """

    action: str
    name: str
    fencing_token: int


class Engine(Protocol):
    """The engine or plain service that runs on the agent's own instance."""

    def start_call(self, call: EngineCall, sink: AnswerSink) -> RunningCall:
        """Start a call and pass its answer to ``sink`` as it arrives.

        The sink receives no callback before this method has returned.
        """

    def check_reachable(self) -> Deferred[bool]:
        """Return whether the engine accepts connections; never fails."""

    def fetch_load(self) -> Deferred[EngineLoad]:
        """Fetch the load report.

        :raises UnavailableError: the engine returned no valid report.
        """

    def send_order(self, order: EngineOrder) -> Deferred[None]:
        """Send an order to the engine.

        :raises FencedError: the engine has accepted a higher fencing token before.
        :raises UnavailableError: the order had no effect.
        :raises EndpointFailedError: the order may have taken effect.
        """


__all__ = [
    "AnswerSink",
    "Engine",
    "EngineCall",
    "EngineLoad",
    "EngineOrder",
    "RunningCall",
]
