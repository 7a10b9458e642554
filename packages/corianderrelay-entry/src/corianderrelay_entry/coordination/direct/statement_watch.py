"""Collects what runners state of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.crash_ledger import runner_life
from ...state.direct.stated_limits import StatedLimits
from .decision_log import Decision

if TYPE_CHECKING:
    from ...state.direct.call import RunnerHead
    from .decision_log import DecisionLog
    from .open_direct_call import OpenDirectCall


class StatementWatch:
    """Records the statements in the heads of runners' answers."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self.limits = StatedLimits()

    def on_head(self, opened: OpenDirectCall, head: RunnerHead, now: float) -> None:
        """Record what the head of the current attempt's answer states."""
        runner = opened.sent_to
        if runner is None:
            return
        life = runner_life(runner.runner_id, runner.started_ms)
        if head.unreadable_limit:
            self._log.note(
                Decision.LIMIT_UNREADABLE, runner=life, stated=head.unreadable_limit
            )
            return
        before = self.limits.limit_per_s(life)
        sent_at = opened.attempts.sent_at
        if self.limits.on_answer(life, head.limit_per_s, sent_at, now):
            self._log.note(
                Decision.RUNNER_LIMIT,
                runner=life,
                per_s=head.limit_per_s,
                per_s_before=before,
                request=opened.call.request_id,
                sent_s_ago=round(now - sent_at, 4),
            )


__all__ = ["StatementWatch"]
