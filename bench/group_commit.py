"""Simulates group commit and measures claims per append and added latency.

Runs in virtual time: seven entries, each with one appender per partition, share a log
that accepts 300 appends per second and responds after a fixed round trip.
``python -m bench.group_commit`` prints one JSON line for each rate.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from dataclasses import dataclass, field
from typing import Any

import click

from corianderrelay.state.append_queue import (
    AppendLimits,
    AppendQueue,
    RecordResult,
    SendAppend,
    WaitUntil,
)

from tests.standins.log_store import LogFaults, LogStore

_ROUND_TRIP_S = 0.002
_RECORD = b"c" * 160
_MS_PER_S = 1000.0


@dataclass
class _Simulation:
    """Event queue in virtual time, with the outcome of each record."""

    store: LogStore
    queues: list[AppendQueue]
    now: float = 0.0
    events: list[tuple[float, int, Any]] = field(default_factory=list)
    submitted_at: dict[tuple[int, int], float] = field(default_factory=dict)
    latencies_s: list[float] = field(default_factory=list)
    appends: int = 0
    throttled: int = 0
    refused: int = 0
    _sequence: Any = field(default_factory=itertools.count)

    def schedule(self, delay_s: float, call: Any) -> None:
        """Schedule a call after a delay in seconds."""
        heapq.heappush(self.events, (self.now + delay_s, next(self._sequence), call))

    def run(self) -> None:
        """Run until the event queue is empty."""
        while self.events:
            self.now, _, call = heapq.heappop(self.events)
            call()

    def submit(self, appender: int) -> None:
        """Submit one claim to an appender's queue."""
        submitted = self.queues[appender].submit(_RECORD, self.now)
        if submitted.is_err():
            self.refused += 1
            return
        self.submitted_at[(appender, submitted.unwrap())] = self.now
        self.run_next_action(appender)

    def run_next_action(self, appender: int) -> None:
        """Execute the next action of an appender's queue."""
        match self.queues[appender].next_action(self.now):
            case SendAppend(payload):
                self.schedule(
                    _ROUND_TRIP_S / 2, lambda: self._append(appender, payload)
                )
            case WaitUntil(at):
                self.schedule(at - self.now, lambda: self.run_next_action(appender))

    def _append(self, appender: int, payload: bytes) -> None:
        appended = self.store.append(f"claims-{appender}", payload, self.now)
        self.schedule(
            _ROUND_TRIP_S / 2, lambda: self._deliver_response(appender, appended)
        )

    def _deliver_response(self, appender: int, appended: Any) -> None:
        queue = self.queues[appender]
        if appended.is_err():
            self.throttled += 1
            queue.on_throttled(appended.err_value.retry_after_s, self.now)
        else:
            self.appends += 1
            self._record_latencies(
                appender, queue.on_appended(appended.ok_value, self.now)
            )
        self.run_next_action(appender)

    def _record_latencies(self, appender: int, settled: list[RecordResult]) -> None:
        for settled_record in settled:
            submitted_s = self.submitted_at.pop((appender, settled_record.ticket))
            self.latencies_s.append(self.now - submitted_s)


def _measure_rate(
    claims_per_s: float, seconds: float, appenders: int, seed: int
) -> dict[str, Any]:
    """Simulate one claim rate and return its measurements."""
    generator = random.Random(seed)
    limits = AppendLimits()
    queues = [AppendQueue(str(number), limits) for number in range(appenders)]
    simulation = _Simulation(LogStore(LogFaults(appends_per_s=300.0)), queues)
    arrival_s = 0.0
    while (arrival_s := arrival_s + generator.expovariate(claims_per_s)) < seconds:
        appender = generator.randrange(appenders)
        simulation.schedule(
            arrival_s, lambda appender=appender: simulation.submit(appender)
        )
    simulation.run()
    latencies = sorted(simulation.latencies_s)
    return {
        "claims_per_s": claims_per_s,
        "claims": len(latencies),
        "refused": simulation.refused,
        "appends_per_s": round(simulation.appends / seconds, 1),
        "throttled_per_s": round(simulation.throttled / seconds, 1),
        "claims_per_append": round(len(latencies) / max(1, simulation.appends), 2),
        "added_ms_p50": _added_ms(latencies, 0.50),
        "added_ms_p99": _added_ms(latencies, 0.99),
        "added_ms_max": _added_ms(latencies, 1.0),
    }


def _added_ms(latencies: list[float], quantile: float) -> float:
    """Return a quantile of the latency beyond one round trip, in milliseconds."""
    index = min(len(latencies) - 1, int(quantile * len(latencies)))
    return round((latencies[index] - _ROUND_TRIP_S) * _MS_PER_S, 2)


@click.command()
@click.option("--seconds", default=60.0, help="Simulated seconds for each rate.")
@click.option(
    "--appenders", default=28, help="Number of appenders: entries times partitions."
)
@click.option("--seed", default=1)
def main(seconds: float, appenders: int, seed: int) -> None:
    """Print one JSON line of measurements for each claim rate."""
    for claims_per_s in (1.0, 10.0, 100.0, 1000.0):
        click.echo(json.dumps(_measure_rate(claims_per_s, seconds, appenders, seed)))


if __name__ == "__main__":
    main()
