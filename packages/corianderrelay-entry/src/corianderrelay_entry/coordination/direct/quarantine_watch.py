"""Keeps quarantined fingerprints in the platform's log and follows those of others.

The other entries usually learn of a quarantine by updates. The log tells entries that
start later, or that are cut off from the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Decision
from .dependency import Dependency
from .ports import LogGapError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.crash_ledger import CrashLedger
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import QuarantineStore

_POLL_WAIT_S = 25.0  # a poll returns as soon as there is a change
_RETRY_S = 1.0
# Entries that learn of a change together write it at different times, so that the first
# one's record spares the others the call.
_WRITE_SPREAD_S = 2.0


class QuarantineWatch:
    """Long-polls the stored quarantines, and stores or removes what differs here.

    :param wall_seconds: returns the time of day in Unix seconds.
    """

    def __init__(
        self,
        store: QuarantineStore,
        ledger: CrashLedger,
        clock: Clock,
        wall_seconds: Callable[[], float],
        random: Random,
        log: DecisionLog,
        metrics: DirectMetrics,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._clock = clock
        self._wall_seconds = wall_seconds
        self._random = random
        self._log = log
        self._metrics = metrics
        self._offset: int | None = None
        self._dependency = Dependency("quarantine records", log)
        self._stored: set[str] = set()
        self._write_at_by_fingerprint: dict[str, float] = {}

    def start(self) -> None:
        """Read the stored quarantines, and then their changes."""
        if self._offset is None:
            read = self._store.newest().addCallback(self._replace)
        else:
            changes = self._store.follow(self._offset, _POLL_WAIT_S)
            read = changes.addCallback(self._apply)
        read.addErrback(self._on_read_failed)

    def tick(self) -> None:
        """Write the quarantines that have begun or ended here to the log."""
        now = self._clock.seconds()
        quarantined = self._ledger.quarantined()
        differing = quarantined ^ self._stored
        for fingerprint in self._write_at_by_fingerprint.keys() - differing:
            del self._write_at_by_fingerprint[fingerprint]
        for fingerprint in differing:
            spread_s = self._random.uniform(0.0, _WRITE_SPREAD_S)
            write_at = self._write_at_by_fingerprint.setdefault(
                fingerprint, now + spread_s
            )
            if now >= write_at:
                self._write_at_by_fingerprint[fingerprint] = now + _WRITE_SPREAD_S
                self._write(fingerprint, now)

    def _write(self, fingerprint: str, now: float) -> None:
        remaining_s = self._ledger.quarantine_left_s(fingerprint, now)
        if remaining_s > 0.0:
            ends_at = self._wall_seconds() + remaining_s
            written = self._store.put(fingerprint, ends_at)
        else:
            written = self._store.remove(fingerprint)
        # The record itself arrives by the next poll; a lost write is repeated.
        written.addErrback(self._on_write_failed)

    def _replace(self, answer: tuple[Mapping[str, float | None], int]) -> None:
        self._stored.clear()
        self._apply(answer)

    def _apply(self, answer: tuple[Mapping[str, float | None], int]) -> None:
        ends_at_by_fingerprint, self._offset = answer
        self._dependency.mark_available()
        for fingerprint, ends_at in ends_at_by_fingerprint.items():
            if ends_at is None:
                self._on_removed(fingerprint)
            else:
                self._on_stored(fingerprint, ends_at - self._wall_seconds())
        self._clock.callLater(0.0, self.start)

    def _on_stored(self, fingerprint: str, remaining_s: float) -> None:
        self._stored.add(fingerprint)
        if remaining_s <= 0.0 or fingerprint in self._ledger.quarantined():
            return
        self._ledger.quarantine(fingerprint, remaining_s, self._clock.seconds())
        self._log.note(
            Decision.REQUEST_QUARANTINED,
            fingerprint=fingerprint,
            remaining_s=round(remaining_s, 1),
            reason="the log names it",
        )

    def _on_removed(self, fingerprint: str) -> None:
        self._stored.discard(fingerprint)
        if fingerprint not in self._ledger.quarantined():
            return  # lifted here already; its records may still count
        if self._ledger.clear(fingerprint, self._clock.seconds()):
            self._log.note(
                Decision.CRASHES_CLEARED,
                fingerprint=fingerprint,
                reason="its record was removed from the log",
            )

    def _on_read_failed(self, failure: Failure) -> None:
        self._metrics.log_failures.inc({"reader": "quarantine"})
        if failure.check(LogGapError):
            self._offset = None
        else:
            self._dependency.mark_unavailable(reason=failure.getErrorMessage())
        self._clock.callLater(_RETRY_S, self.start)

    def _on_write_failed(self, failure: Failure) -> None:
        self._metrics.log_failures.inc({"reader": "quarantine"})
        self._dependency.mark_unavailable(reason=failure.getErrorMessage())


__all__ = ["QuarantineWatch"]
