"""Soak test of real processes under random faults.

Run it as ``python -m tests.soak.soak --seeds 1,2 --seconds 15``. Three entry processes
run with a stand-in store and runners. Several threads inject faults that overlap:
entries are stopped, killed, paused and restarted, connections to runners are delayed,
reset and blocked, and the store fails. Afterwards the guarantees are checked against
the responses that callers received and the requests that runners ran during the faults,
and all entries must serve requests again.
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
from tests.soak.callers import Caller, CallerResult
from tests.soak.fault_proxy import FaultProxy
from tests.waiting import wait_until

_ENTRY_COUNT = 3
_CALLER_COUNT = 6
_FAULT_THREAD_COUNT = 3
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_EXPECTED_STATUSES = frozenset({0, 200, 500, 502, 503, 504})


class SoakRun:
    """One soak run; the seed determines the random choices of faults and requests."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._random = Random(seed)
        self._seconds = seconds
        self.system = PlatformSystem(folder, _ENTRY_COUNT)
        self._proxies = [
            FaultProxy(stand_in.address) for stand_in in self.system.runners
        ]
        for runner, proxy in zip(self.system.runners, self._proxies):
            runner.address = proxy.address
        self._entry_locks = [threading.Lock() for _ in range(_ENTRY_COUNT)]
        self._store_lock = threading.Lock()
        self.faults: Counter[str] = Counter()
        self.results: list[CallerResult] = []

    def run(self) -> list[str]:
        """Send requests under faults; return the violated guarantees."""
        self.system.start()
        hosts = self.system.hosts
        callers = [
            Caller(hosts, self._random.getrandbits(32)) for _ in range(_CALLER_COUNT)
        ]
        end_s = time.monotonic() + self._seconds
        fault_threads = [
            threading.Thread(
                target=self._inject_faults,
                args=(end_s, Random(self._random.getrandbits(32))),
            )
            for _ in range(_FAULT_THREAD_COUNT)
        ]
        for thread in [*callers, *fault_threads]:
            thread.start()
        for thread in fault_threads:
            thread.join()
        for caller in callers:
            caller.stop_requested.set()
            caller.join()
            self.results += caller.results
        return [*self._find_violations(), *self._find_recovery_failures()]

    def _inject_faults(self, end_s: float, random: Random) -> None:
        while time.monotonic() < end_s:
            fault = random.choice(
                [
                    self._pause_entry,
                    self._kill_entry,
                    self._stop_entry,
                    self._inject_runner_fault,
                    self._inject_store_fault,
                ]
            )
            fault(random)
            time.sleep(random.uniform(0.0, 0.8))

    def _pause_entry(self, random: Random) -> None:
        self._inject_entry_fault(random, "pause", self._pause_process)

    def _kill_entry(self, random: Random) -> None:
        self._inject_entry_fault(
            random, "kill", lambda entry_index, _: self._restart(entry_index, False)
        )

    def _stop_entry(self, random: Random) -> None:
        self._inject_entry_fault(
            random, "stop", lambda entry_index, _: self._restart(entry_index, True)
        )

    def _inject_entry_fault(
        self, random: Random, name: str, inject: Callable[[int, Random], None]
    ) -> None:
        entry_index = random.randrange(_ENTRY_COUNT)
        if not self._entry_locks[entry_index].acquire(blocking=False):
            return
        try:
            self.faults[name] += 1
            inject(entry_index, random)
        finally:
            self._entry_locks[entry_index].release()

    def _pause_process(self, entry_index: int, random: Random) -> None:
        process = self.system.entry_processes[entry_index]
        process.signal(signal.SIGSTOP)
        time.sleep(random.uniform(0.1, 3.0))
        process.signal(signal.SIGCONT)

    def _restart(self, entry_index: int, graceful: bool) -> None:
        system = self.system
        if graceful:
            system.entry_processes[entry_index].stop()
        else:
            system.entry_processes[entry_index].kill()
        system.entry_processes[entry_index] = system.start_entry(
            system.hosts[entry_index], add=False
        )

    def _inject_runner_fault(self, random: Random) -> None:
        proxy = random.choice(self._proxies)
        mode = random.choice(["reset", "silent", "deaf", "mute", "delay"])
        self.faults[mode] += 1
        if mode == "delay":
            proxy.delay_s = random.uniform(0.01, 0.3)
        else:
            proxy.mode = mode
        time.sleep(random.uniform(0.1, 1.5))
        proxy.mode, proxy.delay_s = "ok", 0.0

    def _inject_store_fault(self, random: Random) -> None:
        if not self._store_lock.acquire(blocking=False):
            return
        self.system.store.mode = random.choice(["busy", "silent", "reset"])
        self.faults[f"store {self.system.store.mode}"] += 1
        time.sleep(random.uniform(0.2, 3.5))
        self.system.store.mode = "ok"
        self._store_lock.release()

    def _find_violations(self) -> list[str]:
        runs = Counter(request_id for _, request_id, _ in self.system.fleet.runs)
        violations = []
        for result in self.results:
            run_count = runs[result.request_id]
            if result.path.startswith("/orders") and run_count > 1:
                violations.append(f"an order ran {run_count} times: {result}")
            if result.status in _NOT_RUN_STATUSES and run_count:
                violations.append(
                    f"reported as not run, ran {run_count} times: {result}"
                )
            if result.status == 200 and result.body != result.expected_body:
                violations.append(f"wrong response body: {result}")
            if result.status not in _EXPECTED_STATUSES:
                violations.append(f"unexpected status for a valid request: {result}")
        return violations

    def _find_recovery_failures(self) -> list[str]:
        system = self.system
        try:
            wait_until(
                lambda: all(map(system.ready, system.hosts)), "all entries are ready"
            )
        except AssertionError as error:
            return [str(error)]
        statuses = [
            system.send_request("/stock/whole", host=host)[1]
            for host in system.hosts * 3
        ]
        success_count = statuses.count(200)
        return (
            []
            if success_count == len(statuses)
            else [f"not all requests after the faults returned 200: {statuses}"]
        )


def run_seed(seed: int, seconds: float) -> tuple[list[str], str]:
    """Run one seed; return its violations and a one-line summary."""
    with tempfile.TemporaryDirectory() as folder:
        soak_run = SoakRun(seed, seconds, Path(folder))
        try:
            violations = soak_run.run()
        finally:
            soak_run.system.close()
    statuses = dict(Counter(result.status for result in soak_run.results))
    return violations, f"seed {seed}: {statuses}, faults {dict(soak_run.faults)}"


@click.command()
@click.option(
    "--seeds", default="1", help="Comma-separated seeds or ranges FIRST-LAST."
)
@click.option("--seconds", default=15.0, help="Duration of the faults per seed.")
def main(seeds: str, seconds: float) -> None:
    """Run the soak test; exit with 1 if a guarantee was violated."""
    failed = 0
    for part in seeds.split(","):
        first, _, last = part.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            violations, summary = run_seed(seed, seconds)
            click.echo(summary)
            for violation in violations:
                click.echo(f"  VIOLATION {violation}")
            failed += bool(violations)
    click.echo(f"{failed} seeds with a violated guarantee")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
