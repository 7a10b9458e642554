"""Model of what entries tell each other and ask of the store.

It runs the product's own modules for updates, relays and the platform's log, over a
virtual clock, network and store. Requests are not modelled: entries report a random
load.
"""

from __future__ import annotations

import functools
import itertools
from collections.abc import Iterable
from random import Random
from typing import Any, cast

from twisted.internet.task import Clock

from corianderrelay_entry.coordination.direct.config_watch import ConfigWatch
from corianderrelay_entry.coordination.direct.decision_log import DecisionLog
from corianderrelay_entry.coordination.direct.direct_metrics import DirectMetrics
from corianderrelay_entry.coordination.direct.peer_exchange import PeerExchange
from corianderrelay_entry.coordination.direct.quarantine_watch import QuarantineWatch
from corianderrelay_entry.coordination.direct.runner_watch import RunnerWatch
from corianderrelay_entry.coordination.direct.store_sharing import StoreSharing
from corianderrelay_entry.state.direct.crash_ledger import CrashLedger
from corianderrelay_entry.state.direct.part_ledger import PartLedger
from corianderrelay_entry.state.direct.quarantines import Quarantines
from corianderrelay_entry.state.direct.runner_list import RegisteredRunner, RunnerList
from corianderrelay_entry.state.direct.settings import (
    Address,
    DirectBounds,
    DirectSettings,
)
from corianderrelay_entry.state.direct.store_news import (
    ReadDuty,
    StoreAnswer,
    StoreQuestion,
)
from corianderrelay_entry.transport.direct.peer_socket import PeerSocket

from bench.news_network import EntryClock, EntryStore, Network, Store, Version

REVOKE_S = 5.0
LEAVING_S = 4.0
# Most entries, and the time within which a configuration is in force.
_APPLY_S = ((10, 2.0), (41, 3.0), (1_000, 4.0))
_TICK_S = 0.1
_STEP_S = 0.01
_BEAT_S = 1.2
_RUNNERS_PER_ENTRY = 2
_START_SPREAD_S = 0.3
_PORT = 7340


def _apply_s(entries: int) -> float:
    """Return the bound on configurations of installations with as many entries."""
    return next(bound_s for most, bound_s in _APPLY_S if entries <= most)


@functools.cache
def _metrics() -> DirectMetrics:
    """Return collectors that all entries share: a process can register them once."""
    return DirectMetrics()


