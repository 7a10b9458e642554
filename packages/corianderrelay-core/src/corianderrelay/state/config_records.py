"""Records of the ``config`` stream, stored as zlib-compressed JSON.

Every process reads every record, and a document with hundreds of workspaces is mostly
repeated names, so compression saves bandwidth. Uncompressed JSON is accepted as well.
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
    """Base class of the records; the ``type`` field selects the subclass."""


class ConfigRecord(_Record, tag="config", frozen=True, kw_only=True):
    """A new document from an operator; ``base`` is the version that it replaces.

    ``time_s`` is the publishing process's wall clock, in seconds since 1970. It is for
    display only; validation ignores it.
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
    """A copy of the active version, for readers that missed its original record.

    ``as_of`` is the last offset that the writer had read. A late reader continues from
    there, so that it reaches the same verdicts on later records as all others.
    ``written_s`` is the writer's wall clock, in seconds since 1970.
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
    """Return a record as compressed JSON."""
    return zlib.compress(_ENCODER.encode(record), _COMPRESSION_LEVEL)


def decode_config_record(data: bytes) -> Result[AnyConfigRecord, FrameError]:
    """Return the record in ``data``; an error if it is malformed.

    All readers skip malformed records.
    """
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
        raise zlib.error(
            f"record is truncated or over {MAX_RECORD_BYTES} bytes uncompressed"
        )
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
