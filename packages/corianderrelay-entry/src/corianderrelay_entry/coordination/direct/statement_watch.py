"""Collects what runners state in their answers, together with the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from corianderrelay.state.runner_rests import RunnerRests

from ...state.direct.crash_ledger import runner_life
from ...state.direct.limit_shares import LimitShares
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.direct.call import RunnerHead
    from ...state.direct.entry_peers import EntryPeers, PeerUpdate
    from ...state.direct.limit_shares import SharedLimit
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from .cold_watch import ColdWatch
    from .decision_log import DecisionLog
    from .open_direct_call import OpenAttempt

T = TypeVar("T", int, float)
_MAX_SHARED_LEAVING = 16  # bounds an update; more do not leave within seconds


class StatementWatch:
    """Records the statements in the heads of runners' answers.

    :param runners: excludes runners that state that they are shutting down.
    :param on_changed: called when the other entries should learn of a change soon.
    :param cold: limits the requests to cold runners.
    """

    def __init__(
        self,
        peers: EntryPeers,
        runners: RunnerList,
        log: DecisionLog,
        on_changed: Callable[[], None],
        cold: ColdWatch,
    ) -> None:
        self._peers = peers
        self._runners = runners
        self._log = log
        self._on_changed = on_changed
        self.limits = LimitShares(peers.own_id)
        self._rests = RunnerRests()
        self._cold = cold

    @property
    def nothing_known(self) -> bool:
        """Whether no runner states a limit, rests or is cold, as on most days."""
        return not (len(self.limits.stated) or len(self._rests) or len(self._cold))

    def may_send(self, runner: RegisteredRunner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        life = _life(runner)
        may_send = self.limits.request_turn(life, now)
        self._share_news()
        may_send = may_send and self._rests.may_send(life, now)
        return may_send and self._cold.may_send(runner, now)

    def is_limited(self, runner: RegisteredRunner) -> bool:
        """Whether the runner states a limit."""
        return self.limits.is_limited(_life(runner))

    def is_cold(self, runner: RegisteredRunner, now: float) -> bool:
        """Whether the runner has a limit as it is cold."""
        return self._cold.rate_per_s(runner, now) is not None

    def free_requests(self, runner: RegisteredRunner, now: float) -> int | None:
        """Return how many requests the runner takes now; ``None`` for any number."""
        life = _life(runner)
        if self._rests.is_known(life):
            return int(self.may_send(runner, now))
        stated = self.limits.free_requests(life, now)
        return _lower(stated, self._cold.free_requests(runner, now))

    def rate_per_s(self, runner: RegisteredRunner, now: float) -> float | None:
        """Return the requests per second that the runner takes; ``None`` for any."""
        stated_per_s = self.limits.rate_per_s(_life(runner), now)
        return _lower(stated_per_s, self._cold.rate_per_s(runner, now))

    def due_at(self, runner: RegisteredRunner, now: float) -> float:
        """Return the earliest time at which the runner takes a request."""
        life = _life(runner)
        return max(
            self.limits.due_at(life, now),
            self._rests.due_at(life, now),
            self._cold.due_at(runner, now),
        )

    def on_sent(self, runner: RegisteredRunner, now: float) -> None:
        """Record a request that is sent to a runner."""
        self._rests.on_sent(_life(runner), now)
        self.limits.on_sent(_life(runner), now)
        self._cold.on_sent(runner, now)
        self._share_news()

    def on_head(self, attempt: OpenAttempt, head: RunnerHead, now: float) -> None:
        """Record what the head of an attempt's answer states."""
        runner = attempt.runner
        life = _life(runner)
        self._on_limit(attempt, life, head, now)
        self._on_rest(attempt, life, head, now)
        self._cold.on_head(runner, head, now)
        if head.leaving and self._mark_leaving(
            runner.runner_id, runner.started_ms, request=attempt.opened.call.request_id
        ):
            self._on_changed()

    def _on_rest(
        self, attempt: OpenAttempt, life: str, head: RunnerHead, now: float
    ) -> None:
        if head.unreadable_rest:
            self._log.note(
                Decision.REST_UNREADABLE, runner=life, stated=head.unreadable_rest
            )
        if head.rest_s:
            self._log.note(
                Decision.RUNNER_RESTS,
                runner=life,
                asked_s=head.rest_s,
                rest_s=round(self._rests.on_rejected(life, head.rest_s, now), 3),
                request=attempt.opened.call.request_id,
            )
        elif self._rests.on_accepted(life, attempt.sent_at):
            self._log.note(
                Decision.REST_ENDED, runner=life, request=attempt.opened.call.request_id
            )

    def _mark_leaving(
        self, runner_id: str, started_ms: int, **evidence: object
    ) -> bool:
        if not self._runners.mark_leaving(runner_id, started_ms):
            return False
        life = runner_life(runner_id, started_ms)
        self._log.note(Decision.RUNNER_STATES_LEAVING, runner=life, **evidence)
        return True

    def _on_limit(
        self, attempt: OpenAttempt, life: str, head: RunnerHead, now: float
    ) -> None:
        if head.unreadable_limit:
            self._log.note(
                Decision.LIMIT_UNREADABLE, runner=life, stated=head.unreadable_limit
            )
            return
        before = self.limits.stated.limit_per_s(life)
        sent_at = attempt.sent_at
        if self.limits.stated.on_answer(life, head.limit_per_s, sent_at, now):
            self._on_changed()
            self._log.note(
                Decision.RUNNER_LIMIT,
                runner=life,
                per_s=head.limit_per_s,
                per_s_before=before,
                request=attempt.opened.call.request_id,
                sent_s_ago=round(now - sent_at, 4),
            )

    def _share_news(self) -> None:
        if self.limits.has_news:
            self._on_changed()

    def receive(self, update: PeerUpdate, now: float, age_s: float = 0.0) -> None:
        """Apply what another entry tells of runners.

        :param age_s: seconds for which a relay has had the update.
        """
        self._cold.receive(update.limits, now, age_s)
        stated = [each for each in update.limits if not each.cold_left_s]
        changed = self.limits.on_update(
            update.entry_id, update.incarnation, stated, now, age_s
        )
        for life, per_s in changed.items():
            self._log.note(
                Decision.RUNNER_LIMIT, runner=life, per_s=per_s, entry=update.entry_id
            )

        for runner_id, started_ms in update.leaving_runners:
            self._mark_leaving(runner_id, started_ms, entry=update.entry_id)

    def shared_limits(self, now: float) -> tuple[SharedLimit, ...]:
        """Return the limits that the other entries should know."""
        return self.limits.shared(now) + self._cold.shared(now)

    def leaving_runners(self) -> tuple[tuple[str, int], ...]:
        """Return the ids and start times of leaving runners, for the other entries."""
        return tuple(self._runners.recently_leaving(_MAX_SHARED_LEAVING))

    def update_entries(self, now: float) -> None:
        """Update how many entries share the limits."""
        heard = 1 + self._peers.heard(now)
        self.limits.set_entries(heard, self._peers.sharing_entries(now))
        self._cold.update_entries(now)

    def forget_ended(self, runners: Iterable[RegisteredRunner], now: float) -> None:
        """Discard the statements of runners that are not registered any more."""
        lives = {_life(runner) for runner in runners}
        self._rests.keep_only(lives)
        self._cold.drop_ended(lives, now)
        for life in self.limits.keep_only(lives, now):
            self._log.note(
                Decision.RUNNER_LIMIT,
                runner=life,
                per_s=None,
                reason="the runner is not registered any more",
            )


def _lower(first: T | None, second: T | None) -> T | None:
    """Return the lower of two limits; ``None`` is no limit."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)


def _life(runner: RegisteredRunner) -> str:
    return runner_life(runner.runner_id, runner.started_ms)


__all__ = ["StatementWatch"]
