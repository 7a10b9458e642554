"""Prints what news among entries cost, and how old they are, by number of entries.

    python -m bench.news --sizes 6:3 --sizes 98:5 --seconds 20 --seed 1

A size is ENTRIES:ZONES. One entry is killed in the middle of each run.
"""

from __future__ import annotations

import statistics

import click

from bench.news_simulation import NewsEntry, NewsSimulation

_WARM_UP_S = 8.0
_SAMPLE_EVERY = 10  # steps of the model
_COLUMNS = (
    "entries",
    "zones",
    "calls of the log /s",
    "calls before",
    "B/s an entry, in its zone",
    "B/s an entry, to other zones",
    "datagrams/s an entry",
    "age of load in the zone, p50, p99, worst s",
    "age of load of other zones",
    "configuration confirmed, worst s",
    "runners confirmed, worst s",
    "death noticed, s",
)


def measure(entries: int, zones: int, seconds: float, seed: int) -> str:
    """Run the model at one size; return a row of the table."""
    world = NewsSimulation(entries, zones, seed)
    for _ in world.run(_WARM_UP_S):
        pass
    at_start = world.store.calls_by_kind.total()
    world.store.calls_by_kind.clear()
    world.network.bytes_by_path.clear()
    world.network.datagrams = 0
    ages = _Ages(world)
    for step, _ in enumerate(world.run(seconds)):
        if step % _SAMPLE_EVERY == 0:
            ages.sample()
    per_entry_s = seconds * len(world.entries)
    sent = world.network.bytes_by_path
    cells = [
        str(entries),
        str(zones),
        f"{world.store.calls_by_kind.total() / seconds:.2f}",
        str(at_start),
        f"{sent['in zone'] / per_entry_s:.0f}",
        f"{sent['between zones'] / per_entry_s:.0f}",
        f"{world.network.datagrams / per_entry_s:.0f}",
        _quantiles(ages.in_zone_s),
        _quantiles(ages.between_zones_s),
        f"{max(ages.configuration_s):.2f}",
        f"{max(ages.runners_s):.2f}",
        f"{_detection_s(world):.2f}",
    ]
    return "| " + " | ".join(cells) + " |"


class _Ages:
    """Samples of the ages of news; one observer a zone suffices."""

    def __init__(self, world: NewsSimulation) -> None:
        self._world = world
        self._observers: list[NewsEntry] = world.entries[
            :: max(len(world.entries) // 9, 1)
        ]
        self.in_zone_s: list[float] = []
        self.between_zones_s: list[float] = []
        self.configuration_s: list[float] = []
        self.runners_s: list[float] = []

    def sample(self) -> None:
        """Add the present ages."""
        for observer in self._observers:
            boottime = observer.clock.boottime()
            self.configuration_s.append(observer.config.age_s)
            confirmed_at = observer.runner_watch.confirmation.confirmed_at
            self.runners_s.append(boottime - confirmed_at)
            for observed in self._world.entries:
                if observed is not observer:
                    same = observed.zone == observer.zone
                    ages_s = self.in_zone_s if same else self.between_zones_s
                    ages_s.append(self._world.news_age_s(observer, observed))


def _quantiles(ages_s: list[float]) -> str:
    if len(ages_s) < 2:
        return "none"
    cuts = statistics.quantiles(ages_s, n=100)
    return f"{cuts[49]:.2f}, {cuts[98]:.2f}, {max(ages_s):.2f}"


def _detection_s(world: NewsSimulation) -> float:
    """Kill the reader; return the seconds until no entry takes it for alive."""
    victim = world.reader()
    world.kill(victim)
    killed_at = world.clock.seconds()
    for now in world.run(20.0):
        alive_at = (
            victim.entry_id
            in {each.entry_id for each in entry.exchange.peers.alive(now)}
            for entry in world.entries
        )
        if not any(alive_at):
            return now - float(killed_at)
    return float("inf")


@click.command(help=__doc__)
@click.option("--sizes", multiple=True, default=["6:3", "41:3", "98:5", "330:12"])
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(sizes: tuple[str, ...], seconds: float, seed: int) -> None:
    """Print the table."""
    click.echo("| " + " | ".join(_COLUMNS) + " |")
    click.echo("|---" * len(_COLUMNS) + "|")
    for size in sizes:
        entries, zones = map(int, size.split(":"))
        click.echo(measure(entries, zones, seconds, seed))


if __name__ == "__main__":
    main()
