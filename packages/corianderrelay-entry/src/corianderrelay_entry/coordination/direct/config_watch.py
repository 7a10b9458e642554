"""Polls the configuration log and tracks how stale the active configuration is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.errors import LogUnavailableError

from ...state.direct.config_freshness import ConfigFreshness
from .decision_log import Decision
from .dependency import Dependency
from .ports import LogGapError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.catalog import Catalog, EngineModel
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import ConfigSource

# Share of the bound on the use of revoked keys. Three polls fit into the bound, so a
# confirmed configuration stays fresh until the second poll after it has ended.
_POLL_WAIT_SHARE = 0.3
_DEFAULT_POLL_WAIT_S = 1.5  # if the use of revoked keys is not bounded
_RETRY_S = 0.25  # several retries must fit into the seconds that keys stay trusted


class ConfigWatch:
    """Long-polls the configuration log and activates newer versions.

    :param boottime_seconds: returns seconds of a clock that includes suspended time.
    :param revoke_s: bound on the use of revoked keys, see ``ConfigFreshness``.
    """

    def __init__(
        self,
        source: ConfigSource,
        clock: Clock,
        boottime_seconds: Callable[[], float],
        revoke_s: float | None,
        log: DecisionLog,
        metrics: DirectMetrics,
    ) -> None:
        self._source = source
        self._clock = clock
        self._boottime_seconds = boottime_seconds
        self._log = log
        self._metrics = metrics
        self._freshness = ConfigFreshness(revoke_s)
        self._wait_s = (
            _DEFAULT_POLL_WAIT_S if revoke_s is None else _POLL_WAIT_SHARE * revoke_s
        )
        self._offset: int | None = None
        self._trusted = False
        self._dependency = Dependency("configuration log", log)
        self.catalog: Catalog | None = None

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was last confirmed as the newest."""
        return self._freshness.age_s(self._boottime_seconds())

    def keys_trusted(self) -> bool:
        """Whether the configuration is fresh enough to validate API keys against it."""
        trusted = self._freshness.is_fresh(self._boottime_seconds())
        if trusted != self._trusted:
            self._trusted = trusted
            kind = Decision.KEYS_TRUSTED if trusted else Decision.KEYS_UNTRUSTED
            self._log.note(kind, version=self.version, proof_age_s=self.age_s)
        return trusted

    @property
    def version(self) -> int | None:
        """The active version; ``None`` before the first one is loaded."""
        return None if self.catalog is None else self.catalog.version

    def engine(self, service: str) -> EngineModel | None:
        """Return the configured engine model of a service, or ``None``."""
        if self.catalog is None or service not in self.catalog.services_by_name:
            return None
        return self.catalog.services_by_name[service].engine

    def start(self) -> None:
        """Start polling."""
        self._poll()

    def _poll(self) -> None:
        requested_at = self._boottime_seconds()
        if self._offset is None:
            answer = self._source.newest()
        else:
            answer = self._source.follow(self._offset, self._wait_s)
        answer.addCallback(self._on_answer, requested_at)
        answer.addErrback(self._on_failure)

    def _on_answer(
        self, answer: tuple[Catalog | None, int], requested_at: float
    ) -> None:
        catalog, self._offset = answer
        self._dependency.mark_available()
        self._freshness.record_confirmation(requested_at)
        if catalog is not None:
            self._activate(catalog)
        # Without a configuration, polls can return at once: wait to avoid a busy loop.
        delay_s = 0.0 if self.catalog is not None else _RETRY_S
        self._clock.callLater(delay_s, self._poll)

    def _activate(self, catalog: Catalog) -> None:
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        before = self.version
        self.catalog = catalog
        self._metrics.config_version.set({}, catalog.version)
        self._log.note(
            Decision.CONFIG_IN_FORCE,
            version=catalog.version,
            before=before,
            routes=sum(map(len, catalog.routes_by_host.values())),
            keys=len(catalog.workspaces_by_key),
        )

    def _on_failure(self, failure: Failure) -> None:
        self._metrics.log_failures.inc({"reader": "configuration"})
        if failure.check(LogGapError):
            self._offset = None
            self._log.note(
                Decision.CONFIG_REJECTED,
                reason="the records at the offset are no longer kept; "
                "reading the newest record",
                version=self.version,
            )
        elif failure.check(LogUnavailableError):
            self._dependency.mark_unavailable(
                reason=failure.getErrorMessage(), proof_age_s=self.age_s
            )
        else:
            self._log.note(
                Decision.CONFIG_REJECTED,
                reason=failure.getErrorMessage(),
                version=self.version,
            )
        self._clock.callLater(_RETRY_S, self._poll)


__all__ = ["ConfigWatch"]
