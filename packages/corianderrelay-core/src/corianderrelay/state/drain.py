"""Decides when a draining process may exit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Order to notify all peers, so that no new requests are sent here."""

    reason: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Order to exit.

    :param cut_off: number of open requests that the exit aborts; the exit status
        reports whether there were any.
    """

    reason: str
    cut_off: int


class Drain:
    """The drain of one process.

    :param linger_s: minimum time until exit in seconds, because requests may still
        arrive; for an entry, as long as callers may use a cached list that names it.
    :param deadline_s: seconds after which the process exits even with open requests.
    """

    __slots__ = ("_linger_s", "_deadline_s", "_started_at")

    def __init__(self, linger_s: float, deadline_s: float) -> None:
        self._linger_s = linger_s
        self._deadline_s = deadline_s
        self._started_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the drain has started."""
        return self._started_at is not None

    def on_signal(
        self, name: str, open_requests: int, now: float
    ) -> BeginDrain | StopProcess:
        """Handle a stop signal: the first begins the drain, any later one ends it."""
        if self.begun:
            return StopProcess(f"a second signal ({name})", open_requests)
        self._started_at = now
        return BeginDrain(name)

    def check_exit(self, open_requests: int, now: float) -> StopProcess | None:
        """Return the order to exit; ``None`` while the process must keep running."""
        if self._started_at is None:
            return None
        elapsed_s = now - self._started_at
        if elapsed_s >= self._linger_s and open_requests == 0:
            return StopProcess("drained", 0)
        if elapsed_s >= self._deadline_s:
            return StopProcess("the drain deadline", open_requests)
        return None


__all__ = ["BeginDrain", "Drain", "StopProcess"]
