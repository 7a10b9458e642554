"""Records of the ``config`` stream, kept as JSON."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from result import Err, Ok, Result

from .document import Document
from .errors import FrameError

CONFIG_STREAM = "config"
Version = Annotated[int, Meta(ge=1)]
Offset = Annotated[int, Meta(ge=-1)]


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
    return _ENCODER.encode(record)


def decode_config_record(data: bytes) -> Result[AnyConfigRecord, FrameError]:
    """Return the record of ``data``, or why all readers pass over it."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err(
            FrameError(
                f"a record of the config stream is malformed: {error}",
                "publish documents with `corianderrelay config publish`",
            )
        )


__all__ = [
    "AnyConfigRecord",
    "CONFIG_STREAM",
    "ConfigRecord",
    "RefreshRecord",
    "decode_config_record",
    "encode_config_record",
]
