"""Applies the evacuations of zones to the runner list, and tells the other entries.

An entry that was suspended does not know what was evacuated meanwhile. It sends nothing
until it has read the log again, or has heard the others for a while, as the log itself
may be away. So does an entry that reaches neither the log nor another entry, once any
zone has ever been evacuated.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.evacuations import evacuated_retry_after_s
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.peer_news import EvacuatedZones
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from .config_watch import ConfigWatch
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics

_SUSPENDED_S = 1.0  # between two ticks, which come every 0.05 s
# Updates that wait in the socket's buffer are older than this after a suspension.
_HEARD_AGAIN_S = 2.0
_MARGIN_S = 0.5  # time to forward a request, within the bound
_MAX_NOTED = 256  # bounds memory
_UNKNOWN_ZONE = "no runner is or was in this zone"
_REMEDY = "write the key evacuate/ZONE with the value {}, or delete this key"


class EvacuationWatch:
    """Decides which runners may get requests by their zones.

    :param evacuate_s: seconds within which an evacuated zone gets no requests.
    :param runners_loaded: returns whether all runners' records were read.
    :param boottime_seconds: returns seconds of a clock that includes suspended time.
    :param on_changed: called when the evacuated zones have changed.
    """

    def __init__(
        self,
        config: ConfigWatch,
        runners: RunnerList,
        peers: EntryPeers,
        evacuate_s: float,
        runners_loaded: Callable[[], bool],
        clock: Clock,
        boottime_seconds: Callable[[], float],
        log: DecisionLog,
        metrics: DirectMetrics,
        on_changed: Callable[[], None],
    ) -> None:
        self._config = config
        self._runners = runners
        self._peers = peers
        self._max_age_s = evacuate_s - min(_MARGIN_S, evacuate_s / 2)
        self._runners_loaded = runners_loaded
        self._clock = clock
        self._boottime_seconds = boottime_seconds
        self._log = log
        self._metrics = metrics
        self._on_changed = on_changed
        self._zones: frozenset[str] = frozenset()
        self._changed_at = float("-inf")
        self._ticked_at = boottime_seconds()
        self._woken_at: float | None = None
        self._noted: dict[tuple[str, str], None] = {}

    def tick(self) -> None:
        """Apply what was read, and log records that have no effect."""
        self._note_suspension()
        now = self._clock.seconds()
        confirmed_s_ago = (
            self._boottime_seconds() - self._config.confirmation.confirmed_at
        )
        self._config.evacuations.expire(now, now - confirmed_s_ago)
        self._apply(now)
        self._log_faults()

    def receive(self, told: EvacuatedZones | None) -> None:
        """Apply what another entry tells; ``None`` if it tells nothing."""
        if told is None:
            return
        now = self._clock.seconds()
        if self._config.evacuations.on_told(told, now):
            self._config.read_further()
        self._apply(now)

    def shared(self) -> EvacuatedZones | None:
        """Return what the other entries should know; ``None`` if there is nothing."""
        return self._config.evacuations.shared()

    def knows(self) -> bool:
        """Whether this entry would know of an evacuation that must be in force."""
        self._note_suspension()
        boottime = self._boottime_seconds()
        confirmation = self._config.confirmation
        if self._woken_at is not None:
            heard_since = boottime - self._woken_at >= _HEARD_AGAIN_S
            if confirmation.confirmed_at >= self._woken_at or (
                heard_since and self._hears_others()
            ):
                self._woken_at = None
        if boottime - confirmation.confirmed_at <= self._max_age_s:
            return True
        if self._woken_at is not None:
            return False
        return not self._config.evacuations.active or self._hears_others()

    def may_send(self, runner: RegisteredRunner) -> bool:
        """Whether a runner that was picked may still get a request."""
        return not self._runners.is_evacuated(runner) and self.knows()

    def retry_after_s(self, service: str, now: float) -> float:
        """Return the shortest wait if all the service's runners are evacuated.

        :return: seconds; 0 if there is a usable runner, or none at all.
        """
        if self._runners.usable(service) or not self._runners.present(service):
            return 0.0
        return evacuated_retry_after_s(now - self._changed_at)

    def _hears_others(self) -> bool:
        now = self._clock.seconds()
        # A single late update of a loaded peer must not stop this entry.
        return bool(self._peers.alive(now)) or self._peers.sharing_entries(now) == 1

    def _note_suspension(self) -> None:
        boottime = self._boottime_seconds()
        if boottime - self._ticked_at > _SUSPENDED_S:
            self._woken_at = boottime
        self._ticked_at = boottime

    def _apply(self, now: float) -> None:
        zones, before = self._config.evacuations.zones, self._zones
        if zones == before:
            return
        self._zones, self._changed_at = zones, now
        self._runners.set_evacuated(zones)
        position = self._config.position
        for zone in sorted(zones ^ before):
            self._log.note(
                Decision.ZONE_EVACUATED if zone in zones else Decision.ZONE_IN_USE,
                zone=zone,
                era=None if position is None else position.era,
                offset=None if position is None else position.offset,
                runners=sum(each.zone == zone for each in self._runners.all()),
            )
        self._metrics.evacuated_zones.set({}, len(zones))
        self._on_changed()

    def _log_faults(self) -> None:
        faults = dict(self._config.evacuations.faults_by_key)
        if self._runners_loaded():
            unknown = self._zones - self._runners.known_zones
            faults.update((zone, _UNKNOWN_ZONE) for zone in unknown)
        if not faults and not self._noted:
            return
        # A fault that comes back is logged again.
        current = set(faults.items())
        self._noted = {each: None for each in self._noted if each in current}
        for record, fault in faults.items():
            if (record, fault) in self._noted or len(self._noted) >= _MAX_NOTED:
                continue
            self._noted[(record, fault)] = None
            self._metrics.evacuation_faults.inc({})
            self._log.note(
                Decision.ZONE_FAULTY, record=record, fault=fault, remedy=_REMEDY
            )


__all__ = ["EvacuationWatch"]
