"""Records of the ``claims-<partition>`` streams, one class each.

A claim names the entry that may dispatch a request which must run at most once, and
the agent incarnation that may run it. Records are stored as msgpack arrays, so new
fields must be added at the end and need a default.
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
    """The outcome of a claimed request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class _Record(Struct, array_like=True, frozen=True, tag_field="type"):
    """Base of the records; the first array element is the class's tag."""


class ClaimRecord(_Record, tag="claim", frozen=True):
    """An entry requests the exclusive right to run this key on this runner.

    ``key`` is the scoped key and ``digest`` the digest of the request. ``incarnation``
    and ``ticket_id`` come from the ticket that the runner's agent granted. ``dated``
    tells whether the caller's key carries a date (UUIDv7).
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
    """The claim with this nonce did not run and never will; the key is free again."""

    key: str
    nonce: str
    entry_id: str


class OutcomeRecord(_Record, tag="outcome", frozen=True):
    """The claim with this nonce completed, or its outcome cannot be determined.

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
    """Digests of all undated keys that were claimed up to ``covered_offset``.

    ``digests`` holds 8 bytes for each key, in ascending order. A new record is appended
    before half of the retention has passed, so that retention never removes the only
    record of an undated key. ``written_s`` is the writer's wall clock, in seconds since
    1970.
    """

    covered_offset: int
    digests: bytes
    written_s: float


AnyClaimRecord = ClaimRecord | ReleaseRecord | OutcomeRecord | RememberedKeysRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyClaimRecord)


def fencing_number(offset: int, index: int) -> int:
    """Return a claim's fencing number, which grows with its position in the stream.

    :param offset: offset of the append that holds the claim.
    :param index: position of the claim among the records of that append.
    """
    return offset * MAX_RECORDS_PER_APPEND + index


def encode_claim_record(record: AnyClaimRecord) -> bytes:
    """Return the encoded record."""
    return _ENCODER.encode(record)


def decode_claim_record(data: bytes) -> Result[AnyClaimRecord, FrameError]:
    """Return the record in ``data``; an error if it is malformed."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(
            FrameError(
                f"a record of the claims stream is malformed: {error}",
                "check that only entries of this version append to the claims streams",
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
