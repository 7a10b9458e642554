"""Polls the runner records in the platform's log and updates the runner list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.errors import LogUnavailableError

from .decision_log import Decision
from .dependency import Dependency
from .ports import LogGapError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import RunnerSource

# Share of ``leaving_s``; the rest allows for a slow read. Long polling would not help:
# each heartbeat is a record, so a poll would return almost at once.
_POLL_PERIOD_SHARE = 0.6
_RETRY_S = 0.3  # several retries must fit into ``leaving_s``


class RunnerWatch:
    """Polls for the records that were added since the last read.

    :param leaving_s: seconds within which this entry must know that a runner leaves.
    :param on_removed: called with the id of a runner that was removed or restarted.
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
    ) -> None:
        self._poll_period_s = _POLL_PERIOD_SHARE * leaving_s
        self._source = source
        self._runners = runners
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_removed = on_removed
        self._offset: int | None = None
        self._dependency = Dependency("runner records", log)
        self.loaded = False

    def start(self) -> None:
        """Read the log and schedule the next read."""
        if self._offset is None:
            newest = self._source.newest().addCallback(self._replace)
            newest.addErrback(self._on_failure)
        else:
            changes = self._source.follow(self._offset).addCallback(self._apply)
            changes.addErrback(self._on_failure)

    def expire(self) -> None:
        """Remove the runners whose records expired and were not renewed."""
        for runner_id in self._runners.expire(self._clock.seconds()):
            self._on_runner_removed(runner_id, "its record expired and was not renewed")

    def _replace(self, answer: tuple[dict[str, RegisteredRunner | None], int]) -> None:
        runners_by_id, self._offset = answer
        self._on_log_answered()
        before = {runner.runner_id for runner in self._runners.all()}
        for runner_id, runner in runners_by_id.items():
            if runner is not None:
                self._log_change(runner, self._runners.get(runner_id))
        self._runners.replace(runners_by_id, self._clock.seconds())
        after = {runner.runner_id for runner in self._runners.all()}
        for runner_id in before - after:
            self._on_runner_removed(runner_id, "it is not among the newest records")
        self.loaded = True
        self._clock.callLater(self._poll_period_s, self.start)

    def _apply(self, answer: tuple[Mapping[str, RegisteredRunner | None], int]) -> None:
        changes, self._offset = answer
        self._on_log_answered()
        for runner_id, runner in changes.items():
            if runner is not None:
                self._log_change(runner, self._runners.put(runner))
            elif self._runners.get(runner_id) is not None:
                self._runners.remove(runner_id, self._clock.seconds())
                if self._runners.get(runner_id) is None:
                    self._on_runner_removed(runner_id, "its record was removed")
        self._clock.callLater(self._poll_period_s, self.start)

    def _on_log_answered(self) -> None:
        self._runners.on_log_available(self._clock.seconds())
        self._dependency.mark_available()

    def _log_change(
        self, runner: RegisteredRunner, before: RegisteredRunner | None
    ) -> None:
        if before is None or before.started_ms != runner.started_ms:
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
        self._metrics.log_failures.inc({"reader": "runners"})
        if failure.check(LogGapError):
            self._offset = None
        else:
            self._runners.on_log_unavailable()
            self._dependency.mark_unavailable(
                reason=failure.getErrorMessage(),
                expected=failure.check(LogUnavailableError) is not None,
            )
        self._clock.callLater(_RETRY_S, self.start)


__all__ = ["RunnerWatch"]
