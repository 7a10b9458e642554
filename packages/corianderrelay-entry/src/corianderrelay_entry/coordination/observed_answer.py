"""Logs an answer and records its metrics while it is sent to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from eliot import Action

    from corianderrelay.state.errors import RelayError

    from .answer_sink import AnswerSink
    from .request_metrics import RequestMetrics


class ObservedAnswer:
    """Forwards an answer to ``sink`` and records its start and its end.

    :param action: the request's Eliot action, which finishes with the answer.
    :param seconds: returns the monotonic time in seconds.
    """

    __slots__ = ("_sink", "_action", "_metrics", "_service", "_seconds", "_started_s")

    def __init__(
        self,
        sink: AnswerSink,
        action: Action,
        metrics: RequestMetrics,
        service: str,
        seconds: Callable[[], float],
    ) -> None:
        self._sink = sink
        self._action = action
        self._metrics = metrics
        self._service = service
        self._seconds = seconds
        self._started_s = seconds()

    def start(self, status: int, content_type: str) -> None:
        """Record the time to the first byte; see ``AnswerSink``."""
        labels = {"service": self._service}
        self._metrics.first_byte_s.observe(labels, self._seconds() - self._started_s)
        self._action.add_success_fields(status=status)
        self._sink.start(status, content_type)

    def write(self, data: bytes) -> None:
        """Forward a part of the body; see ``AnswerSink``."""
        self._sink.write(data)

    def finish(self) -> None:
        """Count a complete answer; see ``AnswerSink``."""
        self._metrics.answers.inc({"service": self._service})
        self._action.finish()
        self._sink.finish()

    def fail(self, error: RelayError) -> None:
        """Count a failed answer by error kind; see ``AnswerSink``."""
        self._metrics.failures.inc({"service": self._service, "kind": error.kind})
        self._action.finish(error)
        self._sink.fail(error)


__all__ = ["ObservedAnswer"]
