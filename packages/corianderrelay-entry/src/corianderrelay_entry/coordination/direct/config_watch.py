"""Polls the configuration log and tracks how stale the active configuration is.

Only the newest record proves that the active configuration is the newest. A read that
finds nothing proves nothing, as the log may have been restored from an older copy
without telling, so the newest record is read again after it, and after a failed call.

A log that was restored may lack the newest version. An entry to which others tell a
version that it cannot read does not count its own as confirmed.

An entry that does not read for others polls only if another entry tells of a newer
configuration, or if the last confirmation is too old.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from corianderrelay.state.errors import LogUnavailableError

from ...state.direct.config_freshness import ConfigFreshness
from ...state.direct.config_history import ConfigHistory, Verdict
from ...state.direct.config_periods import ConfigPeriods
from ...state.direct.evacuations import Evacuations
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
    from ...state.direct.settings import DirectBounds
    from ...state.direct.store_news import ReadDuty
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import ConfigAnswer, ConfigSource

_RETRY_S = 0.25  # several retries must fit into the seconds that keys stay trusted
# Another entry of the zone retries sooner and tells when the log is back.
_SHARED_RETRY_S = 0.6
_GAP_RETRY_S = 0.05  # the log answers, so reading can go on at once
# Time between two reads for a version that others know and the log does not have.
_BEHIND_RETRY_S = 0.5
# Records behind the newest ones are waited for so long: they may be deletions of other
# keys, which are dropped and never read.
_MAX_LAG_S = 5.0
# Operators write versions that a restore has lost again within seconds.
_MAX_UNCERTAIN_S = 8.0
_MAX_LOGGED_FAULTS = 8  # bounds a log line


class ConfigProof(Enum):
    """What confirmed last that the active configuration is the newest."""

    NONE = "none"
    RECORD_READ = "its record was read as the last of the log"
    NEWEST_RECORD = "the newest record was read again"
    OTHER_ENTRY = "another entry is at the same position"


class _Doubt(Enum):
    """Why the active configuration is known not to be the newest, or may not be."""

    NONE = "none"
    UNREADABLE = "the newest version cannot be read"
    UNREAD = "the newest records lag behind the end of the log"
    UNCERTAIN = "the newest version may have been written later under a lower number"


class ConfigWatch:
    """Long-polls the configuration log and activates newer versions.

    :param boottime_seconds: returns seconds of a clock that includes suspended time.
    :param duty: whether this entry reads the log for others.
    :param others_heard: returns whether other entries had time to tell their versions.
    :param on_restored: called when the log was restored from an older copy.
    """

    def __init__(
        self,
        source: ConfigSource,
        clock: Clock,
        boottime_seconds: Callable[[], float],
        bounds: DirectBounds,
        log: DecisionLog,
        metrics: DirectMetrics,
        duty: ReadDuty,
        others_heard: Callable[[], bool],
        on_restored: Callable[[], None],
    ) -> None:
        self._duty = duty
        self._others_heard = others_heard
        self._on_restored = on_restored
        self._known_by_others = (0, 0)
        self._polled_at = float("-inf")
        self._source = source
        self._clock = clock
        self._boottime_seconds = boottime_seconds
        self._log = log
        self._metrics = metrics
        self._freshness = ConfigFreshness(bounds.revoke_s)
        self._periods = ConfigPeriods(
            bounds.revoke_s, bounds.apply_s, bounds.evacuate_s
        )
        self.confirmation = Confirmation(self._periods.max_age_s)
        self._reading = LogReading("configuration", log, metrics)
        self._history = ConfigHistory()
        self.evacuations = Evacuations()
        self._polling = False
        self._next_poll: DelayedCall | None = None
        self._failed_at = float("-inf")
        self._trusted = False
        self._usable = False
        self._dependency = Dependency("configuration log", log)
        self._proof = ConfigProof.NONE
        self._doubt = _Doubt.NONE
        # Since when records behind the newest ones could not be read.
        self._lags_since: float | None = None
        self._skipped: tuple[LogPosition, int] | None = None
        # When the newest records were read, while later records are still to be read.
        self._newest_read_at: float | None = None
        # Whether the last read was of the newest record.
        self._proven = False
        self._unreadable_mark = ""
        # The document of an uncertain version, and when it was first read.
        self._uncertain: tuple[str, float] | None = None
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
    def failing(self) -> bool:
        """Whether the last read of the log failed."""
        return not self._dependency.available

    @property
    def era(self) -> int | None:
        """The era of the log at the last read; ``None`` before."""
        return None if self.position is None else self.position.era

    def evidence(self) -> dict[str, object]:
        """Return what a log line needs to show why this version was used."""
        position = self.position
        return {
            "version": self.version,
            "generation": self._history.generation,
            "fingerprint": None if self.catalog is None else self.catalog.fingerprint,
            "era": self.era,
            "offset": None if position is None else position.offset,
            "proof": self._proof.value,
            "proof_age_s": round(self.age_s, 3),
            "doubt": self._doubt.value,
        }

    @property
    def version(self) -> int | None:
        """The active version; ``None`` before the first one is loaded."""
        return None if self.catalog is None else self.catalog.version

    @property
    def generation(self) -> int:
        """How often a version has replaced one of the same number or a higher one."""
        return self._history.generation

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

    def check_newest(self) -> None:
        """Read the newest record soon, as another reader found the log replaced."""
        self._proven = False
        if not self._polling:
            self._poll_now()

    @property
    def usable(self) -> bool:
        """Whether requests may be validated against the active configuration.

        An entry that starts may read an older version than others have from a restored
        log, so it waits until it has heard them.
        """
        if not self._usable and self.catalog is not None:
            heard = self._others_heard() and not self.behind
            self._usable = heard and self.evacuations.loaded
        return self._usable

    @property
    def behind(self) -> bool:
        """Whether another entry has a newer configuration."""
        return self._known_by_others > self._history.order

    @property
    def is_final(self) -> bool:
        """Whether a request that this configuration does not allow is refused for good.

        If not, a newer configuration may allow it.
        """
        in_time = self.age_s <= self._periods.apply_s
        return in_time and not self.behind and self._doubt is _Doubt.NONE

    @property
    def overtaken(self) -> bool:
        """Whether records that were not read may have changed any route long ago."""
        unknown = self._doubt in (_Doubt.UNREAD, _Doubt.UNCERTAIN)
        return unknown and self.age_s > self._periods.wait_s

    def learn_version(self, generation: int, version: int) -> None:
        """Record a version that is active at another entry, and look for it."""
        order = generation, version
        self._history.adopt_generation(order)
        is_news = order > self._known_by_others
        if is_news:
            self._known_by_others = order
        if not self.behind or self._polling or not (is_news or self._may_look_again()):
            return
        self._proven = self._proven and is_news
        self._poll_now()

    def read_further(self) -> None:
        """Read soon, as another entry has read further in the log."""
        if not self._polling and self._may_look_again():
            self._poll_now()

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

    def _poll_now(self) -> None:
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()
        self._poll()

    def _poll(self) -> None:
        self._polling = True
        self._polled_at = self._clock.seconds()
        requested_at = self._boottime_seconds()
        position = self._reading.position
        reads_on = self._newest_read_at is not None
        if position is None or not (self._proven or reads_on):
            answer = self._source.newest()
            answer.addCallback(self._on_newest, requested_at)
        else:
            # A poll that waits confirms what was current when it was sent, so the other
            # entries would get old news.
            waits = not self._duty.shared and not reads_on
            wait_s = self._periods.wait_s if waits else 0.0
            answer = self._source.follow(position, wait_s)
            answer.addCallback(self._on_followed, requested_at)
        answer.addErrback(self._on_failure)

    def _confirm(self, confirmed_at: float, proof: ConfigProof) -> None:
        if self.behind or self._doubt is not _Doubt.NONE:
            return  # the log has lost the newest version, or it is not read yet
        self._proof = proof
        self.confirmation.record(confirmed_at)
        self._freshness.record_confirmation(confirmed_at)
        if confirmed_at > self._failed_at:
            self._dependency.mark_available()

    def _on_newest(self, answer: ConfigAnswer, requested_at: float) -> None:
        replaced = self._reading.is_replaced(
            answer.position, answer.end, answer.record_offset
        )
        position = self._reading.position
        follows = (
            not replaced
            and position is not None
            and position.offset == answer.record_offset
        )
        if not answer.whole and self._may_skip(answer):
            answer.skip_to_end()
        restored = self._advance(answer)
        self.evacuations.on_newest(
            answer.evacuations,
            answer.position,
            answer.end,
            self._clock.seconds(),
            whole=answer.whole,
            restored=restored or replaced,
        )
        self._take(answer, in_sequence=follows)
        self._proven = answer.whole
        if answer.whole:
            self._lags_since = None
        else:
            self._newest_read_at = requested_at
            if self._lags_since is None:
                self._lags_since = self._clock.seconds()
        self._end_read(answer, requested_at, ConfigProof.NEWEST_RECORD)
        if answer.whole and not self.behind:
            self.confirmation.record_all_read(requested_at)
        if restored or replaced:
            self._on_restored()

    def _on_followed(self, answer: ConfigAnswer, requested_at: float) -> None:
        newest_read_at, self._newest_read_at = self._newest_read_at, None
        restored = self._advance(answer)
        self.evacuations.on_followed(
            answer.evacuations,
            answer.position,
            self._clock.seconds(),
            whole=answer.whole,
        )
        self._take(answer, in_sequence=True)
        found = answer.record_offset is not None
        proven_at = requested_at if found else newest_read_at
        if not answer.whole:
            self._newest_read_at = proven_at
            self._schedule(_GAP_RETRY_S)
        elif proven_at is not None:
            self._lags_since = None
            self._proven = True
            proof = ConfigProof.RECORD_READ if found else ConfigProof.NEWEST_RECORD
            self._end_read(answer, proven_at, proof)
        else:
            self._proven = False
            self._poll()
        if restored:
            self._on_restored()

    def _advance(self, answer: ConfigAnswer) -> bool:
        self._polling = False
        self._dependency.mark_available()
        return self._reading.advance(answer.position)

    def _take(self, answer: ConfigAnswer, *, in_sequence: bool) -> None:
        """Activate the last configuration that replaces the active one."""
        activated, verdict = None, None
        for offset, catalog in answer.catalogs_by_offset.items():
            verdict = self._history.judge(
                catalog, offset, self._known_by_others, in_sequence=in_sequence
            )
            if verdict is Verdict.UNCERTAIN and self._is_accepted(catalog):
                self._history.accept(catalog, offset)
                verdict = Verdict.REPLACES
            if verdict is Verdict.REPLACES:
                activated = catalog
        if answer.fault:
            self._note_unreadable(answer)
        elif verdict is not None and self._doubt is not _Doubt.UNREAD:
            uncertain = verdict is Verdict.UNCERTAIN
            self._doubt = _Doubt.UNCERTAIN if uncertain else _Doubt.NONE
            if self.catalog is not None:
                self._metrics.config_unreadable.set({}, len(self.catalog.unreadable))
        if activated is not None:
            self._activate(activated, answer.position)

    def _is_accepted(self, catalog: Catalog) -> bool:
        """Return whether a version is still the newest long after it was first read."""
        now = self._clock.seconds()
        if self._uncertain is None or self._uncertain[0] != catalog.fingerprint:
            self._uncertain = catalog.fingerprint, now
        return now - self._uncertain[1] > _MAX_UNCERTAIN_S

    def _may_skip(self, answer: ConfigAnswer) -> bool:
        """Return whether records that cannot be read are deletions of other keys."""
        seen = answer.position, answer.end
        if seen == self._skipped:
            return True
        now, since = self._clock.seconds(), self._lags_since
        if since is None or now - since <= _MAX_LAG_S:
            return False
        self._skipped = seen
        return True

    def _end_read(
        self, answer: ConfigAnswer, requested_at: float, proof: ConfigProof
    ) -> None:
        if self._lags_since is not None:
            self._doubt = _Doubt.UNREAD
        elif self._doubt is _Doubt.UNREAD:
            self._doubt = _Doubt.NONE
        if self.behind:
            self._log.note(
                Decision.CONFIG_BEHIND,
                version=self.version,
                version_of_others=self._known_by_others[1],
                era=answer.position.era,
                offset=answer.position.offset,
            )
        self._confirm(requested_at, proof)
        self._schedule_next()

    def _schedule_next(self) -> None:
        if self.catalog is None:
            # Polls can return at once: wait to avoid a busy loop.
            self._schedule(_RETRY_S)
        elif self._newest_read_at is not None:
            self._schedule(0.0)
        elif self._duty.reads(self._clock.seconds()):
            if self._duty.shared:
                self._proven = False
            self._schedule(self._periods.shared_period_s if self._duty.shared else 0.0)

    def _schedule(self, delay_s: float) -> None:
        self._next_poll = self._clock.callLater(delay_s, self._poll_again)

    def _poll_again(self) -> None:
        if self._polling:
            return
        if self.catalog is None or self._newest_read_at is not None:
            self._poll()
        else:
            self.poll_if_due()

    def _activate(self, catalog: Catalog, position: LogPosition) -> None:
        before = self.version
        self.catalog = catalog
        self._metrics.config_version.set({}, catalog.version)
        self._metrics.config_unreadable.set({}, len(catalog.unreadable))
        self._log.note(
            Decision.CONFIG_IN_FORCE,
            version=catalog.version,
            before=before,
            generation=self._history.generation,
            fingerprint=catalog.fingerprint,
            era=position.era,
            offset=position.offset,
            routes=sum(map(len, catalog.routes_by_host.values())),
            keys=len(catalog.workspaces_by_key),
        )
        if catalog.unreadable:
            self._log.note(
                Decision.CONFIG_UNREADABLE,
                version=catalog.version,
                parts=len(catalog.unreadable),
                faults=catalog.unreadable[:_MAX_LOGGED_FAULTS],
                remedy="publish a version in which these parts are valid",
            )

    def _note_unreadable(self, answer: ConfigAnswer) -> None:
        """Doubt the active version, as the newest one cannot be read at all."""
        self._doubt = _Doubt.UNREADABLE
        if answer.position.mark == self._unreadable_mark:
            return
        self._unreadable_mark = answer.position.mark
        self._metrics.config_unreadable.set({}, 1)
        self._log.note(
            Decision.CONFIG_UNREADABLE,
            version=None,
            active_version=self.version,
            offset=answer.record_offset,
            faults=[answer.fault],
            remedy="publish a valid document; keys are refused soon",
        )

    def _on_failure(self, failure: Failure) -> None:
        self._polling = False
        self._proven = False
        self._newest_read_at = None
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
        if failure.check(LogGapError) and self._lags_since is None:
            self._schedule(_GAP_RETRY_S)
        else:
            reads = self._duty.reads(self._clock.seconds())
            self._schedule(_RETRY_S if reads else _SHARED_RETRY_S)


__all__ = ["ConfigProof", "ConfigWatch"]
