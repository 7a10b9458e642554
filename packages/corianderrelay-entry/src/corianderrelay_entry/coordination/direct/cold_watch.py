"""Finds cold runners and limits the requests that this entry sends them.

The evidence is the runner's record, a start that was just now, the header of an answer,
and what other entries have read in such headers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ...state.direct.cold_runners import ColdRunners
from ...state.direct.cold_shares import ColdShares
from ...state.direct.crash_ledger import runner_life
from ...state.direct.limit_shares import SharedLimit
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.direct.call import RunnerHead
    from ...state.direct.catalog import Catalog
    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from ...state.direct.settings import DirectBounds
    from .decision_log import DecisionLog

_MS_PER_S = 1000.0
_SHARED_S = 2.0  # several updates, also to entries of other zones
_MAX_SHARED = 16  # bounds an update
# All runners of a zone may become cold at once; an update of each would be a flood.
_URGENT_PERIOD_S = 0.5
_MAX_LOGGED = 256  # bounds memory


class ActiveConfig(Protocol):
    """The active configuration."""

    catalog: Catalog | None


class ColdWatch:
    """The cold runners, as this entry knows them.

    :param unix_seconds: returns the time of day, to which start times refer.
    :param on_news: called when the other entries should be told soon.
    """

    def __init__(
        self,
        peers: EntryPeers,
        runners: RunnerList,
        config: ActiveConfig,
        bounds: DirectBounds,
        unix_seconds: Callable[[], float],
        log: DecisionLog,
        on_news: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._runners = runners
        self._config = config
        self._unix_seconds = unix_seconds
        self._log = log
        self._on_news = on_news
        self._cold = ColdRunners()
        self._shares = ColdShares(
            peers.own_id, bounds.cold_overage, bounds.cold_allowance
        )
        # When this entry found the runner to be cold in the header of an answer.
        self._found_at_by_life: dict[str, float] = {}
        self._urgent_at = float("-inf")
        self._unreadable_lives: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._cold)

    def count(self, now: float) -> int:
        """Return the number of runners that are cold now."""
        return self._cold.count(now)

    def on_record(self, runner: RegisteredRunner, started: bool, now: float) -> bool:
        """Record what a runner's record states.

        :param started: whether the runner is new in the list, or has restarted.
        :return: whether other entries should learn of this record.
        """
        left_s = runner.cold_left_s
        if started and self._per_s(runner) > 0.0:
            left_s = max(left_s, self._left_since_start_s(runner))
        return self._learn(runner, left_s, "record", now)

    def on_head(self, runner: RegisteredRunner, head: RunnerHead, now: float) -> None:
        """Record what the head of a runner's answer states."""
        life = _life(runner)
        if head.unreadable_cold and life not in self._unreadable_lives:
            if len(self._unreadable_lives) >= _MAX_LOGGED:
                del self._unreadable_lives[next(iter(self._unreadable_lives))]
            self._unreadable_lives[life] = None
            self._log.note(
                Decision.COLD_UNREADABLE, runner=life, stated=head.unreadable_cold
            )
        if self._learn(runner, head.cold_s, "answer", now):
            self._found_at_by_life[life] = now
            if now - self._urgent_at >= _URGENT_PERIOD_S:
                self._urgent_at = now
                self._on_news()

    def receive(self, shared: Iterable[SharedLimit], now: float, age_s: float) -> None:
        """Record what another entry tells of cold runners.

        :param age_s: seconds for which a relay has had it.
        """
        for each in shared:
            if each.cold_left_s > 0.0:
                runner_id, _, started_ms = each.runner_life.rpartition("/")
                runner = self._runners.get(runner_id)
                if runner is not None and started_ms == str(runner.started_ms):
                    self._learn(runner, each.cold_left_s - age_s, "entry", now)

    def shared(self, now: float) -> tuple[SharedLimit, ...]:
        """Return what the other entries should know, the newest evidence first."""
        recent = [
            life
            for life, found_at in self._found_at_by_life.items()
            if now - found_at <= _SHARED_S
        ]
        self._found_at_by_life = {life: self._found_at_by_life[life] for life in recent}
        newest = sorted(recent, key=lambda life: -self._found_at_by_life[life])
        return tuple(
            SharedLimit(life, per_s, 0.0, 0, False, left_s)
            for life in newest[:_MAX_SHARED]
            if (left_s := self._cold.left_s(life, now)) > 0.0
            and (per_s := self._per_s_of_life(life)) > 0.0
        )

    def update_entries(self, now: float) -> None:
        """Update which entries have a part in the limits."""
        if len(self._cold):
            self._shares.set_others(self._peers.sharing_ids(now))

    def may_send(self, runner: RegisteredRunner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        life, per_s = _life(runner), self.rate_per_s(runner, now)
        return per_s is None or self._shares.may_send(life, per_s, now)

    def free_requests(self, runner: RegisteredRunner, now: float) -> int | None:
        """Return how many requests the runner takes now; ``None`` if it is not cold."""
        per_s = self.rate_per_s(runner, now)
        if per_s is None:
            return None
        return self._shares.free_requests(_life(runner), per_s, now)

    def due_at(self, runner: RegisteredRunner, now: float) -> float:
        """Return the earliest time at which the runner takes a request."""
        life, per_s = _life(runner), self.rate_per_s(runner, now)
        if per_s is None:
            return now
        ends_at = now + self._cold.left_s(life, now)
        return min(self._shares.ready_at(life, per_s, now), ends_at)

    def rate_per_s(self, runner: RegisteredRunner, now: float) -> float | None:
        """Return the rate of a cold runner; ``None`` if the runner is not cold."""
        if self._cold.left_s(_life(runner), now) <= 0.0:
            return None
        return self._per_s(runner) or None

    def on_sent(self, runner: RegisteredRunner, now: float) -> None:
        """Charge a request that is sent to a runner."""
        per_s = self.rate_per_s(runner, now)
        if per_s is not None:
            self._shares.on_sent(_life(runner), per_s, now)

    def drop_ended(self, registered_lives: set[str], now: float) -> None:
        """Discard the cold times that have ended."""
        ended = self._cold.drop_ended(registered_lives, now)
        self._shares.forget(ended)
        for life in ended:
            self._log.note(Decision.RUNNER_WARM, runner=life)

    def _learn(
        self, runner: RegisteredRunner, left_s: float, evidence: str, now: float
    ) -> bool:
        # Without a configuration it is not known yet whether the service has a limit.
        if self._config.catalog is not None and self._per_s(runner) <= 0.0:
            return False
        life = _life(runner)
        if not len(self._cold):
            self._shares.set_others(self._peers.sharing_ids(now))
        if not self._cold.on_evidence(life, left_s, now):
            return False
        self._log.note(
            Decision.RUNNER_COLD,
            runner=life,
            evidence=evidence,
            left_s=round(self._cold.left_s(life, now), 3),
            per_s=self._per_s(runner),
        )
        return True

    def _left_since_start_s(self, runner: RegisteredRunner) -> float:
        """Return the cold time after a start; at most ``cold_s`` if clocks differ."""
        catalog = self._config.catalog
        assert catalog is not None, "a service with a rate must be configured"
        cold_s = catalog.services_by_name[runner.service].cold_s
        age_s = self._unix_seconds() - runner.started_ms / _MS_PER_S
        return min(max(cold_s - age_s, 0.0), cold_s)

    def _per_s_of_life(self, life: str) -> float:
        runner = self._runners.get(life.rpartition("/")[0])
        return 0.0 if runner is None else self._per_s(runner)

    def _per_s(self, runner: RegisteredRunner) -> float:
        """Return the configured rate of a cold runner; 0 without a limit."""
        catalog = self._config.catalog
        if catalog is None:
            return 0.0
        service = catalog.services_by_name.get(runner.service)
        return 0.0 if service is None else service.cold_per_s


def _life(runner: RegisteredRunner) -> str:
    return runner_life(runner.runner_id, runner.started_ms)


__all__ = ["ActiveConfig", "ColdWatch"]
