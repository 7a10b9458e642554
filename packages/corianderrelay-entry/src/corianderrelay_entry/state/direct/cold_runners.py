"""Which runners are cold, and until when.

A runner that has just started is slow for some seconds, and may become cold again at
any time. Evidence of it states how much of the cold time is left. The time at which it
ends is kept, so that a record whose remaining time counts down changes nothing.
"""

from __future__ import annotations

MAX_COLD_S = 60.0  # a longer cold time is a mistake
# Records are read up to a poll after they were written, so the same end is seen at
# slightly different times.
_TOLERANCE_S = 0.5
# A runner that has stated a cold time for ``MAX_COLD_S`` without an end counts as cold
# again only after a pause of this length without such statements.
_PAUSE_S = 10.0
_MAX_RUNNERS = 1024  # bounds memory


class _ColdTime:
    __slots__ = ("began_at", "ends_at", "stated_at")

    def __init__(self, ends_at: float, now: float) -> None:
        self.began_at = self.stated_at = now
        self.ends_at = ends_at

    def may_begin_again(self, now: float) -> bool:
        """Whether it has ended, and further evidence is that of another cold time."""
        if now < self.ends_at:
            return False
        cut_short = self.ends_at >= self.began_at + MAX_COLD_S
        return not cut_short or now - self.stated_at > _PAUSE_S


class ColdRunners:
    """The cold times of runners, by their lifetimes."""

    __slots__ = ("_cold_by_life",)

    def __init__(self) -> None:
        self._cold_by_life: dict[str, _ColdTime] = {}

    def __len__(self) -> int:
        return len(self._cold_by_life)

    def on_evidence(self, life: str, left_s: float, now: float) -> bool:
        """Record a remaining cold time in seconds.

        :return: whether the runner has become cold or stays so for longer than known.
        """
        if not left_s > 0.0:
            return False
        known = self._cold_by_life.get(life)
        ends_at = now + min(left_s, MAX_COLD_S)
        if known is None or known.may_begin_again(now):
            if known is None and len(self._cold_by_life) >= _MAX_RUNNERS:
                del self._cold_by_life[next(iter(self._cold_by_life))]
            self._cold_by_life[life] = _ColdTime(ends_at, now)
            return True
        known.stated_at = now
        ends_at = min(ends_at, known.began_at + MAX_COLD_S)
        if ends_at <= known.ends_at + _TOLERANCE_S:
            return False
        known.ends_at = ends_at
        return True

    def left_s(self, life: str, now: float) -> float:
        """Return the seconds for which a runner is still cold; 0 if it is not."""
        known = self._cold_by_life.get(life)
        return 0.0 if known is None else max(known.ends_at - now, 0.0)

    def count(self, now: float) -> int:
        """Return the number of cold runners."""
        return sum(now < each.ends_at for each in self._cold_by_life.values())

    def drop_ended(self, registered_lives: set[str], now: float) -> list[str]:
        """Discard cold times that have ended, and return these runners.

        :param registered_lives: those of the other runners are discarded as well.
        """
        ended = [
            life
            for life, cold in self._cold_by_life.items()
            if life not in registered_lives or cold.may_begin_again(now)
        ]
        for life in ended:
            del self._cold_by_life[life]
        return ended


__all__ = ["MAX_COLD_S", "ColdRunners"]
