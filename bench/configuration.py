"""Time until a configuration is in force everywhere, and what following it costs.

The first part runs followers on a virtual clock; the second measures processor time of
decoding, judging and comparing documents of the size in two years.
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
_WALL_S = 1.8e9
_STEP_S = 0.001
_ANSWER_S = 0.005
_WORKSPACES = 410
_MODELS = 4
_CHANGES_A_DAY = 14_000
_DAY_S = 86_400


@dataclass(slots=True)
class Spread:
    """When the followers took one version, counted from its append, in seconds."""

    first_s: float
    median_s: float
    last_s: float


def measure_spread(followers: int, outage_s: float) -> Spread:
    """Publish one document and note when each follower takes it.

    :param outage_s: how long the log is out from right after the append, in seconds.
    """
    clock = Clock()
    faults = LogFaults(retention_s=_RETENTION_S)
    log = VirtualLog(clock, faults, _ANSWER_S)
    taken_at: list[float] = []

    def take(held: ActiveVersion) -> None:
        taken_at.append(float(clock.seconds()))

    started = [_follower(log, clock, number, take) for number in range(followers)]
    _run(clock, 1.0)
    published_at = clock.seconds()
    started[0].publish(0, build_document(0), "operator", "nonce").addErrback(print)
    if outage_s:
        faults.outage = True
        _run(clock, outage_s)
        faults.outage = False
    _run(clock, 8.0)
    assert len(taken_at) == followers, len(taken_at)
    delays = [moment - published_at for moment in taken_at]
    return Spread(min(delays), statistics.median(delays), max(delays))


def build_document(number: int) -> Document:
    """Return a document of the size in two years; each number gives another."""
    names = [f"workspace-{place}" for place in range(_WORKSPACES)]
    share = 1.0 / _WORKSPACES
    return Document(
        workspaces_by_name={
            name: Workspace(
                key_digests=[_digest(f"{place} {number // _WORKSPACES}")],
                services=["model-0", "orders"],
            )
            for place, name in enumerate(names)
        },
        services_by_name={
            f"model-{place}": Service(
                kind=ServiceKind.MODEL, model=f"model-{place}", group=f"group-{place}"
            )
            for place in range(_MODELS)
        }
        | {"orders": Service(kind=ServiceKind.PLAIN)},
        groups_by_name={
            f"group-{place}": Group(
                ranks=256,
                experts=64,
                slots_per_rank=2,
                shares_by_workspace={name: Share(guaranteed=share) for name in names},
            )
            for place in range(_MODELS)
        },
    )


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True)
class FoldCost:
    """Processor time of one record, in milliseconds, and its size in bytes."""

    accepted_ms: float
    rejected_ms: float
    record_bytes: int


def measure_fold(changes: int) -> FoldCost:
    """Fold that many accepted changes, each followed by one rejected for its base."""
    fold = ConfigFold()
    accepted = [_payload(number, number - 1) for number in range(1, changes + 1)]
    rejected = [_payload(number, number - 1) for number in range(1, changes + 1)]
    accepted_s = rejected_s = 0.0
    for place in range(changes):
        accepted_s += _fold_one(fold, 2 * place, accepted[place], expected=True)
        rejected_s += _fold_one(fold, 2 * place + 1, rejected[place], expected=False)
    return FoldCost(
        accepted_s / changes * 1000, rejected_s / changes * 1000, len(accepted[0])
    )


def _fold_one(fold: ConfigFold, offset: int, payload: bytes, expected: bool) -> float:
    started = time.process_time()
    record = decode_config_record(payload).unwrap()
    (verdict,) = fold.apply(offset, record)
    spent_s = time.process_time() - started
    assert verdict.accepted is expected, verdict.reason
    return spent_s


def _payload(version: int, base: int) -> bytes:
    record = ConfigRecord(
        version=version,
        base=base,
        document=build_document(version),
        author="operator",
        time_s=_WALL_S,
        nonce=f"nonce-{version}",
    )
    return encode_config_record(record)


def _follower(
    log: VirtualLog, clock: Clock, number: int, take: object
) -> ConfigFollower:
    follower = ConfigFollower(
        log,
        clock,
        f"process-{number}",
        _RETENTION_S,
        lambda: _WALL_S + float(clock.seconds()),
        take,  # type: ignore[arg-type]
        lambda verdict: None,
    )
    follower.start()
    return follower


def _run(clock: Clock, seconds: float) -> None:
    for _ in range(round(seconds / _STEP_S)):
        clock.advance(_STEP_S)


@click.command()
@click.option("--changes", default=40, help="Changes folded for the cost.")
def main(changes: int) -> None:
    """Print both measurements."""
    click.echo(f"from append to in force, log answers after {_ANSWER_S * 1000:g} ms")
    click.echo("followers  outage s  first s  median s  last s")
    for followers, outage_s in ((7, 0.0), (30, 0.0), (330, 0.0), (330, 5.0)):
        spread = measure_spread(followers, outage_s)
        click.echo(
            f"{followers:9d}  {outage_s:8g}  {spread.first_s:7.3f}  "
            f"{spread.median_s:8.3f}  {spread.last_s:6.3f}"
        )
    cost = measure_fold(changes)
    share = cost.accepted_ms / 1000 * _CHANGES_A_DAY / _DAY_S
    click.echo(
        f"record of {cost.record_bytes} bytes ({_WORKSPACES} workspaces): accepted "
        f"{cost.accepted_ms:.2f} ms, rejected in a race {cost.rejected_ms:.2f} ms"
    )
    click.echo(
        f"{_CHANGES_A_DAY} changes a day: {share:.3%} of a core, "
        f"{cost.record_bytes * _CHANGES_A_DAY / _DAY_S / 1000:.1f} KB a second"
    )


if __name__ == "__main__":
    main()
