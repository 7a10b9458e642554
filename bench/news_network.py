"""Virtual clocks, datagrams and store for the model of news among entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from corianderrelay.state.errors import LogUnavailableError
from corianderrelay_entry.coordination.direct.ports import ConfigAnswer, LogGapError
from corianderrelay_entry.state.direct.catalog import Catalog
from corianderrelay_entry.state.direct.log_position import LogPosition
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner

_IN_ZONE_S = 0.0001
_BETWEEN_ZONES_S = 0.0005
_STORE_S = 0.004
_DATAGRAM_OVERHEAD_BYTES = 28  # IP and UDP headers

Address = tuple[str, int]


class EntryClock:
    """The clock and timers of one entry, which can be suspended."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspended_s = 0.0
        self.suspended_until = 0.0
        self.stopped = False

    def seconds(self) -> float:
        """Return seconds without suspended time."""
        return float(self._clock.seconds()) - self._suspended_s

    def boottime(self) -> float:
        """Return seconds with suspended time."""
        return float(self._clock.seconds())

    def suspend(self, duration_s: float) -> None:
        """Stop timers, and the clock without suspended time, for a while."""
        self.suspended_until = self._clock.seconds() + duration_s
        self._suspended_s += duration_s

    def callLater(self, delay_s: float, call: Callable[..., Any], *args: Any) -> Any:
        """Call a function after a delay, or later if the entry is suspended then."""
        return self._clock.callLater(delay_s, self.run_awake, call, *args)

    def run_awake(self, call: Callable[..., Any], *args: Any) -> None:
        """Call a function now, or as soon as the entry is awake."""
        left_s = self.suspended_until - self._clock.seconds()
        if self.stopped:
            return
        if left_s > 0.0:
            self._clock.callLater(left_s, self.run_awake, call, *args)
        else:
            call(*args)


class Network:
    """Delivers datagrams, with loss and cuts, and counts them.

    :ivar cut_hosts: hosts that neither send nor receive.
    :ivar bytes_by_path: bytes sent ``in zone`` and ``between zones``.
    """

    def __init__(self, clock: Clock, random: Random, loss: float) -> None:
        self._clock = clock
        self._random = random
        self._loss = loss
        self._receivers_by_host: dict[str, tuple[str, EntryClock, Any]] = {}
        self.cut_hosts: set[str] = set()
        self.bytes_by_path: Counter[str] = Counter()
        self.datagrams = 0

    def attach(self, host: str, zone: str, clock: EntryClock, receive: Any) -> None:
        """Connect an entry; ``receive`` takes a datagram and its sender's address."""
        self._receivers_by_host[host] = (zone, clock, receive)

    def send(self, sender: str, zone: str, datagram: bytes, target: Address) -> None:
        """Send a datagram; it is lost if either end is cut off or gone."""
        self.datagrams += 1
        receiver = self._receivers_by_host.get(target[0])
        in_zone = receiver is not None and receiver[0] == zone
        path = "in zone" if in_zone else "between zones"
        self.bytes_by_path[path] += len(datagram) + _DATAGRAM_OVERHEAD_BYTES
        cut = sender in self.cut_hosts or target[0] in self.cut_hosts
        if receiver is None or cut or self._random.random() < self._loss:
            return
        _, clock, receive = receiver
        delay_s = _IN_ZONE_S if in_zone else _BETWEEN_ZONES_S
        self._clock.callLater(delay_s, clock.run_awake, receive, datagram, (sender, 1))


@dataclass(frozen=True, slots=True)
class Version:
    """A configuration; two of the same number may be different documents.

    Number 0 stands for a record of another key.
    """

    version: int
    content: str = ""

    @property
    def document(self) -> str:
        """The digest of the document."""
        return f"{self.version}{self.content}"


class Store:
    """The platform's log as entries see it, with a count of their calls.

    :ivar refused_hosts: hosts whose calls fail.
    :ivar states_era: whether a restore raises the era.
    :ivar calls_by_kind: calls by what they read or wrote.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.era = 1
        self.states_era = True
        # Kept, so that no later record gets the identity of a lost one.
        self._lost_records: list[tuple[str, RegisteredRunner | None]] = []
        self.versions: list[Version] = [Version(1)]
        self.runner_records: list[tuple[str, RegisteredRunner | None]] = []
        self.first_runner_offset = 0
        self.addresses_by_id: dict[str, Address] = {}
        self.refused_hosts: set[str] = set()
        self._down = False
        self.outages = 0
        self.calls_by_kind: Counter[str] = Counter()

    @property
    def down(self) -> bool:
        """Whether the log answers nobody."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        self.outages += down and not self._down
        self._down = down

    def restore(self, versions: int, runner_records: int) -> None:
        """Drop all records but the first ones of each kind, and begin a new era."""
        del self.versions[versions:]
        self._lost_records += self.runner_records[runner_records:]
        del self.runner_records[runner_records:]
        if self.states_era:
            self.era += 1

    def runner_mark(self, offset: int) -> str:
        """Return the mark of the record before an offset."""
        return str(id(self.runner_records[offset - 1])) if offset else ""

    def call(
        self, host: str, kind: str, read: Callable[[], Any], wait_s: float
    ) -> Deferred[Any]:
        """Run one call of an entry after the store's latency."""
        self.calls_by_kind[kind] += 1
        answer: Deferred[Any] = Deferred()
        self._clock.callLater(
            _STORE_S + wait_s, self._finish, answer, host, read, self.outages
        )
        return answer

    def _finish(
        self,
        answer: Deferred[Any],
        host: str,
        read: Callable[[], Any],
        outages: int,
    ) -> None:
        # A store that is away does not answer the calls that were open.
        if self.down or self.outages != outages or host in self.refused_hosts:
            answer.errback(LogUnavailableError("the store is down", "wait for it"))
            return
        try:
            answer.callback(read())
        except LogGapError as error:
            answer.errback(error)


