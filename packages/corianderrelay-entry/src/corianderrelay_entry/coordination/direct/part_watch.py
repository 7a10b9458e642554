"""Suspects the parts of prompts under which runners end, with the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.part_ledger import PartHold, PartLedger, PartLoss
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.crash_ledger import Verdict
    from .decision_log import DecisionLog
    from .open_direct_call import OpenAttempt, OpenDirectCall

_TRIAL_SPREAD_S = 1.0  # many times an update between entries
_BEGINNING_EVENTS = 3  # with as many events, a runner is well past the beginning


class PartWatch:
    """Records the parts of lost and of answered requests, and starts trials.

    :param on_changed: called when the other entries should learn of a change soon.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        log: DecisionLog,
        on_changed: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._on_changed = on_changed
        self.ledger = PartLedger(random.uniform(0.0, _TRIAL_SPREAD_S))

    def hold(self, opened: OpenDirectCall) -> PartHold | None:
        """Return why a request is held; ``None`` if it may run now."""
        if not opened.shared_parts:
            return None
        return self.ledger.hold(opened.shared_parts, self._clock.seconds())

    def on_sent(self, opened: OpenDirectCall) -> None:
        """Start a trial if the request that was sent has suspects."""
        tried = self.ledger.start_trial(opened.shared_parts, self._clock.seconds())
        if not tried:
            return
        self._log.note(
            Decision.PART_TRIED,
            request=opened.call.request_id,
            parts=tried,
            crashes=[self.ledger.crashes(part) for part in tried],
        )
        self._on_changed()

    def on_lost(self, attempt: OpenAttempt, life: str) -> None:
        """Record an attempt that was lost, perhaps before its runner had begun."""
        if attempt.events_count >= _BEGINNING_EVENTS:
            return
        opened = attempt.opened
        now = self._clock.seconds()
        losses = [
            PartLoss(part, life, opened.fingerprint) for part in opened.shared_parts
        ]
        changed = [loss for loss in losses if self.ledger.merge(loss, now)]
        for loss in changed:
            self._log_lost(loss)

    def on_events(self, attempt: OpenAttempt, count: int) -> None:
        """Record that a runner has sent events; clear the parts if it is well ahead."""
        before = attempt.events_count
        attempt.events_count += count
        if before < _BEGINNING_EVENTS <= attempt.events_count:
            self.on_answered(attempt.opened, "a runner answers a request with it")

    def on_answered(self, opened: OpenDirectCall, reason: str) -> None:
        """Clear the parts of a request that a runner answers."""
        now = self._clock.seconds()
        cleared = self.ledger.on_answered(opened.shared_parts, now)
        self.note_cleared(cleared, reason)
        if cleared:
            self._on_changed()

    def note_cleared(self, cleared: Iterable[PartLoss], reason: str) -> None:
        """Log the parts that are no longer suspected."""
        for part in sorted({loss.part for loss in cleared}):
            self._log.note(Decision.PART_CLEARED, part=part, reason=reason)

    def judge(self, life: str, verdict: Verdict) -> bool:
        """Apply a verdict on a runner; return whether it changes anything."""
        changed = self.ledger.judge(life, verdict, self._clock.seconds())
        for loss in changed:
            self._log_lost(loss)
        return bool(changed)

    def receive(self, losses: Iterable[PartLoss]) -> None:
        """Apply the records of another entry."""
        now = self._clock.seconds()
        for loss in losses:
            counted = self.ledger.crashes(loss.part)
            if not self.ledger.merge(loss, now):
                continue
            if loss.counts:
                self._log_lost(loss)
            elif counted and not self.ledger.crashes(loss.part):
                self.note_cleared([loss], "another entry has cleared it")

    def _log_lost(self, loss: PartLoss) -> None:
        self._log.note(
            Decision.PART_SUSPECTED,
            part=loss.part,
            runner=loss.runner_life,
            fingerprint=loss.fingerprint,
            verdict=loss.verdict.name.lower(),
            answered_before=loss.answered_before,
            crashes=self.ledger.crashes(loss.part),
            blamed=sorted(self.ledger.blamed(loss.runner_life)),
        )


__all__ = ["PartWatch"]
