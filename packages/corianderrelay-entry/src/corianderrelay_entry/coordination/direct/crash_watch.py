"""Finds the requests that end their runners, together with the other entries.

An attempt without an answer is recorded and shared at once. Then its runner is asked
who it is: it lives if it answers as the process that had the attempt, and has ended if
another process answers or the connection is refused. An accepted connection alone
proves nothing, as another runner may have taken the address. A runner that does not
answer is probed again; the list decides if it is removed, started again or kept.
A request that has ended too many runners by these records is held, see ``CrashLedger``;
so is one with a part that ends runners, see ``PartLedger``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.crash_ledger import CrashLedger, LostAttempt, Verdict, runner_life
from .decision_log import Decision
from .part_watch import PartWatch
from .ports import ProbeResult

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.attempts import RunnerPicker
    from ...state.direct.part_ledger import PartLoss
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from .decision_log import DecisionLog
    from .open_direct_call import OpenAttempt, OpenDirectCall
    from .ports import RunnerProbe

_PROBING = float("inf")  # no other probe is due while one is open
_PROBE_AGAIN_S = 1.0  # a silent runner, or the path to it, is often back in seconds
_EVIDENCE = {
    ProbeResult.ITSELF: (Verdict.ALIVE, "it answers as itself"),
    ProbeResult.REPLACED: (Verdict.ENDED, "another process answers at its address"),
    ProbeResult.REFUSED: (Verdict.ENDED, "it refuses connections"),
}


class CrashWatch:
    """Records lost attempts, judges their runners, and holds back requests.

    :param on_changed: called when the other entries should learn of a change soon.
    """

    def __init__(
        self,
        runners: RunnerList,
        probe: RunnerProbe,
        clock: Clock,
        random: Random,
        log: DecisionLog,
        on_changed: Callable[[], None],
    ) -> None:
        self._runners = runners
        self._probe = probe
        self._clock = clock
        self._log = log
        self._on_changed = on_changed
        # Only the entry that lost an attempt judges its runner: the lists of the others
        # may not have it yet.
        self._own_runners_by_life: dict[str, RegisteredRunner] = {}
        self._probed_at_by_life: dict[str, float] = {}
        self._waiting_by_life: dict[str, list[Callable[[], None]]] = {}
        self.ledger = CrashLedger()
        self.parts = PartWatch(clock, random, log, on_changed)

    def held_s(self, opened: OpenDirectCall) -> float | None:
        """Return the seconds until a request may run; ``None`` if it may run now."""
        held_s = self.ledger.held_s(opened.fingerprint, self._clock.seconds())
        part_hold = self.parts.hold(opened)
        if part_hold is None:
            return held_s
        return max(part_hold.wait_s, held_s or 0.0)

    def guard(self, picker: RunnerPicker, opened: OpenDirectCall) -> GuardedPicker:
        """Return a picker that finds no runner while the request is held."""
        return GuardedPicker(picker, self, opened)

    def on_sent(self, attempt: OpenAttempt) -> None:
        """Record what is known of the request of a new attempt."""
        rounds = self.ledger.rounds(attempt.opened.fingerprint)
        attempt.crash_round = rounds + 1
        self.parts.on_sent(attempt.opened)

    def on_attempt_lost(self, attempt: OpenAttempt) -> None:
        """Record an attempt that ended, or may never end, without an answer."""
        runner = attempt.runner
        life = runner_life(runner.runner_id, runner.started_ms)
        lost = LostAttempt(attempt.opened.fingerprint, life, attempt.crash_round)
        if not self.ledger.merge(lost, self._clock.seconds()):
            return
        self._log_lost(lost)
        self.parts.on_lost(attempt, life)
        self._on_changed()
        self._own_runners_by_life[life] = runner
        if life not in self._probed_at_by_life:
            self._start_probe(life)

    def after_probe(self, attempt: OpenAttempt, resume: Callable[[], None]) -> None:
        """Call ``resume`` once it is known whether a lost attempt ended its runner.

        Only a request whose parts are suspected waits, so that it is retried if its
        runner lives; the probe takes less than half a second.
        """
        runner = attempt.runner
        life = runner_life(runner.runner_id, runner.started_ms)
        probing = self._probed_at_by_life.get(life) == _PROBING
        if probing and self.parts.hold(attempt.opened) is not None:
            self._waiting_by_life.setdefault(life, []).append(resume)
        else:
            resume()

    def on_completed(self, opened: OpenDirectCall) -> None:
        """Discard what counts against a request: a runner has completed it."""
        reason = "a runner has completed the request"
        self.parts.on_answered(opened, reason)
        self.ledger.record_answer(opened.fingerprint)
        if self.ledger.clear(opened.fingerprint, self._clock.seconds()):
            self._log.note(
                Decision.CRASHES_CLEARED,
                fingerprint=opened.fingerprint,
                reason=reason,
            )
            self._on_changed()

    def receive(
        self, lost_attempts: Iterable[LostAttempt], lost_parts: Iterable[PartLoss]
    ) -> None:
        """Apply the records of another entry."""
        self.parts.receive(lost_parts)
        now = self._clock.seconds()
        for lost in lost_attempts:
            if self.ledger.merge(lost, now) and lost.counts:
                self._log_lost(lost)

    def tick(self) -> None:
        """Judge runners by the runner list, probe silent ones again, and expire."""
        now = self._clock.seconds()
        self.ledger.expire(now)
        self.parts.ledger.expire(now)
        self._settle_old_losses()
        for life, runner in list(self._own_runners_by_life.items()):
            registered = self._runners.get(runner.runner_id)
            if registered is None or registered.started_ms != runner.started_ms:
                self._judge(life, Verdict.ENDED, "it is not registered any more")
            elif now - self._probed_at_by_life.get(life, now) >= _PROBE_AGAIN_S:
                self._start_probe(life)

    def _settle_old_losses(self) -> None:
        """End the watch on runners that would have disappeared from the list by now."""
        if not self._runners.current:
            return
        for life in self._own_runners_by_life.keys() - self.ledger.recent_lives():
            runner = self._own_runners_by_life.pop(life)
            self._probed_at_by_life.pop(life, None)
            registered = self._runners.get(runner.runner_id)
            if registered is not None and registered.started_ms == runner.started_ms:
                self._judge(life, Verdict.ALIVE, "it is still registered")

    def _start_probe(self, life: str) -> None:
        self._probed_at_by_life[life] = _PROBING
        probed = self._probe.identify(self._own_runners_by_life[life])
        probed.addCallback(self._on_probed, life)

    def _on_probed(self, result: ProbeResult, life: str) -> None:
        self._probed_at_by_life.pop(life, None)
        if result is not ProbeResult.UNANSWERED:
            self._judge(life, *_EVIDENCE[result])
        elif life in self._own_runners_by_life:
            self._probed_at_by_life[life] = self._clock.seconds()
        for resume in self._waiting_by_life.pop(life, ()):
            resume()

    def _judge(self, life: str, verdict: Verdict, reason: str) -> None:
        changed = self.ledger.judge(life, verdict, self._clock.seconds())
        if not self.parts.judge(life, verdict) and not changed:
            return
        self._log.note(
            Decision.RUNNER_JUDGED,
            runner=life,
            verdict=verdict.name.lower(),
            reason=reason,
            lost_attempts=len(changed),
        )
        for lost in changed:
            self._log_lost(lost)
        self._on_changed()

    def _log_lost(self, lost: LostAttempt) -> None:
        self._log.note(
            Decision.ATTEMPT_LOST,
            fingerprint=lost.fingerprint,
            runner=lost.runner_life,
            round=lost.round,
            verdict=lost.verdict.name.lower(),
            rounds=self.ledger.rounds(lost.fingerprint),
            quarantined=lost.fingerprint in self.ledger.quarantined(),
        )


class GuardedPicker:
    """A ``RunnerPicker`` that finds no runner for a request that is held."""

    __slots__ = ("_picker", "_crashes", "_opened")

    def __init__(
        self, picker: RunnerPicker, crashes: CrashWatch, opened: OpenDirectCall
    ) -> None:
        self._picker = picker
        self._crashes = crashes
        self._opened = opened

    def pick(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a usable runner that is not excluded, ``None`` if held."""
        if self._crashes.held_s(self._opened) is not None:
            return None
        return self._picker.pick(excluded, now)

    def pick_for_takeover(self, excluded: frozenset[str], now: float) -> str | None:
        """Return a runner that may take over a silent attempt, ``None`` if held."""
        if self._crashes.held_s(self._opened) is not None:
            return None
        return self._picker.pick_for_takeover(excluded, now)

    def spend_retry(self, now: float) -> bool:
        """Charge a retry; return false if there is no budget or it is held."""
        if self._crashes.held_s(self._opened) is not None:
            return False
        return self._picker.spend_retry(now)

    def retry_after_s(self, now: float) -> float:
        """Return the seconds after which a refused caller may find a runner."""
        return self._picker.retry_after_s(now)


__all__ = ["CrashWatch", "GuardedPicker"]
