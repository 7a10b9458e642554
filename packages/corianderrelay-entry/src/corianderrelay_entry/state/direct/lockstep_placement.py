"""Places requests on runners: over the ranks of a group by what runs, else by cost.

All ranks of a group pass together and the slowest holds the others, so a stream goes
to the rank with the fewest streams of all entries, among those with a place that is the
entry's own. Runners of plain services answer by themselves; there the expected time and
the share of failures decide.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .place_shares import PlaceShares
from .runner_standing import RunnerStanding

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .entry_peers import EntryNews
    from .runner_list import RegisteredRunner

_SLOW = 1.5  # from it on a rank's own streams take longer than all others'
_ALIKE = 1.1  # costs within it are as good, so that no runner is left out for a trifle
_TRUSTED_RATE = 0.7  # below it a runner gets work only when the others are full


class LockstepPlacement:
    """One entry's view of the work at runners."""

    __slots__ = (
        "_standing_by_id",
        "_heard",
        "_elsewhere_by_id",
        "_slowness_found",
        "_slowness_told",
        "_shares",
        "_random",
    )

    def __init__(self, random: Random) -> None:
        self._standing_by_id: dict[str, RunnerStanding] = {}
        self._heard: list[EntryNews] = []
        self._elsewhere_by_id: dict[str, int] = {}
        self._slowness_found: dict[str, float] = {}
        self._slowness_told: dict[str, float] = {}
        self._shares = PlaceShares()
        self._random = random

    def share(
        self, own_id: str, other_ids: Iterable[str], runners: Iterable[RegisteredRunner]
    ) -> None:
        """Divide the places of ranks among the entries that take callers."""
        self._shares.share(own_id, other_ids, runners)

    def standing(self, runner_id: str) -> RunnerStanding:
        """Return what is known of a runner."""
        found = self._standing_by_id.get(runner_id)
        if found is None:
            found = self._standing_by_id[runner_id] = RunnerStanding()
        return found

    def forget(self, runner_id: str) -> None:
        """Drop what is known of a runner that is gone or has started anew."""
        standing = self._standing_by_id.get(runner_id)
        if standing is not None and standing.running == 0:
            del self._standing_by_id[runner_id]

    def hear(self, peers: Iterable[EntryNews]) -> None:
        """Take what the other entries say that they run.

        It is added up when it is asked for: many news come between two requests.
        """
        self._heard = list(peers)
        self._elsewhere_by_id = {}
        self._slowness_told = {}

    def _add_up(self) -> None:
        heard, self._heard = self._heard, []
        for news in heard:
            self._slowness_told.update(news.slowness_by_runner)
            for runner_id, running in news.running_by_runner.items():
                known = self._elsewhere_by_id.get(runner_id, 0)
                self._elsewhere_by_id[runner_id] = known + running

    def take_slowness(self, slowness_by_id: dict[str, float]) -> None:
        """Take the slow runners that this entry has found itself."""
        self._slowness_found = slowness_by_id

    def slowness(self, runner_id: str) -> float:
        """Return how many times longer than usual a runner takes, as far as known."""
        self._add_up()
        found = self._slowness_found.get(runner_id, 1.0)
        return max(found, self._slowness_told.get(runner_id, 1.0))

    def running(self, runner_id: str) -> int:
        """Return the requests of all entries at a runner, as far as known."""
        self._add_up()
        standing = self._standing_by_id.get(runner_id)
        own = standing.running if standing is not None else 0
        return own + self._elsewhere_by_id.get(runner_id, 0)

    def own_running(self) -> dict[str, int]:
        """Return this entry's requests at each runner that has some."""
        return {
            runner_id: standing.running
            for runner_id, standing in self._standing_by_id.items()
            if standing.running
        }

    def pick(
        self, candidates: list[RegisteredRunner], lockstep: bool, now: float
    ) -> str | None:
        """Return the best of the candidates, or ``None`` without any."""
        if not candidates:
            return None
        cost = self._rank_cost if lockstep else self._plain_cost
        costs = [(*cost(each, now), each.runner_id) for each in candidates]
        avoided, borrowed, least, _ = min(costs)
        alike = [
            runner_id
            for *group, other, runner_id in costs
            if group == [avoided, borrowed] and other <= least * _ALIKE
        ]
        return self._random.choice(alike)

    def _rank_cost(
        self, runner: RegisteredRunner, now: float
    ) -> tuple[bool, bool, float]:
        standing = self.standing(runner.runner_id)
        running = self.running(runner.runner_id)
        # Each stream of a slow rank holds all others up, a full rank only its own.
        avoided = (
            standing.success_rate(now) < _TRUSTED_RATE
            or self.slowness(runner.runner_id) >= _SLOW
            or running >= max(runner.slots, 1)
        )
        borrowed = standing.running >= self._shares.own(runner.runner_id)
        return avoided, borrowed, float(running)

    def _plain_cost(
        self, runner: RegisteredRunner, now: float
    ) -> tuple[bool, bool, float]:
        standing = self.standing(runner.runner_id)
        full = self.running(runner.runner_id) >= max(runner.slots, 1)
        return full, False, standing.cost(self.running(runner.runner_id), now)


__all__ = ["LockstepPlacement"]