class EntryStore:
    """Implements the four interfaces to the platform's log for one entry."""

    def __init__(self, store: Store, host: str, clock: EntryClock) -> None:
        self._store = store
        self._host = host
        self._clock = clock
        self.config = _Config(self)
        self.runners = _Runners(self)
        self.quarantine = _Quarantine(self)

    def call(
        self, kind: str, read: Callable[[Store], Any], wait_s: float = 0.0
    ) -> Deferred[Any]:
        """Run a call; its answer waits while the entry is suspended."""
        delivered: Deferred[Any] = Deferred()
        answer = self._store.call(self._host, kind, lambda: read(self._store), wait_s)
        answer.addCallbacks(
            lambda result: self._clock.run_awake(delivered.callback, result),
            lambda failure: self._clock.run_awake(delivered.errback, failure),
        )
        return delivered

    def register(self, entry_id: str, host: str, port: int) -> Deferred[None]:
        """Store the address of an entry."""

        def write(store: Store) -> None:
            store.addresses_by_id[entry_id] = (host, port)

        return self.call("entries", write)

    def registered_entries(self) -> Deferred[dict[str, Address]]:
        """Return the addresses of all entries."""
        return self.call("entries", lambda store: dict(store.addresses_by_id))


class _Config:
    def __init__(self, entry_store: EntryStore) -> None:
        self._store = entry_store

    def newest(self) -> Deferred[ConfigAnswer]:
        return self._store.call("configuration", lambda store: _read(store, 0, ""))

    def follow(self, position: LogPosition, wait_s: float) -> Deferred[ConfigAnswer]:
        # A poll that waits and finds nothing ends late, and is answered as of its end.
        return self._store.call(
            "configuration", lambda store: _follow(store, position), wait_s
        )


class _Runners:
    def __init__(self, entry_store: EntryStore) -> None:
        self._store = entry_store

    def newest(
        self,
    ) -> Deferred[tuple[dict[str, RegisteredRunner | None], LogPosition]]:
        def read(store: Store) -> Any:
            newest = dict(store.runner_records)
            live = {each: record for each, record in newest.items() if record}
            return live, _runner_position(store)

        return self._store.call("runners", read)

    def follow(
        self, position: LogPosition
    ) -> Deferred[tuple[dict[str, RegisteredRunner | None], LogPosition]]:
        def read(store: Store) -> Any:
            end = len(store.runner_records)
            _check_position(position, store.era, store.first_runner_offset, end)
            before = store.runner_mark(position.offset)
            if position.mark and before != position.mark:
                raise LogGapError("another record is before it", replaced=True)
            changes = dict(store.runner_records[position.offset :])
            return changes, _runner_position(store)

        return self._store.call("runners", read)


class _Quarantine:
    def __init__(self, entry_store: EntryStore) -> None:
        self._store = entry_store

    def newest(self) -> Deferred[tuple[dict[str, float | None], LogPosition]]:
        return self._store.call(
            "quarantine", lambda store: ({}, LogPosition(store.era, 0))
        )

    def follow(
        self, position: LogPosition, wait_s: float
    ) -> Deferred[tuple[dict[str, float | None], LogPosition]]:
        polled: Deferred[tuple[dict[str, float | None], LogPosition]] = Deferred()
        poll = self._store.call("quarantine", lambda store: None)
        poll.addErrback(lambda failure: None)
        return polled  # nothing is quarantined in the model, so the poll stays open

    def put(self, fingerprint: str, ends_at: float) -> Deferred[None]:
        return self._store.call("quarantine", lambda store: None)

    def remove(self, fingerprint: str) -> Deferred[None]:
        return self._store.call("quarantine", lambda store: None)


def _runner_position(store: Store) -> LogPosition:
    end = len(store.runner_records)
    return LogPosition(store.era, end, store.runner_mark(end))


def _check_position(position: LogPosition, era: int, first: int, end: int) -> None:
    if position.era != era or not first <= position.offset <= end:
        raise LogGapError("the records are not kept any more", replaced=first == 0)


def _follow(store: Store, position: LogPosition) -> ConfigAnswer:
    _check_position(position, store.era, 0, len(store.versions))
    return _read(store, position.offset, position.mark)


def _read(store: Store, offset: int, mark: str) -> ConfigAnswer:
    end = len(store.versions)
    versions = {
        each: version
        for each, version in enumerate(store.versions[offset:], offset)
        if version.version
    }
    if not versions:
        return ConfigAnswer({}, LogPosition(store.era, end, mark), end)
    catalogs_by_offset = {
        each: Catalog(version.version, {}, {}, {}, True, fingerprint=version.document)
        for each, version in versions.items()
    }
    last = max(versions)
    position = LogPosition(store.era, end, versions[last].document)
    return ConfigAnswer(catalogs_by_offset, position, end, last)


__all__ = ["EntryClock", "EntryStore", "Network", "Store", "Version"]
