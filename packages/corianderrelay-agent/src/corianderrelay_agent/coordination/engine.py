"""What the agent needs of the engine or plain service beside it.

An adapter in the transport layer implements it; another engine needs another adapter
and nothing else.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from corianderrelay.state.errors import RelayError


@dataclass(slots=True, frozen=True)
class EngineCall:
    """One HTTP call to the engine.

    :param path: path with its query, beginning with a slash.
    :param headers: further headers by name.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class AnswerSink(Protocol):
    """Receives one answer: a head, data, then exactly one of end and failure."""

    def on_head(self, status: int, content_type: str) -> None:
        """Take the HTTP status and the content type."""

    def on_data(self, data: bytes) -> None:
        """Take the next bytes of the body."""

    def on_end(self) -> None:
        """Note that the body is whole."""

    def on_failure(self, error: RelayError) -> None:
        """Note that no more will come; ``error.ran`` says whether the call ran."""


class RunningCall(Protocol):
    """A call that was started."""

    def cancel(self) -> None:
        """Stop the call; the sink hears nothing more of it."""


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """What the engine last reported of its load; it lags.

    :param age_s: age of the report at the engine, in seconds.
    """

    running: int
    queued: int
    queued_tokens: int
    tokens_per_s: float
    age_s: float


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to load something or to change role.

    :param action: ``load_model``, ``load_adapter``, ``load_version`` or ``set_role``.
    :param fencing_token: number of the order; an engine that checks it refuses one
        lower than the highest that it has obeyed.
    """

    action: str
    name: str
    fencing_token: int


class Engine(Protocol):
    """An engine or plain service on the agent's own instance."""

    def start(self, call: EngineCall, sink: AnswerSink) -> RunningCall:
        """Start a call and pass its answer to ``sink`` as it arrives.

        The sink hears nothing before this method has returned.
        """

    def fetch_load(self) -> Deferred[EngineLoad]:
        """Return the load report.

        :raises UnavailableError: the engine gave no report.
        """

    def send_order(self, order: EngineOrder) -> Deferred[None]:
        """Give an order.

        :raises FencedError: the engine obeyed a higher fencing token before.
        :raises UnavailableError: the order had no effect.
        :raises EndpointFailedError: the order may have had its effect.
        """


__all__ = [
    "AnswerSink",
    "Engine",
    "EngineCall",
    "EngineLoad",
    "EngineOrder",
    "RunningCall",
]
