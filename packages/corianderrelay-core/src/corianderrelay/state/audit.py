"""Audit records of operational changes; they hold no secrets or request content."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .claim_records import ClaimRecord, Outcome
    from .config_fold import Verdict
    from .switch_rules import SwitchReport

AUDIT_STREAM = "audit"
_MAX_REASON_CHARS = 500


class AuditKind(Enum):
    """The kind of change that an audit record describes."""

    CONFIG_ACCEPTED = "config_accepted"
    CONFIG_REJECTED = "config_rejected"
    CLAIM_SETTLED = "claim_settled"
    ENTRY_DRAINED = "entry_drained"
    MAP_SWITCHED = "map_switched"
    QUARANTINED = "quarantined"


class AuditRecord(Struct, frozen=True, omit_defaults=True, kw_only=True):
    """One change: its kind, author, time, reason and position in the log.

    ``identity`` is the same in all records of one change, so that readers can drop the
    duplicates that several processes write. ``offset`` is the offset in ``stream`` of
    the record that decided the change; -1 if there is none. ``time_s`` is the writer's
    wall clock, in seconds since 1970.
    """

    kind: AuditKind
    identity: str
    who: str
    time_s: float
    why: str
    workspace: str = ""
    subject: str = ""
    stream: str = ""
    offset: int = -1


@dataclass(slots=True, frozen=True)
class AuditFilter:
    """Criteria for selecting records; a criterion that is ``None`` matches all.

    :param since_s: earliest time, inclusive, in seconds since 1970.
    :param until_s: latest time, inclusive, in seconds since 1970.
    """

    kind: AuditKind | None = None
    workspace: str | None = None
    since_s: float | None = None
    until_s: float | None = None

    def matches(self, record: AuditRecord) -> bool:
        """Whether a record meets all criteria."""
        return (
            self.kind in (None, record.kind)
            and self.workspace in (None, record.workspace)
            and (self.since_s is None or record.time_s >= self.since_s)
            and (self.until_s is None or record.time_s <= self.until_s)
        )


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AuditRecord)


def encode_audit_records(records: Iterable[AuditRecord]) -> bytes:
    """Return the payload of an append: one line of JSON per record."""
    return _ENCODER.encode_lines(records)


def decode_audit_records(payload: bytes) -> list[AuditRecord]:
    """Return the records of an append's payload; malformed lines are skipped."""
    decoded = map(_decode_line, payload.splitlines())
    return [record for record in decoded if record is not None]


def _decode_line(line: bytes) -> AuditRecord | None:
    try:
        return _DECODER.decode(line)
    except msgspec.DecodeError:
        return None


def select_records(
    records: Iterable[AuditRecord], record_filter: AuditFilter
) -> Iterator[AuditRecord]:
    """Yield the records that match the filter, one per change."""
    seen_identities: set[str] = set()
    for record in records:
        if record.identity not in seen_identities and record_filter.matches(record):
            seen_identities.add(record.identity)
            yield record


def config_audit_record(verdict: Verdict, stream: str) -> AuditRecord:
    """Return the audit record of a published document and its verdict."""
    record = verdict.record
    accepted = verdict.reason is None
    changed = "; ".join(str(change) for change in verdict.changes) or "nothing changed"
    why = changed if verdict.reason is None else verdict.reason.value
    return AuditRecord(
        kind=AuditKind.CONFIG_ACCEPTED if accepted else AuditKind.CONFIG_REJECTED,
        identity=f"{stream}/{verdict.offset}/{record.nonce}",
        who=record.author,
        time_s=record.time_s,
        why=why[:_MAX_REASON_CHARS],
        subject=f"version {record.version}",
        stream=stream,
        offset=verdict.offset,
    )


def switch_audit_record(
    report: SwitchReport, group: str, instance_id: str, now_s: float
) -> AuditRecord:
    """Return the audit record of an attempt to switch a group's expert map.

    :param now_s: wall-clock time in seconds since 1970.
    """
    attempt = report.attempt
    outcome = "committed" if report.committed else "not committed"
    return AuditRecord(
        kind=AuditKind.MAP_SWITCHED,
        identity=f"groups/{group}/{attempt.epoch}/{attempt.number}",
        who=instance_id,
        time_s=now_s,
        why=f"{outcome}: {report.reason}"[:_MAX_REASON_CHARS],
        subject=f"{group} map {report.group_map.version} from step {report.step}",
        stream="groups",
        offset=attempt.epoch,
    )


def settlement_audit_record(
    claim: ClaimRecord, outcome: Outcome, entry_id: str, stream: str, now_s: float
) -> AuditRecord:
    """Return the audit record of a claim settled without the entry that made it.

    :param now_s: wall-clock time in seconds since 1970.
    """
    return AuditRecord(
        kind=AuditKind.CLAIM_SETTLED,
        identity=f"{stream}/{claim.nonce}/{outcome.value}",
        who=entry_id,
        time_s=now_s,
        why=f"{outcome.value}, as told by or of {claim.runner_id}",
        workspace=claim.workspace,
        subject=f"{claim.service} {claim.key}",
        stream=stream,
    )


__all__ = [
    "AUDIT_STREAM",
    "AuditFilter",
    "AuditKind",
    "AuditRecord",
    "config_audit_record",
    "decode_audit_records",
    "encode_audit_records",
    "select_records",
    "settlement_audit_record",
    "switch_audit_record",
]
