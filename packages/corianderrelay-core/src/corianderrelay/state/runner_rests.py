"""Rests that runners ask one entry for when they reject its requests.

A rest binds only the entry that was asked, for one lifetime of the runner. When it has
ended, a single request tries the runner before it gets its share again.
"""

from __future__ import annotations

_MAX_REST_S = 600.0  # a longer one is a mistake that would need an operator
_TRIAL_S = 2.0  # a trial without an answer for this long is followed by another


class _Rest:
    __slots__ = ("ends_at", "tried_at")

    def __init__(self, ends_at: float) -> None:
        self.ends_at = ends_at
        self.tried_at = float("-inf")


class RunnerRests:
    """The runners that rest, by their lifetimes."""

    __slots__ = ("_rest_by_life",)

    def __init__(self) -> None:
        self._rest_by_life: dict[str, _Rest] = {}

    def __len__(self) -> int:
        return len(self._rest_by_life)

    def on_rejected(self, life: str, rest_s: float, now: float) -> float:
        """Begin or extend a rest, but never shorten it; return its seconds from now."""
        ends_at = now + min(rest_s, _MAX_REST_S)
        known = self._rest_by_life.get(life)
        if known is not None:
            ends_at = max(ends_at, known.ends_at)
        self._rest_by_life[life] = _Rest(ends_at)
        return ends_at - now

    def on_accepted(self, life: str, sent_at: float) -> bool:
        """End a rest if the runner has accepted a request sent after it.

        :return: whether a rest has ended.
        """
        rest = self._rest_by_life.get(life)
        if rest is None or sent_at < rest.ends_at:
            return False
        del self._rest_by_life[life]
        return True

    def may_send(self, life: str, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        return now >= self.due_at(life, now)

    def due_at(self, life: str, now: float) -> float:
        """Return the earliest time at which a request may be sent to the runner."""
        rest = self._rest_by_life.get(life)
        if rest is None:
            return now
        return max(rest.ends_at, rest.tried_at + _TRIAL_S)

    def is_known(self, life: str) -> bool:
        """Whether the runner rests, or has not been tried since."""
        return life in self._rest_by_life

    def on_sent(self, life: str, now: float) -> None:
        """Record a request that is sent to a runner."""
        rest = self._rest_by_life.get(life)
        if rest is not None:
            rest.tried_at = now

    def keep_only(self, lives: set[str]) -> None:
        """Discard the rests of runners that have ended."""
        for life in self._rest_by_life.keys() - lives:
            del self._rest_by_life[life]


__all__ = ["RunnerRests"]