class NewsEntry:
    """One entry: the modules for news, without requests."""

    def __init__(self, number: int, zone: str, world: NewsSimulation) -> None:
        self.entry_id = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"10.0.{number // 250}.{number % 250}"
        self.clock = EntryClock(world.clock)
        self._world = world
        self._random = Random(number)
        clock: Any = self.clock
        own_store = EntryStore(world.store, self.host, self.clock)
        log, metrics = DecisionLog(clock.seconds), _metrics()
        address = Address(self.host, _PORT)
        settings = DirectSettings(
            self.entry_id,
            zone,
            Address(self.host, 8227),
            address,
            None,
            address,
            address,
            DirectBounds(revoke_s=REVOKE_S, apply_s=world.apply_s, leaving_s=LEAVING_S),
        )
        duty = ReadDuty()
        self.socket = PeerSocket(self)
        self.socket.transport = cast("Any", self)
        self.exchange = PeerExchange(
            settings, world.next_incarnation(), own_store, clock, log, self.socket
        )
        self.config = ConfigWatch(
            own_store.config,
            clock,
            clock.boottime,
            settings.bounds,
            log,
            metrics,
            duty,
            self.exchange.settled,
            self._on_log_restored,
        )
        self.runners = RunnerList()
        self.runner_watch = RunnerWatch(
            own_store.runners,
            self.runners,
            clock,
            log,
            metrics,
            lambda runner_id: None,
            LEAVING_S,
            clock.boottime,
            duty,
            self._on_log_restored,
        )
        self.quarantine_watch = QuarantineWatch(
            own_store.quarantine,
            Quarantines(CrashLedger(), PartLedger()),
            clock,
            clock.boottime,
            self._random,
            log,
            metrics,
            duty,
        )
        self.sharing = StoreSharing(
            self.exchange.peers,
            self.config,
            self.runner_watch,
            self.quarantine_watch,
            self.runners,
            duty,
            clock,
            clock.boottime,
            self.socket,
            log,
        )
        world.network.attach(self.host, zone, self.clock, self.socket.datagramReceived)

    @property
    def ready(self) -> bool:
        """Whether the entry would accept callers."""
        return (
            self.exchange.discovered
            and self.runner_watch.loaded
            and self.config.catalog is not None
        )

    def start(self) -> None:
        """Start the periodic work."""
        self.config.start()
        self.runner_watch.start()
        self.exchange.start()
        self.quarantine_watch.start()
        self._send_update(urgent=True)
        self._tick()

    def write(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Send a datagram; the transport of the entry's socket."""
        self._world.network.send(self.host, self.zone, datagram, target)

    def on_updates(self, aged_updates: Any) -> None:
        """Apply updates of other entries."""
        for update, _ in self.exchange.receive(aged_updates):
            self.config.learn_version(update.config_generation, update.config_version)

    def on_relayed(self, bundle: bytes) -> None:
        """Pass a bundle on."""
        self.exchange.pass_on(bundle)

    def on_question(self, question: StoreQuestion) -> None:
        """Answer a question."""
        self.sharing.on_question(question)

    def on_answer(self, answer: StoreAnswer) -> None:
        """Apply an answer."""
        self.sharing.on_answer(answer)

    def on_fault(self, sender: str, reason: str) -> None:
        """Fail: the model sends no malformed datagrams."""
        raise AssertionError(f"{sender}: {reason}")

    def _on_log_restored(self) -> None:
        self.exchange.register_again()
        self.config.check_newest()
        self.runner_watch.check_newest()
        self.quarantine_watch.check_newest()

    def _send_update(self, *, urgent: bool = False) -> None:
        running = {f"i-{self._random.randrange(1 << 32):08x}": 1 for _ in range(4)}
        self.exchange.send_update(
            self.ready,
            running,
            {},
            {},
            (),
            (),
            (),
            (),
            self.config.version or 0,
            self.config.generation,
            urgent=urgent,
        )
        interval_s = self.exchange.peers.send_interval_s
        self.clock.callLater(interval_s, self._send_update)

    def _tick(self) -> None:
        self.runner_watch.expire()
        self.sharing.tick()
        self.exchange.relay_if_due()
        self.clock.callLater(_TICK_S, self._tick)


class NewsSimulation:
    """A number of entries in some zones.

    :param loss: share of datagrams that are lost.
    """

    def __init__(
        self, entries: int, zones: int, seed: int = 1, loss: float = 0.01
    ) -> None:
        self.apply_s = _apply_s(entries)
        self.clock = Clock()
        self.random = Random(seed)
        self.store = Store(self.clock)
        self.network = Network(self.clock, self.random, loss)
        self._incarnations = itertools.count(1)
        self.runner_ids = [
            f"i-{each:06}" for each in range(_RUNNERS_PER_ENTRY * entries)
        ]
        for runner_id in self.runner_ids:
            self.put_runner(runner_id)
        self.entries = [
            NewsEntry(number, f"zone-{number % zones}", self)
            for number in range(entries)
        ]
        for entry in self.entries:
            delay_s = self.random.uniform(0.0, _START_SPREAD_S)
            self.clock.callLater(delay_s, entry.start)
        self.clock.callLater(_BEAT_S, self._beat)

    def next_incarnation(self) -> int:
        """Return the incarnation of an entry that starts."""
        return next(self._incarnations)

    def run(self, seconds: float) -> Iterable[float]:
        """Run, and yield the time after each step."""
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.clock.advance(_STEP_S)
            yield float(self.clock.seconds())

    def put_runner(self, runner_id: str, *, leaving: bool = False) -> None:
        """Write a runner's record."""
        runner = RegisteredRunner(runner_id, "s", "10.9.0.1", 1, "z", 6, leaving, 1)
        self.store.runner_records.append((runner_id, runner))

    def remove_runner(self, runner_id: str) -> None:
        """Remove a runner's record."""
        self.runner_ids.remove(runner_id)
        self.store.runner_records.append((runner_id, None))

    def publish(self) -> int:
        """Write a configuration; return its version."""
        version = self.store.versions[-1].version + 1
        self.store.versions.append(Version(version))
        return version

    def kill(self, entry: NewsEntry) -> None:
        """End an entry without notice."""
        entry.clock.stopped = True
        self.entries.remove(entry)

    def reader(self) -> NewsEntry:
        """Return the entry that reads the log for all."""
        (first,) = (each for each in self.entries if each.sharing.position == 0)
        return first

    def news_age_s(self, observer: NewsEntry, observed: NewsEntry) -> float:
        """Return the age of what one entry knows of the load of another."""
        peers = observer.exchange.peers
        seen_at = peers.last_seen_at(observed.entry_id)
        return observer.clock.seconds() - seen_at

    def _beat(self) -> None:
        for runner_id in self.runner_ids:
            newest = self._newest_record(runner_id)
            self.store.runner_records.append((runner_id, newest))
        self.clock.callLater(_BEAT_S, self._beat)

    def _newest_record(self, runner_id: str) -> RegisteredRunner | None:
        recent = reversed(self.store.runner_records)
        return next(record for each, record in recent if each == runner_id)


__all__ = ["LEAVING_S", "REVOKE_S", "NewsEntry", "NewsSimulation"]
