"""Follows the configuration and keeps the proof that it is the newest."""

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

_WAIT_SHARE = 0.3  # of the bound on revoked keys; a proof lasts until the second answer
_USUAL_WAIT_S = 1.5  # where revoked keys have no bound
_RETRY_S = 0.25  # the proof lasts some seconds; a few tries must fit into it


class ConfigWatch:
    """Reads the configuration again and again.

    :param true_seconds: seconds on a clock that counts suspended time too.
    :param revoke_s: bound on the use of revoked keys, see ``ConfigFreshness``.
    """

    def __init__(
        self,
        source: ConfigSource,
        clock: Clock,
        true_seconds: Callable[[], float],
        revoke_s: float | None,
        log: DecisionLog,
        metrics: DirectMetrics,
    ) -> None:
        self._source = source
        self._clock = clock
        self._true_seconds = true_seconds
        self._log = log
        self._metrics = metrics
        self._freshness = ConfigFreshness(revoke_s)
        self._wait_s = _USUAL_WAIT_S if revoke_s is None else _WAIT_SHARE * revoke_s
        self._offset: int | None = None
        self._trusted = False
        self._dependency = Dependency("configuration log", log)
        self.catalog: Catalog | None = None

    @property
    def age_s(self) -> float:
        """Age of the proof that the configuration is the newest, in seconds."""
        return self._freshness.age_s(self._true_seconds())

    def keys_trusted(self) -> bool:
        """Whether a key that the configuration holds may be believed now."""
        trusted = self._freshness.is_fresh(self._true_seconds())
        if trusted != self._trusted:
            self._trusted = trusted
            kind = Decision.KEYS_TRUSTED if trusted else Decision.KEYS_UNTRUSTED
            self._log.note(kind, version=self.version, proof_age_s=self.age_s)
        return trusted

    @property
    def version(self) -> int | None:
        """The version in force."""
        return None if self.catalog is None else self.catalog.version

    def engine(self, service: str) -> EngineModel | None:
        """Return what is configured of a service's engines."""
        if self.catalog is None or service not in self.catalog.services_by_name:
            return None
        return self.catalog.services_by_name[service].engine

    def start(self) -> None:
        """Begin to follow."""
        self._ask()

    def _ask(self) -> None:
        asked_at = self._true_seconds()
        if self._offset is None:
            answer = self._source.newest()
        else:
            answer = self._source.follow(self._offset, self._wait_s)
        answer.addCallback(self._take, asked_at)
        answer.addErrback(self._failed)

    def _take(self, answer: tuple[Catalog | None, int], asked_at: float) -> None:
        catalog, self._offset = answer
        self._dependency.back()
        self._freshness.record_proof(asked_at)
        if catalog is not None:
            self._put_in_force(catalog)
        # Without a configuration yet, "newest" answers at once.
        delay_s = 0.0 if self.catalog is not None else _RETRY_S
        self._clock.callLater(delay_s, self._ask)

    def _put_in_force(self, catalog: Catalog) -> None:
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

    def _failed(self, failure: Failure) -> None:
        self._metrics.log_failures.inc({"reader": "configuration"})
        if failure.check(LogGapError):
            self._offset = None
            self._log.note(
                Decision.CONFIG_REJECTED,
                reason="records were dropped; reading the newest ones",
                version=self.version,
            )
        elif failure.check(LogUnavailableError):
            self._dependency.lost(
                reason=failure.getErrorMessage(), proof_age_s=self.age_s
            )
        else:
            self._log.note(
                Decision.CONFIG_REJECTED,
                reason=failure.getErrorMessage(),
                version=self.version,
            )
        self._clock.callLater(_RETRY_S, self._ask)


__all__ = ["ConfigWatch"]
