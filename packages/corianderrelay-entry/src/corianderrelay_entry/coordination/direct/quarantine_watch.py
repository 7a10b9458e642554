"""Keeps quarantines in the platform's log and follows those of others.

A key is the fingerprint of a request or names a part of prompts.

The other entries usually learn of a quarantine by updates. The log tells entries that
start later, or that are cut off from the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Decision
from .dependency import Dependency
from .log_reading import LogReading
from .ports import LogGapError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping
    from random import Random

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.log_position import LogPosition
    from ...state.direct.quarantines import Quarantines
    from ...state.direct.store_news import ReadDuty
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .ports import QuarantineStore

_POLL_WAIT_S = 25.0  # a poll returns as soon as there is a change
_RETRY_S = 1.0
# Entries that learn of a change together write it at different times, so that the first
# one's record spares the others the call.
_WRITE_SPREAD_S = 2.0
_EXTENDED_S = 5.0  # a hold that ends so much later is stored again
# A record whose hold is over is removed so much later: its removal clears the key at
# entries that hold it still.
_REMOVE_AFTER_S = 10.0
_MAX_REMOVED = 1024  # bounds memory; the keys removed within the age of a copy


class QuarantineWatch:
    """Long-polls the stored quarantines, and stores or removes what differs here.

    :param wall_seconds: returns the time of day in Unix seconds.
    :param duty: whether this entry reads the log for others.
    :ivar loaded: whether the stored quarantines have been read.
    """

    def __init__(
        self,
        store: QuarantineStore,
        quarantines: Quarantines,
        clock: Clock,
        wall_seconds: Callable[[], float],
        random: Random,
        log: DecisionLog,
        metrics: DirectMetrics,
        duty: ReadDuty,
    ) -> None:
        self._duty = duty
        self._polling = False
        self._store = store
        self._quarantines = quarantines
        self._clock = clock
        self._wall_seconds = wall_seconds
        self._random = random
        self._log = log
        self._metrics = metrics
        self._reading = LogReading("quarantine", log, metrics)
        self.loaded = False
        self._dependency = Dependency("quarantine records", log)
        self._stored_ends_at_by_key: dict[str, float] = {}
        self._write_at_by_key: dict[str, float] = {}
        self._removed_keys: dict[str, None] = {}
        self._replaced = False
        self._open_read: Deferred[None] | None = None

    @property
    def position(self) -> LogPosition | None:
        """The position up to which records were read; ``None`` before."""
        return self._reading.position

    def poll_if_due(self) -> None:
        """Read if this entry reads for others."""
        if not self._polling and self._poll_is_due():
            self.start()

    def apply_news(self, news: LogPosition | None) -> None:
        """Read the records if another entry has read them up to another position."""
        position = self._reading.position
        if self._polling or news is None or news == position:
            return
        if position is None or news.era >= position.era:
            self.start()

    def check_newest(self) -> None:
        """Read all stored quarantines again, as another reader found the log replaced.

        A poll that is open may never end.
        """
        self._replaced = True
        self._reading.start_over("another reader found the log replaced")
        if self._open_read is not None:
            self._open_read.cancel()

    def start(self) -> None:
        """Read the stored quarantines, and then their changes."""
        self._polling = True
        position = self._reading.position
        if position is None:
            read = self._store.newest().addCallback(self._replace)
        else:
            wait_s = _POLL_WAIT_S if self._poll_is_due() else 0.0
            changes = self._store.follow(position, wait_s)
            read = changes.addCallback(self._on_followed)
        self._open_read = read
        read.addErrback(self._on_read_failed)

    def _poll_is_due(self) -> bool:
        return self.position is None or self._duty.reads(self._clock.seconds())

    def _poll_again(self) -> None:
        self._polling = False
        self.poll_if_due()

    def tick(self) -> None:
        """Write the quarantines that have begun or ended here to the log."""
        now = self._clock.seconds()
        left_s_by_key = self._quarantines.left_s_by_key(now)
        differing = set(self._differing_keys(left_s_by_key))
        for key in self._write_at_by_key.keys() - differing:
            del self._write_at_by_key[key]
        for key in differing:
            spread_s = self._random.uniform(0.0, _WRITE_SPREAD_S)
            write_at = self._write_at_by_key.setdefault(key, now + spread_s)
            if now >= write_at:
                self._write_at_by_key[key] = now + _WRITE_SPREAD_S
                self._write(key, left_s_by_key.get(key, 0.0))

    def _differing_keys(self, left_s_by_key: Mapping[str, float]) -> Iterator[str]:
        wall_s = self._wall_seconds()
        for key, left_s in left_s_by_key.items():
            stored_ends_at = self._stored_ends_at_by_key.get(key, float("-inf"))
            if wall_s + left_s > stored_ends_at + _EXTENDED_S:
                yield key
        for key, ends_at in self._stored_ends_at_by_key.items():
            over = not ends_at <= wall_s < ends_at + _REMOVE_AFTER_S
            if key not in left_s_by_key and over:
                yield key

    def _write(self, key: str, left_s: float) -> None:
        if left_s > 0.0:
            written = self._store.put(key, self._wall_seconds() + left_s)
        else:
            written = self._store.remove(key)
        # The record itself arrives by the next poll; a lost write is repeated.
        written.addErrback(self._on_write_failed)

    def _replace(self, answer: tuple[Mapping[str, float | None], LogPosition]) -> None:
        ends_at_by_key, position = answer
        restored = self._reading.advance(position) or self._replaced
        self._replaced = False
        self._stored_ends_at_by_key.clear()
        if restored:
            # Removals that the older copy lacks are written again by ``tick``.
            lifted = self._removed_keys.keys() & ends_at_by_key.keys()
            ends_at_by_key = dict(ends_at_by_key)
            for key in lifted:
                self._stored_ends_at_by_key[key] = ends_at_by_key.pop(key) or 0.0
        self._apply((ends_at_by_key, position))

    def _on_followed(
        self, answer: tuple[Mapping[str, float | None], LogPosition]
    ) -> None:
        self._apply(answer)
        if not answer[0]:
            # Finding nothing proves nothing: the log may have been replaced.
            self._replaced = True
            self._reading.position = None

    def _apply(self, answer: tuple[Mapping[str, float | None], LogPosition]) -> None:
        ends_at_by_key, position = answer
        self._reading.advance(position)
        self._dependency.mark_available()
        self.loaded = True
        for key, ends_at in ends_at_by_key.items():
            if ends_at is None:
                self._on_removed(key)
            else:
                self._on_stored(key, ends_at)
        self._clock.callLater(0.0, self._poll_again)

    def _on_stored(self, key: str, ends_at: float) -> None:
        now = self._clock.seconds()
        self._stored_ends_at_by_key[key] = ends_at
        self._removed_keys.pop(key, None)
        remaining_s = ends_at - self._wall_seconds()
        if remaining_s <= 0.0 or key in self._quarantines.left_s_by_key(now):
            return
        self._quarantines.hold(key, remaining_s, now)
        self._log.note(
            Decision.REQUEST_QUARANTINED,
            fingerprint=key,
            remaining_s=round(remaining_s, 1),
            reason="the log names it",
        )

    def _on_removed(self, key: str) -> None:
        now = self._clock.seconds()
        self._stored_ends_at_by_key.pop(key, None)
        if len(self._removed_keys) >= _MAX_REMOVED:
            del self._removed_keys[next(iter(self._removed_keys))]
        self._removed_keys[key] = None
        if key not in self._quarantines.left_s_by_key(now):
            return  # lifted here already; its records may still count
        if self._quarantines.clear(key, now):
            self._log.note(
                Decision.CRASHES_CLEARED,
                fingerprint=key,
                reason="its record was removed from the log",
            )

    def _on_read_failed(self, failure: Failure) -> None:
        self._metrics.log_failures.inc({"reader": "quarantine"})
        self._replaced = True
        self._reading.start_over(failure.getErrorMessage())
        if not failure.check(LogGapError):
            self._dependency.mark_unavailable(reason=failure.getErrorMessage())
        self._clock.callLater(_RETRY_S, self._poll_again)

    def _on_write_failed(self, failure: Failure) -> None:
        self._metrics.log_failures.inc({"reader": "quarantine"})
        self._dependency.mark_unavailable(reason=failure.getErrorMessage())


__all__ = ["QuarantineWatch"]
