"""Draws restores of the log, outages, restarts and versions for the model of news.

    python -m tests.machines.replaced_log_simulation --entries 7 --seeds 1-60

The log may state no era, and long stretches have no new version, as the next version
hides what a restore has lost.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

import click

from bench.news_network import Version
from bench.news_simulation import REVOKE_S, NewsEntry, NewsSimulation

_SETTLE_S = 5.0
_PLAY_S = 40.0
_CHECK_EVERY = 10  # steps of the model
_ZONES = 3


class ReplacedLogSimulation:
    """One drawn play.

    :ivar violations: what was seen against the bounds, with the time.
    """

    def __init__(self, entries: int, seed: int) -> None:
        self._random = Random(seed)
        self._world = NewsSimulation(entries, _ZONES, seed)
        self._store = self._world.store
        self._store.states_era = self._random.random() < 0.25
        self._apply_s = self._world.apply_s
        self._restoring = False
        self._newest = self._store.versions[-1]
        self._written: list[Version] = [self._newest]
        self._in_store_since = 0.0
        self._calm_since_by_id: dict[str, float] = {}
        self._documents_by_life: dict[int, list[str]] = {}
        self._numbers = itertools.count(1000)
        self.violations: list[str] = []

    def run(self) -> list[str]:
        """Play, and return the violations."""
        for _ in self._world.run(_SETTLE_S):
            pass
        self._draw_next()
        for step, now in enumerate(self._world.run(_PLAY_S)):
            self._record_disturbances(now)
            if step % _CHECK_EVERY == 0:
                self._check(now)
        return self.violations

    def _later(self, delay_s: float, call: Callable[[], object]) -> None:
        self._world.clock.callLater(delay_s, call)

    def _draw_next(self) -> None:
        event = self._random.choice(
            (
                self._restore,
                self._restore,
                self._restore,
                self._publish,
                self._outage,
                self._freeze,
                self._refuse,
                self._restart,
            )
        )
        event()
        self._later(self._random.uniform(0.3, 9.0), self._draw_next)

    def _publish(self) -> None:
        if not self._store.down and not self._restoring:
            number = max(each.version for each in self._written) + 3
            self._write(Version(number))

    def _outage(self) -> None:
        self._go_down(self._random.uniform(0.2, 3.0))

    def _go_down(self, seconds: float) -> None:
        if not self._store.down:
            self._store.down = True
            self._later(seconds, self._come_back)

    def _come_back(self) -> None:
        self._store.down = False

    def _restore(self) -> None:
        """Write versions, lose them by a restore, and write them or others again."""
        store = self._store
        if store.down or self._restoring:
            return
        self._restoring = True
        copied = len(store.versions), len(store.runner_records)
        number = max(each.version for each in self._written)
        delay_s = 0.0
        for each in range(self._random.randrange(1, 4)):
            version = Version(number + 3 * (each + 1))
            self._later(delay_s, partial(self._write, version))
            delay_s += self._random.uniform(0.05, 1.0)
        delay_s += self._random.uniform(0.0, 3.0)
        self._later(delay_s, partial(self._lose, *copied))

    def _lose(self, versions: int, runner_records: int) -> None:
        store = self._store
        self._restoring = False
        if store.down:
            return
        lost = [each for each in store.versions[versions:] if each.version]
        ends = len(store.versions), len(store.runner_records)
        if self._random.random() < 0.7:
            self._go_down(self._random.uniform(0.2, 1.0))
        store.restore(versions, runner_records)
        self._in_store_since = float("inf")
        again = self._draw_again(lost)
        at_once = self._random.random() < 0.5
        if at_once:
            for version in again:
                self._write_back(version)
        longer = self._random.choice((False, True, True))
        while longer and len(store.versions) < ends[0] + 2:
            store.versions.append(Version(0))
        while longer and len(store.runner_records) < ends[1] + 2:
            self._world.put_runner(self._random.choice(self._world.runner_ids))
        delay_s = 0.0
        for version in () if at_once else again:
            delay_s += self._random.uniform(0.0, 0.6)
            self._later(delay_s, partial(self._write_back, version))

    def _draw_again(self, lost: list[Version]) -> list[Version]:
        """Return what the operators write after a restore."""
        newest = lost[-1]
        content = f"-{next(self._numbers)}"
        return self._random.choice(
            (
                lost,
                [newest],
                [Version(newest.version, content)],
                [Version(lost[0].version - 1, content)],
                [Version(newest.version + 1, content)],
            )
        )

    def _write_back(self, version: Version) -> None:
        if version in self._written and version != self._newest:
            self._store.versions.append(version)  # a later one follows
            return
        self._write(version)

    def _write(self, version: Version) -> None:
        self._store.versions.append(version)
        self._written.append(version)
        self._newest = version
        self._in_store_since = float(self._world.clock.seconds())

    def _freeze(self) -> None:
        self._draw_entry().clock.suspend(self._random.uniform(0.5, 5.0))

    def _refuse(self) -> None:
        refused = {self._draw_entry().host for _ in range(2)}
        hosts = self._store.refused_hosts
        hosts |= refused
        seconds = self._random.uniform(0.5, 4.0)
        self._later(seconds, lambda: hosts.difference_update(refused))

    def _restart(self) -> None:
        world, number = self._world, next(self._numbers)
        killed = self._draw_entry()
        world.kill(killed)
        started = NewsEntry(number, killed.zone, world)
        world.entries.append(started)
        self._later(self._random.uniform(0.3, 1.0), started.start)

    def _draw_entry(self) -> NewsEntry:
        return self._random.choice(self._world.entries)

    def _record_disturbances(self, now: float) -> None:
        """Record since when each entry is awake and served by a log that is up."""
        for entry in self._world.entries:
            calm = (
                not self._store.down
                and entry.host not in self._store.refused_hosts
                and now >= entry.clock.suspended_until
            )
            if not calm or entry.entry_id not in self._calm_since_by_id:
                self._calm_since_by_id[entry.entry_id] = now

    def _check(self, now: float) -> None:
        for entry in self._world.entries:
            catalog = entry.config.catalog
            if catalog is None or now < entry.clock.suspended_until:
                continue
            self._check_order(entry, catalog.fingerprint, now)
            if catalog.fingerprint == self._newest.document:
                continue
            calm_since = self._calm_since_by_id[entry.entry_id]
            due_at = max(self._in_store_since, calm_since) + self._apply_s
            if now > due_at and entry.config.usable and not entry.config.overtaken:
                self._violate(now, entry, catalog.fingerprint, "is not in force")
            revoked_at = self._in_store_since + REVOKE_S
            if now > revoked_at and entry.config.keys_trusted():
                self._violate(now, entry, catalog.fingerprint, "does not end its keys")

    def _check_order(self, entry: NewsEntry, document: str, now: float) -> None:
        documents = self._documents_by_life.setdefault(id(entry), [document])
        if documents[-1] == document:
            return
        if document in documents:
            self._violate(now, entry, document, "was superseded here before")
        documents.append(document)

    def _violate(self, now: float, entry: NewsEntry, used: str, what: str) -> None:
        self.violations.append(
            f"{now:.2f} s: {entry.entry_id} uses {used}: {self._newest.document} {what}"
        )


def _parse_seeds(text: str) -> Iterator[int]:
    first, _, last = text.partition("-")
    return iter(range(int(first), int(last or first) + 1))


@click.command()
@click.option("--entries", default=7, show_default=True)
@click.option("--seeds", default="1-60", show_default=True)
def main(entries: int, seeds: str) -> None:
    """Play seeds, and print the first violations of each."""
    failed = 0
    for seed in _parse_seeds(seeds):
        violations = ReplacedLogSimulation(entries, seed).run()
        failed += bool(violations)
        for violation in violations[:3]:
            click.echo(f"seed {seed}: {violation} ({len(violations)} in all)")
    click.echo(f"{failed} seeds with violations")


if __name__ == "__main__":
    main()


__all__ = ["ReplacedLogSimulation"]
