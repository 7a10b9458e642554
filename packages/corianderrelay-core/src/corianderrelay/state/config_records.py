"""Records of the ``config`` stream, kept as JSON that is compressed by zlib.

A document of hundreds of workspaces is mostly repeated names; every process reads every
record, so its size counts. Plain JSON is read as well.
"""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from result import Err, Ok, Result

from .document import Document
from .errors import FrameError

CONFIG_STREAM = "config"
MAX_RECORD_BYTES = 16 * 1024 * 1024
_COMPRESSION_LEVEL = 1
_JSON_START = b"{"
Version = Annotated[int, Meta(ge=1)]
Offset = Annotated[int, Meta(ge=-1)]


class RecordHead(Struct, frozen=True, kw_only=True):
    """A published record without its document."""

    version: int
    base: int
    author: str
    time_s: float
    nonce: str
    note: str


class _Record(Struct, frozen=True, tag_field="type", kw_only=True):
    """Base of the records; ``type`` names the class."""


class ConfigRecord(_Record, tag="config", frozen=True, kw_only=True):
    """An operator's new document, based on the version that it replaces.

    ``time_s`` is the publishing process's wall clock, in seconds since 1970; it is
    shown to people and decides nothing.
    """

    version: Version
    base: Annotated[int, Meta(ge=0)]
    document: Document
    author: str
    time_s: float
    nonce: str
    note: str = ""

    @property
    def head(self) -> RecordHead:
        """The record without its document."""
        return RecordHead(
            version=self.version,
            base=self.base,
            author=self.author,
            time_s=self.time_s,
            nonce=self.nonce,
            note=self.note,
        )


class RefreshRecord(_Record, tag="refresh", frozen=True, kw_only=True):
    """The version in force, unchanged, for readers that come late.

    ``as_of`` is the last offset that its writer had read: a late reader goes on from
    there, so that it judges all later records as everybody does. ``written_s`` is the
    writer's wall clock, in seconds since 1970.
    """

    version: Version
    document: Document
    author: str
    time_s: float
    as_of: Offset
    written_s: float


AnyConfigRecord = ConfigRecord | RefreshRecord

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyConfigRecord)


def encode_config_record(record: AnyConfigRecord) -> bytes:
    """Return the bytes of a record."""
    return zlib.compress(_ENCODER.encode(record), _COMPRESSION_LEVEL)


def decode_config_record(data: bytes) -> Result[AnyConfigRecord, FrameError]:
    """Return the record of ``data``, or why all readers pass over it."""
    try:
        return Ok(_DECODER.decode(_decompress(data)))
    except (msgspec.DecodeError, zlib.error) as error:
        return Err(
            FrameError(
                f"a record of the config stream is malformed: {error}",
                "publish documents with `corianderrelay config publish`",
            )
        )


def _decompress(data: bytes) -> bytes:
    if data.startswith(_JSON_START):
        return data
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_RECORD_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"it is cut off or over {MAX_RECORD_BYTES} bytes")
    return text


__all__ = [
    "AnyConfigRecord",
    "CONFIG_STREAM",
    "ConfigRecord",
    "MAX_RECORD_BYTES",
    "RecordHead",
    "RefreshRecord",
    "decode_config_record",
    "encode_config_record",
]
