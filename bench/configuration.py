"""Measures the propagation delay of a configuration and the cost of folding it.

The first part runs followers on a virtual clock. The second part measures the processor
time to decode, validate and compare documents of the size expected in two years.
"""

from __future__ import annotations

import hashlib
import statistics
import time
from dataclasses import dataclass

import click
from twisted.internet.task import Clock

from corianderrelay.coordination.config_follower import ConfigFollower
from corianderrelay.state.config_fold import ActiveVersion, ConfigFold
from corianderrelay.state.config_records import (
    ConfigRecord,
    decode_config_record,
    encode_config_record,
)
from corianderrelay.state.document import (
    Document,
    Group,
    Service,
    ServiceKind,
    Share,
    Workspace,
)

from tests.standins.log_store import LogFaults
from tests.virtual_log import VirtualLog

_RETENTION_S = 86_400.0
_WALL_CLOCK_START_S = 1.8e9
_CLOCK_STEP_S = 0.001
_LOG_RESPONSE_S = 0.005
_WORKSPACES = 410
_MODELS = 4
_CHANGES_PER_DAY = 14_000
_DAY_S = 86_400


@dataclass(slots=True)
class PropagationDelay:
    """Delay from the append of a version until followers apply it, in seconds."""

    first_s: float
    median_s: float
    last_s: float


def measure_propagation(followers: int, outage_s: float) -> PropagationDelay:
    """Publish one document and measure when each follower applies it.

    :param outage_s: log outage in seconds, starting right after the append.
    """
    clock = Clock()
    faults = LogFaults(retention_s=_RETENTION_S)
    log = VirtualLog(clock, faults, _LOG_RESPONSE_S)
    applied_at: list[float] = []

    def on_version(active_version: ActiveVersion) -> None:
        applied_at.append(float(clock.seconds()))

    config_followers = [
        _start_follower(log, clock, number, on_version) for number in range(followers)
    ]
    _advance(clock, 1.0)
    published_at = clock.seconds()
    config_followers[0].publish(0, build_document(0), "operator", "nonce").addErrback(
        print
    )
    if outage_s:
        faults.outage = True
        _advance(clock, outage_s)
        faults.outage = False
    _advance(clock, 8.0)
    assert len(applied_at) == followers, len(applied_at)
    delays = [applied_s - published_at for applied_s in applied_at]
    return PropagationDelay(min(delays), statistics.median(delays), max(delays))


def build_document(number: int) -> Document:
    """Return a document of the size expected in two years.

    :param number: changes the key digests at each multiple of ``_WORKSPACES``.
    """
    names = [f"workspace-{index}" for index in range(_WORKSPACES)]
    share = 1.0 / _WORKSPACES
    return Document(
        workspaces_by_name={
            name: Workspace(
                key_digests=[_digest(f"{index} {number // _WORKSPACES}")],
                services=["model-0", "orders"],
            )
            for index, name in enumerate(names)
        },
        services_by_name={
            f"model-{index}": Service(
                kind=ServiceKind.MODEL, model=f"model-{index}", group=f"group-{index}"
            )
            for index in range(_MODELS)
        }
        | {"orders": Service(kind=ServiceKind.PLAIN)},
        groups_by_name={
            f"group-{index}": Group(
                ranks=256,
                experts=64,
                slots_per_rank=2,
                shares_by_workspace={name: Share(guaranteed=share) for name in names},
            )
            for index in range(_MODELS)
        },
    )


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True)
class FoldCost:
    """Processor time to fold one record, in milliseconds, and its size in bytes."""

    accepted_ms: float
    rejected_ms: float
    record_bytes: int


def measure_fold_cost(changes: int) -> FoldCost:
    """Fold accepted changes, each followed by one that is rejected for a stale base."""
    fold = ConfigFold()
    accepted = [_payload(number, number - 1) for number in range(1, changes + 1)]
    rejected = [_payload(number, number - 1) for number in range(1, changes + 1)]
    accepted_s = rejected_s = 0.0
    for index in range(changes):
        accepted_s += _fold_record(fold, 2 * index, accepted[index], expected=True)
        rejected_s += _fold_record(fold, 2 * index + 1, rejected[index], expected=False)
    return FoldCost(
        accepted_s / changes * 1000, rejected_s / changes * 1000, len(accepted[0])
    )


def _fold_record(
    fold: ConfigFold, offset: int, payload: bytes, expected: bool
) -> float:
    began_s = time.process_time()
    record = decode_config_record(payload).unwrap()
    (verdict,) = fold.apply(offset, record)
    cpu_s = time.process_time() - began_s
    assert verdict.accepted is expected, verdict.reason
    return cpu_s


def _payload(version: int, base: int) -> bytes:
    record = ConfigRecord(
        version=version,
        base=base,
        document=build_document(version),
        author="operator",
        time_s=_WALL_CLOCK_START_S,
        nonce=f"nonce-{version}",
    )
    return encode_config_record(record)


def _start_follower(
    log: VirtualLog, clock: Clock, number: int, on_version: object
) -> ConfigFollower:
    follower = ConfigFollower(
        log,
        clock,
        f"process-{number}",
        _RETENTION_S,
        lambda: _WALL_CLOCK_START_S + float(clock.seconds()),
        on_version,  # type: ignore[arg-type]
        lambda verdict: None,
    )
    follower.start()
    return follower


def _advance(clock: Clock, seconds: float) -> None:
    for _ in range(round(seconds / _CLOCK_STEP_S)):
        clock.advance(_CLOCK_STEP_S)


@click.command()
@click.option(
    "--changes",
    default=40,
    help="Number of accepted changes to fold for the cost measurement.",
)
def main(changes: int) -> None:
    """Print the propagation delays and the folding cost."""
    click.echo(f"append to activation, log response time {_LOG_RESPONSE_S * 1000:g} ms")
    click.echo("followers  outage s  first s  median s  last s")
    for followers, outage_s in ((7, 0.0), (30, 0.0), (330, 0.0), (330, 5.0)):
        delay = measure_propagation(followers, outage_s)
        click.echo(
            f"{followers:9d}  {outage_s:8g}  {delay.first_s:7.3f}  "
            f"{delay.median_s:8.3f}  {delay.last_s:6.3f}"
        )
    cost = measure_fold_cost(changes)
    share = cost.accepted_ms / 1000 * _CHANGES_PER_DAY / _DAY_S
    click.echo(
        f"record of {cost.record_bytes} bytes ({_WORKSPACES} workspaces): accepted "
        f"{cost.accepted_ms:.2f} ms, rejected as stale {cost.rejected_ms:.2f} ms"
    )
    click.echo(
        f"{_CHANGES_PER_DAY} changes per day: {share:.3%} of a core, "
        f"{cost.record_bytes * _CHANGES_PER_DAY / _DAY_S / 1000:.1f} KB per second"
    )


if __name__ == "__main__":
    main()
