"""Zones that operators have evacuated, from the log and from other entries.

A missing record does not show that an evacuation was cancelled: the log may have been
restored from a copy that lacks the record. A zone stays evacuated until its deletion is
read, or until all newest records have lacked it for several seconds, in which operators
write lost records again. Deletions that an older copy still holds are ignored.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .peer_news import EvacuatedZones

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .log_position import LogPosition

# Operators write records that a restore has lost again within seconds.
_KEPT_S = 8.0
# Zones that only others know are kept for several updates of a relay.
_TOLD_KEPT_S = 4.0
# Another entry may still keep a zone that has ended here.
_ENDED_KEPT_S = 30.0
# Of a zone whose record was missing: others find that later, so only a record counts.
_ONLY_BY_RECORD = (math.inf, math.inf)
_MAX_FAULTS = 256  # bounds memory
_FIRST_RETRY_S = 0.5
_MAX_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """An operators' record of one zone.

    :param zone: empty if the key names no zone.
    :param evacuated: whether the record exists; false if it was deleted.
    :param fault: what cannot be read of it; empty if nothing.
    """

    key: str
    offset: int
    zone: str
    evacuated: bool
    fault: str = ""


class Evacuations:
    """The zones that must not get requests.

    Times are monotonic seconds.

    :ivar loaded: whether all newest records have been read.
    :ivar faults_by_key: records that cannot be read, and why.
    """

    __slots__ = (
        "loaded",
        "faults_by_key",
        "_active",
        "_position",
        "_era_since",
        "_restored_end",
        "_known_at_by_zone",
        "_drop_at_by_zone",
        "_told_until_by_zone",
        "_ended_at_by_zone",
        "_present",
    )

    def __init__(self) -> None:
        self.loaded = False
        self.faults_by_key: dict[str, str] = {}
        # Whether any record of an evacuation was ever read or told.
        self._active = False
        self._position: tuple[int, int] | None = None
        self._era_since = float("-inf")
        # Offset from which records were written after the latest restore or first read.
        self._restored_end = 0
        # Era and offset after the record, or of the entry that told of it.
        self._known_at_by_zone: dict[str, tuple[int, int]] = {}
        self._drop_at_by_zone: dict[str, float] = {}
        self._told_until_by_zone: dict[str, float] = {}
        # When a zone has ended, and era and offset from which on others count again.
        self._ended_at_by_zone: dict[str, tuple[float, tuple[float, float]]] = {}
        # Zones in a read of all newest records that has not reached the end yet.
        self._present: set[str] | None = None

    @property
    def active(self) -> bool:
        """Whether any evacuation was ever read or told."""
        return self._active

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self._known_at_by_zone) | frozenset(self._told_until_by_zone)

    def on_newest(
        self,
        records: Iterable[EvacuationRecord],
        position: LogPosition,
        end: int,
        now: float,
        *,
        whole: bool,
        restored: bool,
    ) -> None:
        """Apply all newest records.

        :param end: offset of the end of the log.
        :param whole: whether no record is still to be read.
        :param restored: whether the log was restored since the last read.
        """
        records = list(records)
        if self._position is None or self._position[0] != position.era:
            self._era_since = now
        # Before the first read, the log may have been restored, too.
        if restored or self._position is None:
            self._restored_end = end
        if restored:
            self._drop_at_by_zone = dict.fromkeys(self._drop_at_by_zone, now + _KEPT_S)
        self._present = set()
        present = {record.key for record in records}
        self.faults_by_key = {
            key: fault for key, fault in self.faults_by_key.items() if key in present
        }
        self._read(records, position, now)
        if whole:
            self._end_read(now)

    def on_followed(
        self,
        records: Iterable[EvacuationRecord],
        position: LogPosition,
        now: float,
        *,
        whole: bool,
    ) -> None:
        """Apply the records that follow those that were read before."""
        self._read(records, position, now)
        if whole and self._present is not None:
            self._end_read(now)

    def on_told(self, told: EvacuatedZones, now: float) -> bool:
        """Apply what another entry tells; return whether it has read further."""
        own, told_at = self._position, (told.era, told.offset)
        self._active = True
        zones = [zone for zone in told.zones if zone not in self._ended_at_by_zone]
        for zone in set(told.zones).difference(zones):
            # Evacuated again; the record itself is read soon, if the log can be read.
            if told_at > self._ended_at_by_zone[zone][1]:
                self._told_until_by_zone[zone] = now + _TOLD_KEPT_S
        if own is None or told_at > own:
            for zone in zones:
                known_at = self._known_at_by_zone.get(zone, told_at)
                self._known_at_by_zone[zone] = max(known_at, told_at)
            # Offsets of a log without eras may be those of an older history.
            if own is not None and told.era == own[0] and told.era > 0:
                self._end_told(told, now)
            return True
        # An entry that started after a restore learns what the others still keep.
        older_era = told.era < own[0] and now - self._era_since <= _KEPT_S
        if told_at == own or older_era:
            for zone in zones:
                if zone not in self._known_at_by_zone:
                    self._told_until_by_zone[zone] = now + _TOLD_KEPT_S
        return False

    def expire(self, now: float, confirmed_at: float) -> None:
        """End the evacuations whose records have been lacking for long enough.

        :param confirmed_at: when what was read was last known to be the newest.
        """
        self._drop_due(now, confirmed_at)
        for zone, (ended_at, _) in list(self._ended_at_by_zone.items()):
            if now - ended_at > _ENDED_KEPT_S:
                del self._ended_at_by_zone[zone]
        if self._told_until_by_zone:
            self._told_until_by_zone = {
                zone: until
                for zone, until in self._told_until_by_zone.items()
                if now < until
            }

    def shared(self) -> EvacuatedZones | None:
        """Return what the other entries should know; ``None`` if there is nothing."""
        if not self._active or not self.loaded or self._position is None:
            return None
        return EvacuatedZones(*self._position, tuple(sorted(self._known_at_by_zone)))

    def _read(
        self, records: Iterable[EvacuationRecord], position: LogPosition, now: float
    ) -> None:
        for record in records:
            self._note_fault(record)
            if not record.zone:
                continue
            if record.evacuated:
                self._active = True
                self._known_at_by_zone[record.zone] = (position.era, record.offset + 1)
                self._drop_at_by_zone.pop(record.zone, None)
                self._ended_at_by_zone.pop(record.zone, None)
                if self._present is not None:
                    self._present.add(record.zone)
            else:
                self._on_deleted(record, position.era, now)
        self._position = (position.era, position.offset)

    def _on_deleted(self, record: EvacuationRecord, era: int, now: float) -> None:
        if self._present is not None:
            self._present.discard(record.zone)
        known_era, known_offset = self._known_at_by_zone.get(record.zone, (era, 0))
        newer = (
            record.offset >= known_offset
            if era == known_era
            else era > known_era and record.offset >= self._restored_end
        )
        if newer:
            self._end(record.zone, (era, record.offset + 1), now)

    def _note_fault(self, record: EvacuationRecord) -> None:
        if not record.evacuated or not record.fault:
            self.faults_by_key.pop(record.key, None)
        elif len(self.faults_by_key) < _MAX_FAULTS:
            self.faults_by_key[record.key] = record.fault

    def _end_read(self, now: float) -> None:
        self.loaded = True
        present, self._present = self._present or set(), None
        for zone in self._known_at_by_zone:
            if zone in present:
                self._drop_at_by_zone.pop(zone, None)
            elif not self._is_unread(zone):
                self._drop_at_by_zone.setdefault(zone, now + _KEPT_S)
        self._drop_due(now, now)

    def _is_unread(self, zone: str) -> bool:
        """Whether another entry told of the zone from further on in this era."""
        known_at, own = self._known_at_by_zone[zone], self._position
        return own is not None and known_at[0] == own[0] and known_at > own

    def _drop_due(self, now: float, confirmed_at: float) -> None:
        due = [
            zone
            for zone, drop_at in self._drop_at_by_zone.items()
            if confirmed_at >= drop_at and not self._is_unread(zone)
        ]
        for zone in due:
            self._end(zone, _ONLY_BY_RECORD, now)

    def _end_told(self, told: EvacuatedZones, now: float) -> None:
        """End the evacuations that an entry at a later position does not know.

        A zone whose record this entry has found missing is kept as after a restore.
        """
        told_at = (told.era, told.offset)
        ended = [
            zone
            for zone, known_at in self._known_at_by_zone.items()
            if zone not in told.zones
            and zone not in self._drop_at_by_zone
            and known_at < told_at
        ]
        for zone in ended:
            self._end(zone, told_at, now)

    def _end(self, zone: str, position: tuple[float, float], now: float) -> None:
        if zone in self._known_at_by_zone or zone in self._told_until_by_zone:
            self._ended_at_by_zone[zone] = now, position
        self._known_at_by_zone.pop(zone, None)
        self._drop_at_by_zone.pop(zone, None)
        self._told_until_by_zone.pop(zone, None)


def evacuated_retry_after_s(evacuated_s: float) -> float:
    """Return the seconds after which a caller should retry.

    :param evacuated_s: seconds since the last runner was evacuated.
    """
    delay_s = _FIRST_RETRY_S
    while delay_s < _MAX_RETRY_S and evacuated_s >= delay_s:
        delay_s *= 2.0
    return delay_s


__all__ = ["EvacuationRecord", "Evacuations", "evacuated_retry_after_s"]
