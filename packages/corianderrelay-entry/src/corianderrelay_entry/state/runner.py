"""State of one runner as known to an entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Runner:
    """A runner, as described by its agent's last heartbeat.

    :param reported_s: monotonic time in seconds at which that heartbeat was received.
    :param dispatched: number of attempts dispatched since that heartbeat.
    """

    instance_id: str
    incarnation: int
    zone: str
    service: str
    model: str = ""
    group: str = ""
    rank: int = 0
    slots: int = 1
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    tokens_per_s: float = 0.0
    reported_s: float = 0.0
    dispatched: int = 0
    leaving: bool = False
    engine_up: bool = True

    @property
    def usable(self) -> bool:
        """Whether new attempts may be dispatched to the runner."""
        return self.engine_up and not self.leaving

    @property
    def load(self) -> float:
        """Attempts per slot, including those dispatched since the last heartbeat."""
        return (self.running + self.queued + self.dispatched) / max(1, self.slots)


__all__ = ["Runner"]
