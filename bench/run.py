"""Runs the benchmarks in sequence and writes docs/measurements.md and the plots.

Each benchmark is a module of its own and is stopped at its time limit. The limits add
up to five minutes.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from datetime import date
from pathlib import Path

import click

from bench.plots import plot_planner, plot_shares, plot_slopes

_ROOT = Path(__file__).resolve().parent.parent
_SEED = 1


@dataclass(frozen=True, slots=True)
class Benchmark:
    """A benchmark module, its arguments and its time limit."""

    name: str
    arguments: tuple[str, ...]
    timeout_s: int

    @property
    def command(self) -> str:
        """Return the command that reproduces the figures."""
        return " ".join(("python -m", f"bench.{self.name}", *self.arguments))


@dataclass(frozen=True, slots=True)
class Report:
    """Output lines, status and run time of one benchmark."""

    bench: str
    command: str
    status: str
    elapsed_s: float
    lines: tuple[str, ...]


BENCHMARKS = (
    Benchmark("planner_suite", ("--seed", str(_SEED)), 60),
    Benchmark("shares", ("--workspaces", "10", "--seed", str(_SEED)), 40),
    Benchmark("slopes", (), 15),
    Benchmark("routing", (), 70),
    Benchmark("map_switch", (), 60),
    Benchmark("retries", (), 10),
    Benchmark("configuration", (), 15),
    Benchmark("relay", ("--streams", "100"), 30),
)


def run_benchmark(bench: Benchmark) -> Report:
    """Run one benchmark in a subprocess, up to its time limit."""
    command = [sys.executable, "-m", f"bench.{bench.name}", *bench.arguments]
    started_s = time.monotonic()
    try:
        completed = subprocess.run(
            command, cwd=_ROOT, capture_output=True, text=True, timeout=bench.timeout_s
        )
        output = completed.stdout
        status = (
            "done" if completed.returncode == 0 else f"failed ({completed.returncode})"
        )
    except subprocess.TimeoutExpired as expired:
        output = expired.stdout.decode() if isinstance(expired.stdout, bytes) else ""
        status = f"stopped after {bench.timeout_s} s"
    elapsed_s = round(time.monotonic() - started_s, 1)
    lines = tuple(output.splitlines())
    return Report(bench.name, bench.command, status, elapsed_s, lines)


def write_page(reports: list[Report], path: Path) -> None:
    """Write the page of measurements, each with its command, date and status."""
    today = date.today().isoformat()
    parts = ["# Measurements", "", "Written by `make bench`; do not edit by hand.", ""]
    for report in reports:
        parts += [
            f"## {report.bench}",
            "",
            f"`{report.command}`, {today}: {report.status}, " f"{report.elapsed_s} s.",
            "",
            *_table(report.lines),
            "",
        ]
    path.write_text("\n".join(parts).rstrip() + "\n")


def _table(lines: tuple[str, ...]) -> list[str]:
    """Return a Markdown table if all lines are JSON objects, else a code block."""
    try:
        rows = [json.loads(line) for line in lines]
    except ValueError:
        return ["```", *lines, "```"]
    if not rows or any(not isinstance(row, dict) for row in rows):
        return ["```", *lines, "```"]
    keys = [*rows[0]]
    body = [
        "| " + " | ".join(str(row.get(key, "")) for key in keys) + " |" for row in rows
    ]
    return ["| " + " | ".join(keys) + " |", "|---" * len(keys) + "|", *body]


@click.command()
@click.option("--skip", multiple=True, help="Name of a benchmark to skip.")
@click.option(
    "--only", multiple=True, help="Name of a benchmark to run; others are skipped."
)
def main(skip: tuple[str, ...], only: tuple[str, ...]) -> None:
    """Run the benchmarks, print a JSON line for each, and write page and plots."""
    chosen = [
        bench
        for bench in BENCHMARKS
        if bench.name not in skip and (not only or bench.name in only)
    ]
    reports = []
    for bench in chosen:
        reports.append(run_benchmark(bench))
        print(json.dumps(asdict(reports[-1])), flush=True)
    plots = _ROOT / "docs" / "plots"
    plots.mkdir(parents=True, exist_ok=True)
    lines_by_bench = {
        report.bench: [json.loads(line) for line in report.lines]
        for report in reports
        if report.bench in ("planner_suite", "shares", "slopes")
    }
    plot_planner(lines_by_bench.get("planner_suite", []), plots / "planner.png")
    plot_shares(lines_by_bench.get("shares", []), plots / "shares.png")
    plot_slopes(lines_by_bench.get("slopes", []), plots / "slopes.png")
    write_page(reports, _ROOT / "docs" / "measurements.md")


if __name__ == "__main__":
    main()
