"""Compares the cost of relaying streams with that of a plain two-hop byte relay.

Both paths carry the same streams from the same engines, one after the other in one
run. CPU time is counted per process, so other load on the machine is excluded.
"""

from __future__ import annotations

import json
import math
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import click
import psutil

from demo.processes import Process
from demo.system import KIT_SHOP_KEY, DemoSystem, temporary_folder

if TYPE_CHECKING:
    from collections.abc import Sequence

_READY_TIMEOUT_S = 60.0
_CLIENT_TIMEOUT_S = 240.0
_US_PER_S = 1e6


@dataclass(slots=True)
class PathCost:
    """CPU cost and latency of one path from client to engines.

    :param whole: streams that were received completely.
    :param near_cpu_us: CPU time per token of the hop next to the caller, in
        microseconds.
    :param far_cpu_us: CPU time per token of all hops next to the engines together, in
        microseconds.
    """

    tokens: int
    whole: int
    streams: int
    near_cpu_us: float
    far_cpu_us: float
    first_byte_p50_s: float
    first_byte_p99_s: float


class BenchSystem(DemoSystem):
    """A demo system with one entry and several engines that have many slots."""

    def __init__(self, folder: Path, engines: int, slots: int, step_s: float) -> None:
        super().__init__(folder)
        self.engine_count = engines
        self.entry_count = 1
        self.group_ranks = 0
        self.engine_options = ["--slots", str(slots), "--step-s", str(step_s)]
        self.agent_slots = slots

    def wait_until_ready(self) -> None:
        """Wait until the entry lists all runners."""
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while not self.ready(self.engine_count + 1):
            if time.monotonic() > deadline:
                raise click.ClickException("the system did not become ready in time")
            time.sleep(0.1)


def measure_path(
    folder: Path,
    name: str,
    url: str,
    load: Sequence[str],
    near: Sequence[Process],
    far: Sequence[Process],
) -> PathCost:
    """Send the load to ``url`` and return its cost by hop.

    :param near: processes of the hop next to the caller.
    :param far: processes of the hop next to the engines.
    """
    before = _cpu_s(near), _cpu_s(far)
    client = _start_client(folder, name, url, load)
    result = client.wait_for_line("tokens", _CLIENT_TIMEOUT_S)
    client.wait()
    used_s = _cpu_s(near) - before[0], _cpu_s(far) - before[1]
    tokens = max(1, result["tokens"])
    return PathCost(
        tokens=result["tokens"],
        whole=result["whole"],
        streams=result["streams"],
        near_cpu_us=used_s[0] / tokens * _US_PER_S,
        far_cpu_us=used_s[1] / tokens * _US_PER_S,
        first_byte_p50_s=percentile(result["first_bytes_s"], 0.50),
        first_byte_p99_s=percentile(result["first_bytes_s"], 0.99),
    )


def _start_client(folder: Path, name: str, url: str, load: Sequence[str]) -> Process:
    command = ["-m", "bench.stream_client", "--url", url, "--key", KIT_SHOP_KEY, *load]
    return Process(f"client-{name}", command, folder / f"client-{name}.log")


def _cpu_s(processes: Sequence[Process]) -> float:
    times = [psutil.Process(process.pid).cpu_times() for process in processes]
    return sum(each.user + each.system for each in times)


def resident_memory_mb(process: Process) -> float:
    """Return the resident memory of a process in MB."""
    return float(psutil.Process(process.pid).memory_info().rss) / 1e6


def percentile(ordered: Sequence[float], quantile: float) -> float:
    """Return a quantile of sorted values; NaN if there are none."""
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def start_byte_relays(folder: Path, system: DemoSystem) -> tuple[str, list[Process]]:
    """Start a byte relay in front of each engine and one in front of these relays."""
    far = [
        _start_byte_relay(folder, f"far-{number}", [_port(url)])
        for number, url in enumerate(system.engine_urls)
    ]
    ports = [process.wait_for_line("listening")["listening"] for process in far]
    near = _start_byte_relay(folder, "near", ports)
    port = near.wait_for_line("listening")["listening"]
    return f"http://127.0.0.1:{port}", [near, *far]


def _start_byte_relay(folder: Path, name: str, ports: list[int]) -> Process:
    targets = [part for port in ports for part in ("--to", str(port))]
    command = ["-m", "bench.byte_relay", *targets]
    return Process(f"bytes-{name}", command, folder / f"bytes-{name}.log")


def _port(url: str) -> int:
    return int(urlsplit(url).port or 0)


@click.command()
@click.option("--streams", default=400)
@click.option("--tokens", default=100)
@click.option("--engines", default=4)
@click.option(
    "--step-s", default=0.059, help="Time between two tokens of a stream, in seconds."
)
@click.option("--per-second", default=100.0, help="Streams opened per second.")
def main(
    streams: int, tokens: int, engines: int, step_s: float, per_second: float
) -> None:
    """Measure both paths in one run and print one JSON line."""
    load = ["--streams", str(streams), "--tokens", str(tokens)]
    load += ["--per-second", str(per_second)]
    with temporary_folder() as name:
        folder = Path(name)
        system = BenchSystem(folder, engines, streams, step_s)
        relays: list[Process] = []
        try:
            system.start()
            system.wait_until_ready()
            url, relays = start_byte_relays(folder, system)
            bare = measure_path(folder, "bare", url, load, relays[:1], relays[1:])
            ours = measure_path(
                folder,
                "ours",
                system.entries[0],
                load,
                system.processes_named("entry"),
                system.processes_named("agent"),
            )
        finally:
            for process in relays:
                process.kill()
            system.kill()
    click.echo(json.dumps(_report(bare, ours)))


def _report(bare: PathCost, ours: PathCost) -> dict[str, Any]:
    def rounded(result: PathCost) -> dict[str, Any]:
        names = PathCost.__slots__
        return {name: round(getattr(result, name), 4) for name in names}

    return {
        "bench": "relay",
        "bare": rounded(bare),
        "ours": rounded(ours),
        "entry_cpu_ratio": round(ours.near_cpu_us / bare.near_cpu_us, 3),
        "agent_cpu_ratio": round(ours.far_cpu_us / bare.far_cpu_us, 3),
        "added_first_byte_p50_ms": round(
            (ours.first_byte_p50_s - bare.first_byte_p50_s) * 1000, 2
        ),
        "added_first_byte_p99_ms": round(
            (ours.first_byte_p99_s - bare.first_byte_p99_s) * 1000, 2
        ),
    }


if __name__ == "__main__":
    main()
