"""Token bucket for the requests that may be sent to one endpoint."""

from __future__ import annotations

_ROUNDING = 1e-9  # tokens; allows for rounding errors of the times


class RequestRate:
    """Tokens that accumulate at a rate up to a capacity; each request takes one.

    The level can become negative if requests are taken that others have sent already;
    it then has to recover before the next request.

    :param per_s: tokens per second.
    :param capacity: tokens that accumulate at most.
    """

    __slots__ = ("per_s", "_capacity", "_level", "_updated_at", "_ready_at")

    def __init__(self, per_s: float, capacity: float, now: float) -> None:
        self.per_s = per_s
        self._capacity = capacity
        self._level = 0.0
        self._updated_at = now
        self._ready_at = now + 1.0 / per_s

    def adjust(self, per_s: float, capacity: float, now: float) -> None:
        """Change rate and capacity; saved tokens shrink with the rate."""
        if (per_s, capacity) == (self.per_s, self._capacity):
            return
        level = self.level(now)
        if level > 0.0 and per_s < self.per_s:
            level *= per_s / self.per_s
        self.per_s, self._capacity = per_s, capacity
        self._set_level(min(level, capacity), now)

    def level(self, now: float) -> float:
        """Return the tokens that are available."""
        gained = (now - self._updated_at) * self.per_s
        return min(self._level + gained, self._capacity)

    def take(self, count: float, now: float, lowest_level: float) -> None:
        """Take tokens, down to a level that may be negative."""
        self._set_level(max(self.level(now) - count, lowest_level), now)

    def ready_at(self) -> float:
        """Return the time at which a whole token is or was available."""
        return self._ready_at

    def may_send(self, now: float) -> bool:
        """Whether a whole token is available."""
        return now >= self._ready_at - _ROUNDING

    def _set_level(self, level: float, now: float) -> None:
        self._level, self._updated_at = level, now
        if level < 1.0 - _ROUNDING:
            self._ready_at = now + (1.0 - level) / self.per_s
        else:
            self._ready_at = min(self._ready_at, now)


__all__ = ["RequestRate"]
