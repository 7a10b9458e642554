"""What an entry knows of one runner."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Runner:
    """A runner behind an agent, as its last heartbeat described it.

    :param reported_s: monotonic time of that heartbeat.
    :param fresh_until_s: monotonic time until which its last word counts.
    :param dispatched: attempts sent since that heartbeat.
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
    fresh_until_s: float = 0.0
    dispatched: int = 0
    leaving: bool = False
    engine_up: bool = True

    @property
    def usable(self) -> bool:
        """Whether new work may be sent to it."""
        return self.engine_up and not self.leaving

    def usable_at(self, now: float) -> bool:
        """Whether new work may be sent to it at this monotonic time."""
        return self.usable and now < self.fresh_until_s

    @property
    def load(self) -> float:
        """Work per slot, counting what was sent since the last report."""
        return (self.running + self.queued + self.dispatched) / max(1, self.slots)


__all__ = ["Runner"]
