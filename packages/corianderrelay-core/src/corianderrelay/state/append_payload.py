"""The payload of one append: many records, and the nonce by which copies are known.

An append whose answer was lost may be sent again and both copies may be kept. The
nonce is the appender's identity and a number that grows with each append, so a reader
needs one number for each appender to leave later copies out.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from .errors import FrameError


class AppendPayload(Struct, array_like=True, frozen=True):
    """What one append holds.

    :param appender: identity of the appender; a new one for each start of a process.
    :param sequence: grows by one with each append of this appender to this stream.
    """

    appender: str
    sequence: int
    records: list[bytes]


@dataclass(slots=True, frozen=True, order=True)
class RecordPosition:
    """Where a record is in its stream.

    :param index: position among the records of the same append.
    """

    offset: int
    index: int


@dataclass(slots=True, frozen=True)
class PositionedRecord:
    """A record and where it is."""

    position: RecordPosition
    record: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AppendPayload)


def encode_payload(payload: AppendPayload) -> bytes:
    """Return the bytes of a payload."""
    return _ENCODER.encode(payload)


def decode_payload(data: bytes) -> Result[AppendPayload, FrameError]:
    """Return the payload of ``data``, or why it is none."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(
            FrameError(
                f"a payload of the log is malformed: {error}",
                "let only processes of this version append to the stream",
            )
        )


class RecordReader:
    """Turns a stream's payloads, in order, into its records without copies."""

    __slots__ = ("_last_by_appender",)

    def __init__(self) -> None:
        self._last_by_appender: dict[str, int] = {}

    def read(
        self, offset: int, data: bytes
    ) -> Result[list[PositionedRecord], FrameError]:
        """Return the records of the payload at ``offset``; none if it is a copy."""
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
