"""The payload of one append: a batch of records and a nonce for deduplication.

An append whose answer was lost is retried, so the stream may hold duplicates. The nonce
consists of the appender's identity and a sequence number that grows with each append.
To skip duplicates, a reader only needs the last sequence number of each appender.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from .errors import FrameError


class AppendPayload(Struct, array_like=True, frozen=True):
    """The payload of one append.

    :param appender: identity of the appender; unique for each start of a process.
    :param sequence: grows by one with each append of this appender to this stream.
    :param records: the encoded records, in order.
    """

    appender: str
    sequence: int
    records: list[bytes]


@dataclass(slots=True, frozen=True, order=True)
class RecordPosition:
    """The position of a record in its stream.

    :param offset: offset of the append that holds the record.
    :param index: position among the records of that append.
    """

    offset: int
    index: int


@dataclass(slots=True, frozen=True)
class PositionedRecord:
    """An encoded record and its position."""

    position: RecordPosition
    record: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AppendPayload)


def encode_payload(payload: AppendPayload) -> bytes:
    """Return the encoded payload."""
    return _ENCODER.encode(payload)


def decode_payload(data: bytes) -> Result[AppendPayload, FrameError]:
    """Return the payload in ``data``; an error if it is malformed."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(
            FrameError(
                f"the payload of a log append is malformed: {error}",
                "check that only processes of this version append to the stream",
            )
        )


class RecordReader:
    """Decodes a stream's payloads in order and skips duplicate appends."""

    __slots__ = ("_last_by_appender",)

    def __init__(self) -> None:
        self._last_by_appender: dict[str, int] = {}

    def read(
        self, offset: int, data: bytes
    ) -> Result[list[PositionedRecord], FrameError]:
        """Decode the append at ``offset``; a duplicate append yields no records."""
        return decode_payload(data).map(lambda payload: self._accept(offset, payload))

    def _accept(self, offset: int, payload: AppendPayload) -> list[PositionedRecord]:
        last = self._last_by_appender.get(payload.appender, -1)
        if payload.sequence <= last:
            return []
        self._last_by_appender[payload.appender] = payload.sequence
        return [
            PositionedRecord(RecordPosition(offset, index), record)
            for index, record in enumerate(payload.records)
        ]


__all__ = [
    "AppendPayload",
    "PositionedRecord",
    "RecordPosition",
    "RecordReader",
    "decode_payload",
    "encode_payload",
]
