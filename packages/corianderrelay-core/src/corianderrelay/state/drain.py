"""Decides when a process that is leaving may exit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Order: tell everybody; take nothing new but what is still on its way."""

    reason: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Order: exit.

    :param cut_off: requests that are cut off by it; the exit status tells of them.
    """

    reason: str
    cut_off: int


class Drain:
    """One process on its way out.

    :param stay_s: seconds for which others may still send work; an entry stays for as
        long as its address can be in an answer that a caller keeps.
    :param deadline_s: seconds after which it exits whatever is open.
    """

    __slots__ = ("_linger_s", "_deadline_s", "_started_at")

    def __init__(self, linger_s: float, deadline_s: float) -> None:
        self._linger_s = linger_s
        self._deadline_s = deadline_s
        self._started_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the process is leaving."""
        return self._started_at is not None

    def on_signal(
        self, name: str, open_requests: int, now: float
    ) -> BeginDrain | StopProcess:
        """Take a signal to leave: the first begins the drain, a second ends it."""
        if self.begun:
            return StopProcess(f"a second signal ({name})", open_requests)
        self._started_at = now
        return BeginDrain(name)

    def check(self, open_requests: int, now: float) -> StopProcess | None:
        """Return the order to exit once it is due."""
        if self._started_at is None:
            return None
        waited_s = now - self._started_at
        if waited_s >= self._linger_s and open_requests == 0:
            return StopProcess("drained", 0)
        if waited_s >= self._deadline_s:
            return StopProcess("the drain deadline", open_requests)
        return None


__all__ = ["BeginDrain", "Drain", "StopProcess"]
