"""Polls the configuration log and tracks how stale the active configuration is.

A log that was restored from an older copy may lack the newest version. An entry to
which others tell a version that it cannot read does not count its own as confirmed.

An entry that does not read for others polls only if another entry tells of a newer
configuration, or if the last confirmation is too old.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from corianderrelay.state.errors import LogUnavailableError

from ...state.direct.config_freshness import ConfigFreshness
from ...state.direct.store_news import Confirmation
from .decision_log import Decision
from .dependency import Dependency
from .log_reading import LogReading
from .ports import LogGapError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock, DelayedCall

    from ...state.direct.catalog import Catalog, EngineModel
    from ...state.direct.log_position import LogPosition
    from ...state.direct.store_news import ReadDuty
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import ConfigSource

# Share of the bound on the use of revoked keys. Three polls fit into the bound, so a
# confirmed configuration stays fresh until the second poll after it has ended.
_POLL_WAIT_SHARE = 0.3
_DEFAULT_POLL_WAIT_S = 1.5  # if the use of revoked keys is not bounded
_RETRY_S = 0.25  # several retries must fit into the seconds that keys stay trusted
# Another entry of the zone retries sooner and tells when the log is back.
_SHARED_RETRY_S = 0.6
_GAP_RETRY_S = 0.05  # the log answers, so reading can go on at once
# Time between two reads for a version that others know and the log does not have.
_BEHIND_RETRY_S = 0.5
# Shares of the same bound: the time between two polls for other entries, whose news are
# older, and the age after which an entry polls without being told to.
_SHARED_PERIOD_SHARE = 0.25
_MAX_AGE_SHARE = 0.56


class ConfigProof(Enum):
    """What confirmed last that the active configuration is the newest."""

    NONE = "none"
    RECORD_READ = "its record was read"
    EMPTY_READ = "a read found no later record"
    OTHER_ENTRY = "another entry is at the same position"


class ConfigWatch:
    """Long-polls the configuration log and activates newer versions.

    :param boottime_seconds: returns seconds of a clock that includes suspended time.
    :param revoke_s: bound on the use of revoked keys, see ``ConfigFreshness``.
    :param duty: whether this entry reads the log for others.
    :param others_heard: returns whether other entries had time to tell their versions.
    :param on_restored: called when the log was restored from an older copy.
    """

    def __init__(
        self,
        source: ConfigSource,
        clock: Clock,
        boottime_seconds: Callable[[], float],
        revoke_s: float | None,
        log: DecisionLog,
        metrics: DirectMetrics,
        duty: ReadDuty,
        others_heard: Callable[[], bool],
        on_restored: Callable[[], None],
    ) -> None:
        self._duty = duty
        self._others_heard = others_heard
        self._on_restored = on_restored
        self._version_known_by_others = 0
        self._polled_at = float("-inf")
        self._source = source
        self._clock = clock
        self._boottime_seconds = boottime_seconds
        self._log = log
        self._metrics = metrics
        self._freshness = ConfigFreshness(revoke_s)
        self._wait_s = (
            _DEFAULT_POLL_WAIT_S if revoke_s is None else _POLL_WAIT_SHARE * revoke_s
        )
        bound_s = self._wait_s / _POLL_WAIT_SHARE
        self._shared_period_s = _SHARED_PERIOD_SHARE * bound_s
        self.confirmation = Confirmation(_MAX_AGE_SHARE * bound_s)
        self._reading = LogReading("configuration", log, metrics)
        self._polling = False
        self._next_poll: DelayedCall | None = None
        self._failed_at = float("-inf")
        self._trusted = False
        self._usable = False
        self._dependency = Dependency("configuration log", log)
        self._proof = ConfigProof.NONE
        self.catalog: Catalog | None = None

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was last confirmed as the newest."""
        return self._freshness.age_s(self._boottime_seconds())

    def keys_trusted(self) -> bool:
        """Whether the configuration is fresh enough to validate API keys against it."""
        fresh = self._freshness.is_fresh(self._boottime_seconds())
        trusted = fresh and self.usable
        if trusted != self._trusted:
            self._trusted = trusted
            kind = Decision.KEYS_TRUSTED if trusted else Decision.KEYS_UNTRUSTED
            self._log.note(kind, version=self.version, proof_age_s=self.age_s)
        return trusted

    @property
    def era(self) -> int | None:
        """The era of the log at the last read; ``None`` before."""
        return None if self.position is None else self.position.era

    def evidence(self) -> dict[str, object]:
        """Return what a log line needs to show why this version was used."""
        position = self.position
        return {
            "version": self.version,
            "fingerprint": None if self.catalog is None else self.catalog.fingerprint,
            "era": self.era,
            "offset": None if position is None else position.offset,
            "proof": self._proof.value,
            "proof_age_s": round(self.age_s, 3),
        }

    @property
    def version(self) -> int | None:
        """The active version; ``None`` before the first one is loaded."""
        return None if self.catalog is None else self.catalog.version

    def engine(self, service: str) -> EngineModel | None:
        """Return the configured engine model of a service, or ``None``."""
        if self.catalog is None or service not in self.catalog.services_by_name:
            return None
        return self.catalog.services_by_name[service].engine

    @property
    def position(self) -> LogPosition | None:
        """The position after the configuration that was read; ``None`` before."""
        return self._reading.position

    def start(self) -> None:
        """Start polling."""
        self._poll()

    def poll_if_due(self) -> None:
        """Poll if this entry reads for others or its last confirmation is old."""
        scheduled = self._next_poll is not None and self._next_poll.active()
        if not self._polling and not scheduled and self._poll_is_due():
            self._poll()

    @property
    def usable(self) -> bool:
        """Whether requests may be validated against the active configuration.

        An entry that starts may read an older version than others have from a restored
        log, so it waits until it has heard them.
        """
        if not self._usable and self.catalog is not None:
            self._usable = self._others_heard() and not self.behind
        return self._usable

    @property
    def behind(self) -> bool:
        """Whether another entry has a newer configuration."""
        return self._version_known_by_others > (self.version or 0)

    def learn_version(self, version: int) -> None:
        """Record a version that is active at another entry, and look for it."""
        is_news = version > self._version_known_by_others
        if is_news:
            self._version_known_by_others = version
        if not self.behind or self._polling or not (is_news or self._may_look_again()):
            return
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()
        self._poll()

    def apply_news(
        self, news: LogPosition, confirmed_at: float, *, records_lost: bool
    ) -> None:
        """Apply what another entry tells of the log.

        :param news: the position after the newest configuration.
        :param confirmed_at: when nothing followed it, on the boottime clock.
        :param records_lost: whether the log has lost records since this entry last
            read the newest configuration, so that offsets have no meaning.
        """
        position = self._reading.position
        if position is None or news.era < position.era:
            return
        if news == position and not records_lost:
            self._confirm(confirmed_at, ConfigProof.OTHER_ENTRY)
        elif not self._polling:
            if records_lost or news.era > position.era:
                self._reading.start_over("another entry tells that records were lost")
            self._poll()

    def _may_look_again(self) -> bool:
        """Whether the log may be asked again for a version that it did not have."""
        return self._clock.seconds() - self._polled_at >= _BEHIND_RETRY_S

    def _poll_is_due(self) -> bool:
        if self.behind and not self._may_look_again():
            return False
        old = self.confirmation.is_old(self._boottime_seconds())
        return old or self.position is None or self._duty.reads(self._clock.seconds())

    def _poll(self) -> None:
        self._polling = True
        self._polled_at = self._clock.seconds()
        requested_at = self._boottime_seconds()
        position = self._reading.position
        if position is None:
            answer = self._source.newest()
        else:
            # A poll that waits confirms what was current when it was sent, so the other
            # entries would get old news.
            wait_s = 0.0 if self._duty.shared else self._wait_s
            answer = self._source.follow(position, wait_s)
        answer.addCallback(self._on_answer, requested_at, position is None)
        answer.addErrback(self._on_failure)

    def _confirm(self, confirmed_at: float, proof: ConfigProof) -> None:
        if self.behind:
            return  # the log has lost the newest version, or it is not read yet
        self._proof = proof
        self.confirmation.record(confirmed_at)
        self._freshness.record_confirmation(confirmed_at)
        if confirmed_at > self._failed_at:
            self._dependency.mark_available()

    def _on_answer(
        self,
        answer: tuple[Catalog | None, LogPosition],
        requested_at: float,
        all_read: bool,
    ) -> None:
        self._polling = False
        catalog, position = answer
        restored = self._reading.advance(position)
        self._dependency.mark_available()
        if catalog is not None:
            self._activate(catalog, position)
        if self.behind:
            self._log.note(
                Decision.CONFIG_BEHIND,
                version=self.version,
                version_of_others=self._version_known_by_others,
                era=position.era,
                offset=position.offset,
            )
        was_read = all_read or catalog is not None
        self._confirm(
            requested_at,
            ConfigProof.RECORD_READ if was_read else ConfigProof.EMPTY_READ,
        )
        if all_read and not self.behind:
            self.confirmation.record_all_read(requested_at)
        if restored:
            self._on_restored()
        if self.catalog is None:
            # Polls can return at once: wait to avoid a busy loop.
            self._schedule(_RETRY_S)
        elif self._duty.reads(self._clock.seconds()):
            self._schedule(self._shared_period_s if self._duty.shared else 0.0)

    def _schedule(self, delay_s: float) -> None:
        self._next_poll = self._clock.callLater(delay_s, self._poll_again)

    def _poll_again(self) -> None:
        if self.catalog is None:
            self._poll()
        else:
            self.poll_if_due()

    def _activate(self, catalog: Catalog, position: LogPosition) -> None:
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        before = self.version
        self.catalog = catalog
        self._metrics.config_version.set({}, catalog.version)
        self._log.note(
            Decision.CONFIG_IN_FORCE,
            version=catalog.version,
            before=before,
            fingerprint=catalog.fingerprint,
            era=position.era,
            offset=position.offset,
            routes=sum(map(len, catalog.routes_by_host.values())),
            keys=len(catalog.workspaces_by_key),
        )

    def _on_failure(self, failure: Failure) -> None:
        self._polling = False
        self._failed_at = self._boottime_seconds()
        self._metrics.log_failures.inc({"reader": "configuration"})
        if failure.check(LogGapError):
            self._reading.start_over(failure.getErrorMessage())
            self.confirmation.record_loss(self._failed_at)
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
        if failure.check(LogGapError):
            self._schedule(_GAP_RETRY_S)
        else:
            reads = self._duty.reads(self._clock.seconds())
            self._schedule(_RETRY_S if reads else _SHARED_RETRY_S)


__all__ = ["ConfigProof", "ConfigWatch"]
