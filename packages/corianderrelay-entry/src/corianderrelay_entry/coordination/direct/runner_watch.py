"""Polls the runner records in the platform's log and updates the runner list.

An entry that does not read for others gets the changes from another one, and polls
only if it has missed some or the last confirmation is too old.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.errors import LogUnavailableError

from ...state.direct.log_position import LogPosition
from ...state.direct.store_news import Confirmation, RunnerChangeLog
from .decision_log import Decision
from .dependency import Dependency
from .log_reading import LogReading
from .ports import LogGapError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock, DelayedCall

    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from ...state.direct.store_news import ReadDuty, StoreAnswer
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import RunnerSource

# Share of ``leaving_s``; the rest allows for a slow read. Long polling would not help:
# each heartbeat is a record, so a poll would return almost at once.
_POLL_PERIOD_SHARE = 0.6
_RETRY_S = 0.3  # several retries must fit into ``leaving_s``
# An entry that reads for others polls more often, as these learn of a change later.
_SHARED_PERIOD_SHARE = 0.3
_MAX_AGE_SHARE = 0.65  # age from which an entry polls without being told to
_SHARED_RETRY_S = 0.9  # another entry of the zone retries sooner
_PENDING_PERIOD_S = 0.4  # while expired records may be renewed
_GAP_RETRY_S = 0.05  # the log answers, so reading can go on at once
_RECENT_NEWS_S = 1.0  # an entry that answers is asked more often than that


def _no_cold_news(runner: RegisteredRunner, started: bool) -> bool:
    return False


class RunnerWatch:
    """Polls for the records that were added since the last read.

    :param leaving_s: seconds within which this entry must know that a runner leaves.
    :param on_removed: called with the id of a runner that was removed or restarted.
    :param boottime_seconds: returns seconds of a clock that includes suspended time.
    :param duty: whether this entry reads the log for others.
    :param on_restored: called when the log was restored from an older copy.
    :param is_cold_news: called with each record and whether the runner is new in the
        list or has restarted; returns whether the record states a cold time that was
        not known.
    """

    def __init__(
        self,
        source: RunnerSource,
        runners: RunnerList,
        clock: Clock,
        log: DecisionLog,
        metrics: DirectMetrics,
        on_removed: Callable[[str], None],
        leaving_s: float,
        boottime_seconds: Callable[[], float],
        duty: ReadDuty,
        on_restored: Callable[[], None],
        is_cold_news: Callable[[RegisteredRunner, bool], bool] = _no_cold_news,
    ) -> None:
        self._on_restored = on_restored
        self._is_cold_news = is_cold_news
        self._replaced = False
        self._poll_period_s = _POLL_PERIOD_SHARE * leaving_s
        self._shared_period_s = _SHARED_PERIOD_SHARE * leaving_s
        self._boottime_seconds = boottime_seconds
        self._duty = duty
        self.confirmation = Confirmation(_MAX_AGE_SHARE * leaving_s)
        self.changes = RunnerChangeLog()
        self._polling = False
        self._next_read: DelayedCall | None = None
        self._failed_at = float("-inf")
        self._news_at = float("-inf")
        self._source = source
        self._runners = runners
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_removed = on_removed
        self._reading = LogReading("runners", log, metrics)
        self._dependency = Dependency("runner records", log)
        self.loaded = False

    @property
    def position(self) -> LogPosition | None:
        """The position up to which records were read; ``None`` before."""
        return self._reading.position

    @property
    def failing(self) -> bool:
        """Whether the last read of the log failed."""
        return not self._dependency.available

    def start(self) -> None:
        """Read the log and schedule the next read."""
        self._polling = True
        requested_at = self._boottime_seconds()
        position = self._reading.position
        if position is None:
            newest = self._source.newest().addCallback(self._replace, requested_at)
            newest.addErrback(self._on_failure)
        else:
            changes = self._source.follow(position)
            changes.addCallback(self._on_records, requested_at)
            changes.addErrback(self._on_failure)

    def poll_if_due(self) -> None:
        """Read if this entry reads for others or its last confirmation is old."""
        scheduled = self._next_read is not None and self._next_read.active()
        if self._polling or scheduled or not self._poll_is_due():
            return
        old = self.confirmation.is_old(self._boottime_seconds())
        if old and self._clock.seconds() - self._news_at <= _RECENT_NEWS_S:
            # The entry that reads for this one answers, but cannot read the log.
            self._runners.on_log_unavailable()
        self.start()

    def check_newest(self) -> None:
        """Read soon, as another reader found the log replaced.

        The mark of the position shows whether these records were replaced too.
        """
        if not self._polling:
            if self._next_read is not None and self._next_read.active():
                self._next_read.cancel()
            self.start()

    def apply_news(
        self, answer: StoreAnswer, confirmed_at: float, *, records_lost: bool
    ) -> None:
        """Apply what another entry tells of the runners' records.

        :param confirmed_at: when nothing followed them, on the boottime clock.
        :param records_lost: whether the log has lost records since this entry last
            read all runners, so that offsets have no meaning.
        """
        position, news = self._reading.position, answer.runner_position
        if position is None or news.era < position.era:
            return
        self._news_at = self._clock.seconds()
        lost = records_lost or news.era > position.era
        missed = answer.changes is None or news.offset < position.offset
        if lost or missed:
            if not self._polling:
                if lost:
                    self._reading.start_over(
                        "another entry tells that records were lost"
                    )
                self.start()
            return
        if answer.removal_delay_s > 0.0:
            delay_until = self._clock.seconds() + answer.removal_delay_s
            self._runners.delay_removals(delay_until)
        changes = {each.runner_id: each.runner for each in answer.changes or ()}
        self._apply(changes, news)
        self.confirmation.record(confirmed_at)
        if confirmed_at > self._failed_at:
            self._on_log_answered()

    def _poll_is_due(self) -> bool:
        old = self.confirmation.is_old(self._boottime_seconds())
        return old or self.position is None or self._duty.reads(self._clock.seconds())

    def _schedule(self, delay_s: float) -> None:
        self._next_read = self._clock.callLater(delay_s, self.poll_if_due)

    def _schedule_next(self) -> None:
        self._polling = False
        period_s = self._poll_period_s
        if self._duty.shared:
            period_s = self._shared_period_s
        if self._runners.removals_pending:
            period_s = min(period_s, _PENDING_PERIOD_S)
        if self._duty.reads(self._clock.seconds()):
            self._schedule(period_s)

    def expire(self) -> None:
        """Remove the runners whose records expired and were not renewed.

        Only a read shows that a record was not renewed.
        """
        read_s_ago = self._boottime_seconds() - self.confirmation.confirmed_at
        for runner_id in self._runners.expire(self._clock.seconds() - read_s_ago):
            self._on_runner_removed(runner_id, "its record expired and was not renewed")

    def _replace(
        self,
        answer: tuple[dict[str, RegisteredRunner | None], LogPosition],
        requested_at: float,
    ) -> None:
        runners_by_id, position = answer
        restored = self._reading.advance(position) or self._replaced
        found, self._replaced = self._replaced, False
        self.changes.restart(position)
        self.confirmation.record_all_read(requested_at)
        self._on_log_answered()
        now = self._clock.seconds()
        if restored:
            self._runners.on_log_restored(now)
        before = {runner.runner_id for runner in self._runners.all()}
        for runner_id, runner in runners_by_id.items():
            if runner is not None:
                known = self._runners.get(runner_id)
                self._is_cold_news(runner, self.loaded and _has_started(runner, known))
                self._log_change(runner, known)
        self._runners.replace(runners_by_id, now, restored=restored)
        after = {runner.runner_id for runner in self._runners.all()}
        for runner_id in before - after:
            self._on_runner_removed(runner_id, "it is not among the newest records")
        self.loaded = True
        self._schedule_next()
        if found:
            self._on_restored()

    def _on_records(
        self,
        answer: tuple[Mapping[str, RegisteredRunner | None], LogPosition],
        requested_at: float,
    ) -> None:
        self._on_log_answered()
        known = self._reading.position
        # Another entry may have told of later records meanwhile.
        if known is None or answer[1].is_at_or_after(known):
            self._apply(*answer)
        self.confirmation.record(requested_at)
        self._schedule_next()

    def _apply(
        self, changes: Mapping[str, RegisteredRunner | None], position: LogPosition
    ) -> None:
        # Most records are heartbeats that change nothing.
        changes = {
            runner_id: runner
            for runner_id, runner in changes.items()
            if runner is None or self._is_news(runner)
        }
        self._reading.advance(position)
        self.changes.add(changes, position)
        for runner_id, runner in changes.items():
            if runner is not None:
                self._log_change(runner, self._runners.put(runner))
            elif self._runners.get(runner_id) is not None:
                self._runners.remove(runner_id, self._clock.seconds())
                if self._runners.get(runner_id) is None:
                    self._on_runner_removed(runner_id, "its record was removed")

    def _is_news(self, runner: RegisteredRunner) -> bool:
        known = self._runners.get(runner.runner_id)
        cold_news = self._is_cold_news(runner, _has_started(runner, known))
        return cold_news or not self._runners.is_registered(runner)

    def _on_log_answered(self) -> None:
        self._runners.on_log_available(self._clock.seconds())
        self._dependency.mark_available()

    def _log_change(
        self, runner: RegisteredRunner, before: RegisteredRunner | None
    ) -> None:
        if _has_started(runner, before):
            if before is not None:
                self._on_removed(runner.runner_id)
            self._log.note(
                Decision.RUNNER_KNOWN,
                runner=runner.runner_id,
                service=runner.service,
                address=f"{runner.host}:{runner.port}",
                zone=runner.zone,
                started_ms=runner.started_ms,
            )
        if runner.leaving and (before is None or not before.leaving):
            self._log.note(Decision.RUNNER_LEAVING, runner=runner.runner_id)

    def _on_runner_removed(self, runner_id: str, reason: str) -> None:
        self._on_removed(runner_id)
        self._log.note(Decision.RUNNER_GONE, runner=runner_id, reason=reason)

    def _on_failure(self, failure: Failure) -> None:
        self._polling = False
        self._failed_at = self._boottime_seconds()
        self._metrics.log_failures.inc({"reader": "runners"})
        gap = failure.value
        if isinstance(gap, LogGapError):
            self._replaced = self._replaced or gap.replaced
            self._reading.start_over(failure.getErrorMessage())
            self.confirmation.record_loss(self._failed_at)
        else:
            self._runners.on_log_unavailable()
            self._dependency.mark_unavailable(
                reason=failure.getErrorMessage(),
                expected=failure.check(LogUnavailableError) is not None,
            )
        if failure.check(LogGapError):
            self._schedule(_GAP_RETRY_S)
        else:
            reads = self._duty.reads(self._clock.seconds())
            self._schedule(_RETRY_S if reads else _SHARED_RETRY_S)


def _has_started(runner: RegisteredRunner, known: RegisteredRunner | None) -> bool:
    """Return whether a runner is new, or another process of a known one."""
    return known is None or known.started_ms != runner.started_ms


__all__ = ["RunnerWatch"]
