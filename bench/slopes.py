"""Measures how memory and processor time grow with size, for docs/CAPACITY.md.

Each quantity is measured at several sizes and fitted by a line, whose slope is the cost
of one additional item.
"""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from functools import partial

import click
import msgspec
import numpy as np

from corianderrelay.protocol.codec import decode_message, encode_message
from corianderrelay.protocol.messages import Heartbeat
from corianderrelay.state.call import Call
from corianderrelay.state.claim_records import ClaimRecord
from corianderrelay.state.claims import ClaimFold
from corianderrelay.state.config_fold import ConfigFold
from corianderrelay.state.config_records import ConfigRecord
from corianderrelay.state.document import (
    Document,
    Service,
    ServiceKind,
    Share,
    Workspace,
)
from corianderrelay.state.expert_map import ExpertMap
from corianderrelay.state.expert_placement import plan_placement
from corianderrelay.state.expert_planner import ExpertPlanner
from corianderrelay.state.members import ListedInstance, Members
from corianderrelay.state.runner_load import LoadReport, RunnerLoad
from corianderrelay.state.shares import ShareQueue, WaitingRequest
from corianderrelay_entry.state.open_request import OpenRequest

from bench import traces
from bench.planner import planner_rules

_REPEATS = 5


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to measurements: value = intercept + slope * size."""

    quantity: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    r_squared: float


def fit_line(
    quantity: str, unit: str, sizes: tuple[int, ...], values: list[float]
) -> Slope:
    """Fit a line to the values by least squares."""
    slope, intercept = np.polyfit(sizes, values, 1)
    residual = np.array(values) - (slope * np.array(sizes) + intercept)
    spread = float(np.var(values))
    r_squared = 1.0 - float(np.var(residual)) / spread if spread else 1.0
    return Slope(
        quantity,
        unit,
        sizes,
        tuple(round(value, 3) for value in values),
        round(float(slope), 4),
        round(float(intercept), 3),
        round(r_squared, 4),
    )


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that the result of ``build`` keeps allocated."""
    build()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return float(after - before)


def min_cpu_us(work: Callable[[], object], count: int) -> float:
    """Return the least processor time of ``count`` calls, in microseconds.

    The minimum over several repeats excludes disturbances by other processes.
    """
    times = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        for _ in range(count):
            work()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6


def _document(workspaces: int, services: int) -> Document:
    names = [f"service-{index}" for index in range(services)]
    return Document(
        workspaces_by_name={
            f"workspace-{index}": Workspace(
                key_digests=[f"{index:064x}"], services=names[:2] or ["none"]
            )
            for index in range(workspaces)
        },
        services_by_name={
            name: Service(kind=ServiceKind.MODEL, model=f"model-{name}")
            for name in names
        },
    )


def _document_decoder(workspaces: int, services: int) -> Callable[[], Document]:
    encoded = msgspec.json.encode(_document(workspaces, services))
    return lambda: msgspec.json.decode(encoded, type=Document)


def _share_queue(waiting: int) -> ShareQueue:
    queue = ShareQueue(1, {"w": Share(guaranteed=1.0)}, 1000.0)
    for index in range(waiting):
        queue.submit(WaitingRequest(f"request-{index}", "w", 100, 1e9), 0.0)
    return queue


def _heartbeat_codec(count: int) -> Callable[[], object]:
    heartbeat = Heartbeat(sequence=1, config_version=9, running=30)
    frame = encode_message(heartbeat)

    def work() -> None:
        for _ in range(count):
            decode_message(frame)
            encode_message(heartbeat)

    return work


def _claim_records(keys: int) -> list[ClaimRecord]:
    return [
        ClaimRecord(
            key=f"workspace-{index % 410}/key-{index}",
            digest=f"{index:064x}",
            workspace=f"workspace-{index % 410}",
            service="shopfront",
            entry_id=f"entry-{index % 6}",
            nonce=f"{index:032x}",
            runner_id=f"runner-{index % 12}",
            incarnation=1,
            ticket_id=index,
        )
        for index in range(keys)
    ]


def _claim_fold(payloads: list[bytes]) -> ClaimFold:
    fold = ClaimFold()
    for offset, payload in enumerate(payloads):
        record = msgspec.msgpack.decode(payload, type=ClaimRecord)
        fold.apply(offset, 0, record, 0.0)
    return fold


def _claim_payloads(keys: int) -> list[bytes]:
    return [msgspec.msgpack.encode(record) for record in _claim_records(keys)]


