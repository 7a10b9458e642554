"""Records of the stream of suspects: deaths, trials, trial ends, lifted quarantines."""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct


class TrialOutcome(Enum):
    """The outcome of a trial."""

    DONE = "done"
    DIED = "died"
    NOT_RUN = "not_run"


class SuspectRecord(Struct, frozen=True, tag_field="type"):
    """Base of all records; each record concerns one fingerprint."""

    fingerprint: str


class DeathRecord(SuspectRecord, tag="death", frozen=True):
    """The request was running when an engine died.

    :param death_id: identifies the engine's death, so that duplicate reports of one
        death count once.
    """

    death_id: str


class TrialRecord(SuspectRecord, tag="trial", frozen=True):
    """An entry requests to run the suspect alone; the first such record wins."""

    nonce: str
    entry_id: str


class TrialEndRecord(SuspectRecord, tag="trial_end", frozen=True):
    """A trial has ended; ``death_id`` identifies the engine death, if there was one."""

    nonce: str
    outcome: TrialOutcome
    death_id: str = ""


class LiftRecord(SuspectRecord, tag="lift", frozen=True):
    """An operator has lifted the quarantine."""

    author: str


AnySuspectRecord = DeathRecord | TrialRecord | TrialEndRecord | LiftRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnySuspectRecord] = msgspec.msgpack.Decoder(
    AnySuspectRecord
)


def encode_suspect_record(record: AnySuspectRecord) -> bytes:
    """Return the encoded record."""
    return _ENCODER.encode(record)


def decode_suspect_record(payload: bytes) -> AnySuspectRecord | None:
    """Return the record in a payload; ``None`` if the payload is malformed."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None


__all__ = [
    "AnySuspectRecord",
    "DeathRecord",
    "LiftRecord",
    "SuspectRecord",
    "TrialEndRecord",
    "TrialOutcome",
    "TrialRecord",
    "decode_suspect_record",
    "encode_suspect_record",
]
