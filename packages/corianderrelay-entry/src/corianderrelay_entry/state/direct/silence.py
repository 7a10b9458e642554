"""Decides when an attempt has been silent for so long that it gets a takeover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .catalog import RequestKind

if TYPE_CHECKING:
    from .attempt import Attempt
    from .catalog import Route

MAX_STREAM_SILENCE_S = 0.8  # far above the time of a pass; callers time out after 2 s
_MAX_START_SILENCE_S = (
    1.2  # longer, as prompts queue at a runner before the first event
)
# A stream counts as silent only if others of its service had events within this time;
# otherwise the whole group is stalled.
_GROUP_PROGRESS_S = 0.25
# Share of the latency objective after which an unstreamed request counts as silent.
_MAX_UNSTREAMED_SHARE = 0.6


class Silence:
    """Compares the silence of attempts with the progress of their services."""

    __slots__ = ("_progress_at_by_service",)

    def __init__(self) -> None:
        self._progress_at_by_service: dict[str, float] = {}

    def on_progress(self, service: str, now: float) -> None:
        """Record that events of a service's streams arrived."""
        self._progress_at_by_service[service] = now

    def is_too_long(
        self, attempt: Attempt, route: Route, service: str, started: bool, now: float
    ) -> bool:
        """Return whether an attempt has been silent for too long.

        :param started: whether events of the answer were sent to the caller.
        """
        if route.kind is not RequestKind.STREAM:
            return now - attempt.sent_at > _MAX_UNSTREAMED_SHARE * route.objective_s
        progress_at = self._progress_at_by_service.get(service, float("-inf"))
        if now - progress_at > _GROUP_PROGRESS_S:
            return False
        limit_s = MAX_STREAM_SILENCE_S if started else _MAX_START_SILENCE_S
        return now - attempt.last_received_at > limit_s


__all__ = ["MAX_STREAM_SILENCE_S", "Silence"]