def _members_and_loads(count: int) -> tuple[Members, list[RunnerLoad]]:
    members = Members()
    members.seed(
        [
            ListedInstance(f"runner-{index}", f"10.0.0.{index}", 8000, "zone-1")
            for index in range(count)
        ],
        0.0,
    )
    loads = [RunnerLoad(zone="zone-1") for _ in range(count)]
    for load in loads:
        load.record_report(LoadReport(100.0, 4000.0, 3), 0.0)
    return members, loads


def _open_requests(count: int) -> list[OpenRequest]:
    return [
        OpenRequest(
            Call(
                request_id=f"request-{index}",
                workspace="workspace",
                service="assistant",
                method="POST",
                path="/v1/chat/completions",
                content_type="application/json",
                body=bytes(1000),
                deadline_s=100.0,
            ),
            0.0,
        )
        for index in range(count)
    ]


def _config_folder(count: int) -> Callable[[], object]:
    document = _document(410, 4)
    records = [
        ConfigRecord(
            version=index + 1,
            base=index,
            document=document,
            author="operator",
            time_s=0.0,
            nonce=str(index),
        )
        for index in range(count)
    ]

    def work() -> None:
        fold = ConfigFold()
        for offset, record in enumerate(records):
            fold.apply(offset, record)

    return work


def _planner_decider(ranks: int) -> Callable[[], object]:
    loads = traces.generate("drift", 1, duration_s=60)
    planner = ExpertPlanner(planner_rules(2, 4.0, 1.0))
    expert_map = plan_placement(loads[0].tolist(), ranks, 2)
    load = tuple(loads[-1].tolist())
    return lambda: planner.decide(expert_map, load, 2.0, 0.0)


def _expert_map(ranks: int) -> ExpertMap:
    return plan_placement([float(expert) for expert in range(64)], ranks, 2)


def measure_slopes() -> Iterator[Slope]:
    """Measure and yield all slopes."""
    sizes = (50, 200, 410, 800)
    yield fit_line(
        "configuration document, by workspace",
        "bytes",
        sizes,
        [allocated_bytes(_document_decoder(size, 4)) for size in sizes],
    )
    yield fit_line(
        "configuration document, by service",
        "bytes",
        sizes,
        [allocated_bytes(_document_decoder(10, size)) for size in sizes],
    )
    yield fit_line(
        "decode of a changed document, by workspace",
        "us",
        sizes,
        [min_cpu_us(_document_decoder(size, 4), 1) for size in sizes],
    )
    requests = (100, 1000, 4000)
    yield fit_line(
        "shares, by waiting request",
        "bytes",
        requests,
        [allocated_bytes(partial(_share_queue, size)) for size in requests],
    )
    counts = (100, 1000, 5000)
    yield fit_line(
        "heartbeats decoded and encoded",
        "us",
        counts,
        [min_cpu_us(_heartbeat_codec(count), 1) for count in counts],
    )
    yield from _measure_folds()
    yield from _measure_entry()
    ranks = (32, 64, 128, 256)
    yield fit_line(
        "expert map in the coordinator, by rank",
        "bytes",
        ranks,
        [allocated_bytes(partial(_expert_map, size)) for size in ranks],
    )
    yield fit_line(
        "planner decision, by rank",
        "us",
        ranks,
        [min_cpu_us(_planner_decider(size), 1) for size in ranks],
    )


def _measure_folds() -> Iterator[Slope]:
    keys = (500, 2000, 8000)
    payloads = [_claim_payloads(size) for size in keys]
    yield fit_line(
        "claims fold, by key kept",
        "bytes",
        keys,
        [allocated_bytes(partial(_claim_fold, part)) for part in payloads],
    )
    yield fit_line(
        "claims fold, by record",
        "us",
        keys,
        [min_cpu_us(partial(_claim_fold, part), 1) for part in payloads],
    )
    records = (100, 400, 1600)
    yield fit_line(
        "configuration fold of 410 workspaces, by record",
        "us",
        records,
        [min_cpu_us(_config_folder(size), 1) for size in records],
    )


def _measure_entry() -> Iterator[Slope]:
    runners = (100, 400, 1600, 4900)
    yield fit_line(
        "members and loads of an entry, by runner",
        "bytes",
        runners,
        [allocated_bytes(partial(_members_and_loads, size)) for size in runners],
    )
    requests = (100, 1000, 4000)
    yield fit_line(
        "open requests of an entry with 1,000 bytes of body, by request",
        "bytes",
        requests,
        [allocated_bytes(partial(_open_requests, size)) for size in requests],
    )


@click.command()
def main() -> None:
    """Print one JSON line for each slope."""
    for slope in measure_slopes():
        print(json.dumps(asdict(slope)), flush=True)


if __name__ == "__main__":
    main()
