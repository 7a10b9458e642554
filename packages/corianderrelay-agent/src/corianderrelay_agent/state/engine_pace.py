"""Decides when the next attempt may start on the engine, by its limit and its rests.

The agent is the only sender of its endpoint, so its own count is the sum over all
entries. The lower one of the operator's limit and the engine's own holds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from corianderrelay.state.request_rate import RequestRate
from corianderrelay.state.runner_rests import RunnerRests

_ENGINE = "engine"  # the only endpoint of this agent
_MIN_PER_S = 0.2  # an answer has to tell that a limit of zero has ended
_SAVED_REQUESTS = 1.5
_ROUNDING = 1e-6  # requests; allows for rounding errors of the times
_MAX_LIMIT_CHARS = 24  # no decimal number that an engine would state is longer


@dataclass(frozen=True, slots=True)
class EngineStatement:
    """What the engine states of itself in the head of an answer.

    :param limit_per_s: requests per second that it takes; ``None`` for no limit.
    :param rest_s: seconds for which it wants no requests; 0 if it asks for no rest.
    """

    limit_per_s: float | None = None
    rest_s: float = 0.0


class EnginePace:
    """The limit on requests per second to the engine, and the rests it asks for.

    :param operator_per_s: the operator's limit; ``None`` for no limit.
    """

    __slots__ = ("_operator_per_s", "_stated_per_s", "_stated_at", "_rate", "_rests")

    def __init__(self, operator_per_s: float | None, now: float) -> None:
        self._operator_per_s = operator_per_s
        self._stated_per_s: float | None = None
        self._stated_at = float("-inf")
        self._rate: RequestRate | None = None
        self._rests = RunnerRests()
        self._apply(now)

    @property
    def limit_per_s(self) -> float | None:
        """The limit that holds; ``None`` if there is none."""
        return None if self._rate is None else self._rate.per_s

    def on_statement(
        self, statement: EngineStatement, started_at: float, now: float
    ) -> bool:
        """Record an answer's statement; return whether attempts may start otherwise.

        :param started_at: when the attempt was started: an answer to an earlier attempt
            does not end a limit.
        """
        if statement.rest_s:
            self._rests.on_rejected(_ENGINE, statement.rest_s, now)
            return True
        rest_ended = self._rests.on_accepted(_ENGINE, started_at)
        return self._on_limit(statement, started_at, now) or rest_ended

    def _on_limit(
        self, statement: EngineStatement, started_at: float, now: float
    ) -> bool:
        if statement.limit_per_s is None and started_at <= self._stated_at:
            return False
        if statement.limit_per_s is not None:
            self._stated_at = now
        before = self.limit_per_s
        self._stated_per_s = statement.limit_per_s
        self._apply(now)
        return before != self.limit_per_s

    def on_started(self, now: float) -> None:
        """Charge an attempt that starts."""
        self._rests.on_sent(_ENGINE, now)
        if self._rate is not None:
            self._rate.take(1, now, -1.0)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the seconds until an attempt may start.

        :param ahead: attempts that are to start before it.
        """
        rest_s = max(self._rests.due_at(_ENGINE, now) - now, 0.0)
        if self._rate is None:
            return rest_s
        missing = ahead + 1 - self._rate.level(now)
        if missing <= _ROUNDING:
            return rest_s
        return max(missing / self._rate.per_s, rest_s)

    def _apply(self, now: float) -> None:
        limits = [
            limit
            for limit in (self._operator_per_s, self._stated_per_s)
            if limit is not None
        ]
        if not limits:
            self._rate = None
            return
        per_s = max(min(limits), _MIN_PER_S)
        if self._rate is None:
            self._rate = RequestRate(per_s, _SAVED_REQUESTS, now)
        self._rate.adjust(per_s, _SAVED_REQUESTS, now)


def parse_limit(text: str) -> float | None:
    """Return a limit in requests per second; ``None`` if it is not one."""
    try:
        limit_per_s = float(text) if len(text) <= _MAX_LIMIT_CHARS else math.nan
    except ValueError:
        return None
    readable = math.isfinite(limit_per_s) and limit_per_s >= 0.0
    return limit_per_s if readable else None


__all__ = ["EnginePace", "EngineStatement", "parse_limit"]
