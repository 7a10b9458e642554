"""Limits on requests that runners state in their answers.

A limit holds for the sum of all entries, for one lifetime of the runner, from the first
answer that states it until an answer to a later request states none. Entries share what
they have received; the newest evidence decides.
"""

from __future__ import annotations

from dataclasses import dataclass

_MAX_LIMITS = 512  # bounds memory if peers report runners that this entry does not know
_ENDED_KEPT_S = 30.0  # until all entries have heard of the end


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What is known of one runner's limit.

    :param per_s: requests per second for all entries together; ``None`` if the runner
        states no limit any more.
    :param stated_at: monotonic time of the evidence: when an answer that states a limit
        was received, or when the request was sent whose answer stated none.
    """

    per_s: float | None
    stated_at: float


class StatedLimits:
    """The newest evidence on the limit of each runner, by the runner's lifetime."""

    __slots__ = ("_stated_by_life",)

    def __init__(self) -> None:
        self._stated_by_life: dict[str, StatedLimit] = {}

    def __len__(self) -> int:
        return len(self._stated_by_life)

    def limit_per_s(self, life: str) -> float | None:
        """Return the limit of a runner; ``None`` if there is none."""
        stated = self._stated_by_life.get(life)
        return None if stated is None else stated.per_s

    def on_answer(
        self, life: str, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Record what an answer states; return whether the limit has changed.

        :param sent_at: when the request of the answer was sent.
        """
        if per_s is None:
            return self.merge(life, StatedLimit(None, sent_at), now)
        return self.merge(life, StatedLimit(per_s, now), now)

    def merge(self, life: str, stated: StatedLimit, now: float) -> bool:
        """Record evidence, also of other entries; return whether the limit changed."""
        known = self._stated_by_life.get(life)
        if known is None:
            if stated.per_s is None:
                return False
            self._make_room(now)
        elif stated.stated_at <= known.stated_at:
            return False
        self._stated_by_life[life] = stated
        return known is None or known.per_s != stated.per_s

    def all(self, now: float) -> dict[str, StatedLimit]:
        """Return the evidence by lifetime of the runner, without old ends."""
        self._drop_old_ends(now)
        return dict(self._stated_by_life)

    def forget(self, life: str) -> None:
        """Discard what is known of a runner that has ended."""
        self._stated_by_life.pop(life, None)

    def _make_room(self, now: float) -> None:
        self._drop_old_ends(now)
        if len(self._stated_by_life) >= _MAX_LIMITS:
            stated_by_life = self._stated_by_life
            del stated_by_life[
                min(stated_by_life, key=lambda life: stated_by_life[life].stated_at)
            ]

    def _drop_old_ends(self, now: float) -> None:
        ended = [
            life
            for life, stated in self._stated_by_life.items()
            if stated.per_s is None and now - stated.stated_at > _ENDED_KEPT_S
        ]
        for life in ended:
            del self._stated_by_life[life]


__all__ = ["StatedLimit", "StatedLimits"]
