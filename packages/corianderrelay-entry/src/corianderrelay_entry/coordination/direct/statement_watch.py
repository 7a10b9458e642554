"""Collects what runners state in their answers, together with the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.crash_ledger import runner_life
from ...state.direct.limit_shares import LimitShares
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.direct.call import RunnerHead
    from ...state.direct.entry_peers import EntryPeers, PeerUpdate
    from ...state.direct.runner_list import RegisteredRunner
    from .decision_log import DecisionLog
    from .open_direct_call import OpenDirectCall


class StatementWatch:
    """Records the statements in the heads of runners' answers.

    :param on_changed: called when the other entries should learn of a change soon.
    """

    def __init__(
        self,
        peers: EntryPeers,
        log: DecisionLog,
        on_changed: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._log = log
        self._on_changed = on_changed
        self.limits = LimitShares(peers.own_id)

    def may_send(self, runner: RegisteredRunner, now: float) -> bool:
        """Return whether a request may be sent to the runner now."""
        may_send = self.limits.request_turn(_life(runner), now)
        self._share_news()
        return may_send

    def is_limited(self, runner: RegisteredRunner) -> bool:
        """Whether the runner states a limit."""
        return self.limits.is_limited(_life(runner))

    def free_requests(self, runner: RegisteredRunner, now: float) -> int | None:
        """Return how many requests the runner takes now; ``None`` for any number."""
        return self.limits.free_requests(_life(runner), now)

    def rate_per_s(self, runner: RegisteredRunner, now: float) -> float | None:
        """Return the requests per second that the runner takes; ``None`` for any."""
        return self.limits.rate_per_s(_life(runner), now)

    def due_at(self, runner: RegisteredRunner, now: float) -> float:
        """Return the earliest time at which the runner takes a request."""
        return self.limits.due_at(_life(runner), now)

    def on_sent(self, runner: RegisteredRunner, now: float) -> None:
        """Record a request that is sent to a runner."""
        self.limits.on_sent(_life(runner), now)
        self._share_news()

    def on_head(self, opened: OpenDirectCall, head: RunnerHead, now: float) -> None:
        """Record what the head of the current attempt's answer states."""
        runner = opened.sent_to
        if runner is None:
            return
        life = _life(runner)
        self._on_limit(opened, life, head, now)
        if head.leaving:
            self._log.note(Decision.RUNNER_STATES_LEAVING, runner=life)
        if head.unreadable_rest:
            self._log.note(
                Decision.REST_UNREADABLE, runner=life, stated=head.unreadable_rest
            )
        if head.rest_s:
            self._log.note(Decision.RUNNER_RESTS, runner=life, rest_s=head.rest_s)

    def _on_limit(
        self, opened: OpenDirectCall, life: str, head: RunnerHead, now: float
    ) -> None:
        if head.unreadable_limit:
            self._log.note(
                Decision.LIMIT_UNREADABLE, runner=life, stated=head.unreadable_limit
            )
            return
        before = self.limits.stated.limit_per_s(life)
        sent_at = opened.attempts.sent_at
        if self.limits.stated.on_answer(life, head.limit_per_s, sent_at, now):
            self._on_changed()
            self._log.note(
                Decision.RUNNER_LIMIT,
                runner=life,
                per_s=head.limit_per_s,
                per_s_before=before,
                request=opened.call.request_id,
                sent_s_ago=round(now - sent_at, 4),
            )

    def _share_news(self) -> None:
        if self.limits.has_news:
            self._on_changed()

    def receive(self, update: PeerUpdate, now: float) -> None:
        """Apply what another entry tells of runners."""
        changed = self.limits.on_update(
            update.entry_id, update.incarnation, update.limits, now
        )
        for life, per_s in changed.items():
            self._log.note(
                Decision.RUNNER_LIMIT, runner=life, per_s=per_s, entry=update.entry_id
            )

    def update_entries(self, now: float) -> None:
        """Update how many entries share the limits."""
        heard = 1 + self._peers.heard(now)
        self.limits.set_entries(heard, self._peers.sharing_entries(now))

    def forget_ended(self, runners: Iterable[RegisteredRunner], now: float) -> None:
        """Discard the statements of runners that are not registered any more."""
        lives = {_life(runner) for runner in runners}
        for life in self.limits.keep_only(lives, now):
            self._log.note(
                Decision.RUNNER_LIMIT,
                runner=life,
                per_s=None,
                reason="the runner is not registered any more",
            )


def _life(runner: RegisteredRunner) -> str:
    return runner_life(runner.runner_id, runner.started_ms)


__all__ = ["StatementWatch"]
