"""Measures the CPU and memory of an entry and its agents at several sizes.

The sizes are the number of connected idle agents, of open streams, and of tokens per
stream.

Prints one JSON line with the measurements and, for each quantity, the fitted line
``intercept + slope * size``.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
import numpy
import psutil

from bench.relay import BenchSystem, measure_path
from demo.processes import Process
from demo.system import KIT_SHOP_KEY, DemoSystem, temporary_folder

_READY_TIMEOUT_S = 60.0
_SETTLE_S = 3.0
_MIN_FIT_POINTS = 3


class _IdleAgentsSystem(DemoSystem):
    """One entry and many idle agents, which all run in one process."""

    def __init__(self, folder: Path, agents: int) -> None:
        super().__init__(folder)
        self.entry_count = 1
        self.engine_count = 0
        self.agents = agents

    def _start_agents(self) -> None:
        command = ["-m", "bench.fake_agents", "--agents", str(self.agents)]
        process = self._start("fake-agents", command)
        ports = process.wait_for_line("listening")["listening"]
        for number, port in enumerate(ports):
            self._register(f"agent-{number}", "agent", "oslo-a", port)


def _wait_until_runners_listed(system: DemoSystem, runners: int) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while not system.ready(runners):
        if time.monotonic() > deadline:
            raise click.ClickException(
                f"the entry did not connect to {runners} runners in time"
            )
        time.sleep(0.2)


def _private_mb(process: Process) -> float:
    return float(psutil.Process(process.pid).memory_full_info().uss) / 1e6


def _cpu_s(process: Process) -> float:
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)


def _measure_idle_agents(agents: int, seconds: float) -> dict[str, float]:
    with temporary_folder() as name:
        system = _IdleAgentsSystem(Path(name), agents)
        try:
            system.start()
            _wait_until_runners_listed(system, agents)
            time.sleep(_SETTLE_S)
            (entry,) = system.processes_named("entry")
            before = _cpu_s(entry)
            time.sleep(seconds)
            return {
                "agents": agents,
                "core_percent": (_cpu_s(entry) - before) / seconds * 100,
                "private_mb": _private_mb(entry),
            }
        finally:
            system.kill()


def _measure_open_streams(streams: int, engines: int) -> dict[str, float]:
    with temporary_folder() as name:
        folder = Path(name)
        system = BenchSystem(folder, engines, streams + 1, 30.0)
        client = None
        try:
            system.start()
            system.wait_until_ready()
            (entry,) = system.processes_named("entry")
            agents = system.processes_named("agent")[:engines]
            if streams:
                client = _start_stream_client(system, folder, streams)
                _wait_until_streams_open(system, streams)
            return {
                "streams": streams,
                "entry_private_mb": _private_mb(entry),
                "agent_private_mb": max(map(_private_mb, agents)),
                "entry_resident_mb": psutil.Process(entry.pid).memory_info().rss / 1e6,
            }
        finally:
            if client is not None:
                client.kill()
            system.kill()


def _start_stream_client(system: DemoSystem, folder: Path, streams: int) -> Process:
    command = ["-m", "bench.stream_client", "--url", system.entries[0]]
    command += ["--key", KIT_SHOP_KEY, "--streams", str(streams)]
    command += ["--tokens", "100", "--per-second", "500"]
    return Process("client", command, folder / "client.log")


def _measure_stream_costs(
    token_counts: tuple[int, ...], streams: int
) -> list[dict[str, float]]:
    """Return the CPU time per stream of entry and agents for each token count."""
    with temporary_folder() as name:
        folder = Path(name)
        system = BenchSystem(folder, 4, streams, 0.059)
        try:
            system.start()
            system.wait_until_ready()
            return [
                _measure_stream_cost(system, folder, count, streams)
                for count in token_counts
            ]
        finally:
            system.kill()


def _measure_stream_cost(
    system: BenchSystem, folder: Path, tokens: int, streams: int
) -> dict[str, float]:
    load = ["--streams", str(streams), "--tokens", str(tokens), "--per-second", "100"]
    cost = measure_path(
        folder,
        f"tokens-{tokens}",
        system.entries[0],
        load,
        system.processes_named("entry"),
        system.processes_named("agent"),
    )
    per_stream = cost.tokens / cost.streams
    return {
        "tokens": per_stream,
        "entry_cpu_us": cost.near_cpu_us * per_stream,
        "agent_cpu_us": cost.far_cpu_us * per_stream,
    }


def _wait_until_streams_open(system: DemoSystem, streams: int) -> None:
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while system.status(system.operator_urls[0])["open_requests"] < streams:
        if time.monotonic() > deadline:
            raise click.ClickException(f"{streams} streams did not open in time")
        time.sleep(0.5)


def fit_by_quantity(
    measurements: list[dict[str, float]], size_key: str
) -> dict[str, dict[str, float]]:
    """Return the line fitted to each quantity as a function of ``size_key``."""
    sizes = [measurement[size_key] for measurement in measurements]
    return {
        name: _fit_line(sizes, [measurement[name] for measurement in measurements])
        for name in measurements[0]
        if name != size_key
    }


def _fit_line(sizes: list[float], values: list[float]) -> dict[str, float]:
    if len(sizes) < _MIN_FIT_POINTS:
        return {}
    slope, intercept = numpy.polyfit(sizes, values, 1)
    return {"slope": float(f"{slope:.4g}"), "intercept": float(f"{intercept:.4g}")}


@click.command()
@click.option(
    "--agents", "agent_counts", multiple=True, default=[15, 60, 240], type=int
)
@click.option(
    "--streams", "stream_counts", multiple=True, default=[0, 1000, 10000], type=int
)
@click.option("--seconds", default=10.0, help="Duration of each idle measurement.")
def main(
    agent_counts: tuple[int, ...], stream_counts: tuple[int, ...], seconds: float
) -> None:
    """Measure the costs, fit a line to each and print one JSON line."""
    idle = [_measure_idle_agents(count, seconds) for count in agent_counts]
    streams = [_measure_open_streams(count, 4) for count in stream_counts]
    costs = _measure_stream_costs((4, 30, 100), 400)
    report: dict[str, Any] = {
        "bench": "entry_slopes",
        "idle_agents": idle,
        "idle_agents_fit": fit_by_quantity(idle, "agents"),
        "open_streams": streams,
        "open_streams_fit": fit_by_quantity(streams, "streams"),
        "stream_costs": costs,
        "stream_costs_fit": fit_by_quantity(costs, "tokens"),
    }
    click.echo(json.dumps(report))


if __name__ == "__main__":
    main()
