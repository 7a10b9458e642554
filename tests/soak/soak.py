"""``python -m tests.soak.soak --seeds 1,2 --seconds 15``: a soak under random faults.

Three entries run as processes before stand-ins. Faults come from outside, in series
that overlap: entries are stopped, killed, paused and started again, connections to
runners are delayed, reset and silenced, the store misbehaves. Meanwhile and afterwards
the promises are checked from what callers and runners have seen.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import click

from tests.harness.platform_system import PlatformSystem
from tests.soak.callers import Caller, Told
from tests.soak.fault_proxy import FaultProxy
from tests.waiting import wait_until

_ENTRIES = 3
_CALLERS = 6
_FAULT_SERIES = 3
_NOT_RUN = frozenset({408, 421, 429, 503})
_KNOWN_STATUSES = frozenset({0, 200, 500, 502, 503, 504})


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self.system = PlatformSystem(folder, _ENTRIES)
        self._proxies = [FaultProxy(each.address) for each in self.system.runners]
        for runner, proxy in zip(self.system.runners, self._proxies):
            runner.address = proxy.address
        self._locks = [threading.Lock() for _ in range(_ENTRIES)]
        self._store_lock = threading.Lock()
        self.faults: Counter[str] = Counter()
        self.told: list[Told] = []

    def run(self) -> list[str]:
        """Play the faults and return the promises that were broken."""
        self.system.start()
        hosts = self.system.hosts
        callers = [Caller(hosts, self._random.getrandbits(32)) for _ in range(_CALLERS)]
        until = time.monotonic() + self._seconds
        series = [
            threading.Thread(
                target=self._play, args=(until, Random(self._random.getrandbits(32)))
            )
            for _ in range(_FAULT_SERIES)
        ]
        for thread in [*callers, *series]:
            thread.start()
        for thread in series:
            thread.join()
        for caller in callers:
            caller.stopping.set()
            caller.join()
            self.told += caller.told
        return [*self._broken(), *self._not_recovered()]

    def _play(self, until: float, random: Random) -> None:
        while time.monotonic() < until:
            fault = random.choice(
                [
                    self._pause,
                    self._kill,
                    self._stop,
                    self._harm_runner,
                    self._harm_store,
                ]
            )
            fault(random)
            time.sleep(random.uniform(0.0, 0.8))

    def _pause(self, random: Random) -> None:
        self._at_entry(random, "pause", self._pause_one)

    def _kill(self, random: Random) -> None:
        self._at_entry(random, "kill", lambda number, _: self._restart(number, False))

    def _stop(self, random: Random) -> None:
        self._at_entry(random, "stop", lambda number, _: self._restart(number, True))

    def _at_entry(
        self, random: Random, name: str, harm: Callable[[int, Random], None]
    ) -> None:
        number = random.randrange(_ENTRIES)
        if not self._locks[number].acquire(blocking=False):
            return
        try:
            self.faults[name] += 1
            harm(number, random)
        finally:
            self._locks[number].release()

    def _pause_one(self, number: int, random: Random) -> None:
        process = self.system.entries[number]
        process.signal(signal.SIGSTOP)
        time.sleep(random.uniform(0.1, 3.0))
        process.signal(signal.SIGCONT)

    def _restart(self, number: int, gently: bool) -> None:
        system = self.system
        if gently:
            system.entries[number].stop()
        else:
            system.entries[number].kill()
        system.entries[number] = system.start_entry(system.hosts[number], add=False)

    def _harm_runner(self, random: Random) -> None:
        proxy = random.choice(self._proxies)
        mode = random.choice(["reset", "silent", "deaf", "mute", "delay"])
        self.faults[mode] += 1
        if mode == "delay":
            proxy.delay_s = random.uniform(0.01, 0.3)
        else:
            proxy.mode = mode
        time.sleep(random.uniform(0.1, 1.5))
        proxy.mode, proxy.delay_s = "ok", 0.0

    def _harm_store(self, random: Random) -> None:
        if not self._store_lock.acquire(blocking=False):
            return
        self.system.store.mode = random.choice(["busy", "silent", "reset"])
        self.faults[f"store {self.system.store.mode}"] += 1
        time.sleep(random.uniform(0.2, 3.5))
        self.system.store.mode = "ok"
        self._store_lock.release()

    def _broken(self) -> list[str]:
        runs = Counter(request_id for _, request_id, _ in self.system.fleet.runs)
        broken = []
        for told in self.told:
            ran = runs[told.request_id]
            if told.path.startswith("/orders") and ran > 1:
                broken.append(f"an order ran {ran} times: {told}")
            if told.status in _NOT_RUN and ran:
                broken.append(f"told not run, and it ran {ran} times: {told}")
            if told.status == 200 and told.body != told.expected:
                broken.append(f"an answer that is not the request's own: {told}")
            if told.status not in _KNOWN_STATUSES:
                broken.append(f"a proper request was turned away: {told}")
        return broken

    def _not_recovered(self) -> list[str]:
        system = self.system
        try:
            wait_until(
                lambda: all(map(system.ready, system.hosts)), "all entries are ready"
            )
        except AssertionError as error:
            return [str(error)]
        statuses = [
            system.ask("/stock/whole", host=host)[1] for host in system.hosts * 3
        ]
        served = statuses.count(200)
        return [] if served == len(statuses) else [f"after the faults: {statuses}"]


def play(seed: int, seconds: float) -> tuple[list[str], str]:
    """Run one seed; return broken promises and a line that sums the run up."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, Path(folder))
        try:
            broken = soak.run()
        finally:
            soak.system.close()
    statuses = dict(Counter(told.status for told in soak.told))
    return broken, f"seed {seed}: {statuses}, faults {dict(soak.faults)}"


@click.command()
@click.option("--seeds", default="1", help="Seeds, or FIRST-LAST, by commas.")
@click.option("--seconds", default=15.0, help="Length of the faults of each seed.")
def main(seeds: str, seconds: float) -> None:
    """Run the soak and exit with 1 if a promise was broken."""
    failed = 0
    for part in seeds.split(","):
        first, _, last = part.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            broken, line = play(seed, seconds)
            click.echo(line)
            for promise in broken:
                click.echo(f"  BROKEN {promise}")
            failed += bool(broken)
    click.echo(f"{failed} seeds with a broken promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
