"""Records of the ``claims-<partition>`` streams, one class each.

A claim says which entry may dispatch a request that must not be repeated, and to
which incarnation of which agent. Records are kept as msgpack arrays; new fields go
last and have defaults.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from .errors import FrameError

MAX_RECORDS_PER_APPEND = 65_536
MAX_KEPT_ANSWER_BYTES = 16 * 1024


class Outcome(Enum):
    """What became of a claimed request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class _Record(Struct, array_like=True, frozen=True, tag_field="type"):
    """Base of the records; the first element of the array names the class."""


class ClaimRecord(_Record, tag="claim", frozen=True):
    """An entry asks to be the one that runs this key, on this runner.

    ``key`` is the scoped key, ``digest`` that of the request, ``incarnation`` and
    ``ticket_id`` are those of the ticket that the runner's agent gave. ``dated`` tells
    whether the caller's key carries its own date.
    """

    key: str
    digest: str
    workspace: str
    service: str
    entry_id: str
    nonce: str
    runner_id: str
    incarnation: int
    ticket_id: int
    dated: bool = True


class ReleaseRecord(_Record, tag="release", frozen=True):
    """The claim with this nonce was not run and will never be: the key is free."""

    key: str
    nonce: str
    entry_id: str


class OutcomeRecord(_Record, tag="outcome", frozen=True):
    """The claim with this nonce is done, or nobody can tell whether it ran.

    An answer larger than :data:`MAX_KEPT_ANSWER_BYTES` is recorded without its body.
    """

    key: str
    nonce: str
    entry_id: str
    outcome: Outcome
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True


class RememberedKeysRecord(_Record, tag="remembered", frozen=True):
    """Digests of all undated keys that were ever claimed up to an offset.

    ``digests`` holds 8 bytes a key, in ascending order. The record is appended again
    before half of the retention is over, so that no undated key is ever forgotten.
    ``written_s`` is the writer's wall clock, in seconds since 1970.
    """

    covered_offset: int
    digests: bytes
    written_s: float


AnyClaimRecord = ClaimRecord | ReleaseRecord | OutcomeRecord | RememberedKeysRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyClaimRecord)


def fencing_number(offset: int, index: int) -> int:
    """Return a claim's place in its stream as one growing number.

    :param offset: offset of the append that holds the claim.
    :param index: position of the claim among the records of that append.
    """
    return offset * MAX_RECORDS_PER_APPEND + index


def encode_claim_record(record: AnyClaimRecord) -> bytes:
    """Return the bytes of a record."""
    return _ENCODER.encode(record)


def decode_claim_record(data: bytes) -> Result[AnyClaimRecord, FrameError]:
    """Return the record of ``data``, or why it is none."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(
            FrameError(
                f"a record of the claims stream is malformed: {error}",
                "let only entries of this version append to the claims streams",
            )
        )


__all__ = [
    "AnyClaimRecord",
    "ClaimRecord",
    "MAX_KEPT_ANSWER_BYTES",
    "MAX_RECORDS_PER_APPEND",
    "Outcome",
    "OutcomeRecord",
    "ReleaseRecord",
    "RememberedKeysRecord",
    "decode_claim_record",
    "encode_claim_record",
    "fencing_number",
]
