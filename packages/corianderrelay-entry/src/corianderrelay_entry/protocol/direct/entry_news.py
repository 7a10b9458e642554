"""Codec of the datagrams in which entries tell each other of themselves."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from ...state.direct.entry_peers import PeerUpdate


class _Message(msgspec.Struct, array_like=True):
    entry_id: str
    incarnation: int
    sequence: int
    callers_address: str
    peer_host: str
    peer_port: int
    ready: bool
    running_by_runner: dict[str, int]
    waiting_by_service: dict[str, int]
    slowness_by_runner: dict[str, float]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Message)


def encode_news(news: PeerUpdate) -> bytes:
    """Return the datagram of an entry's news."""
    fields = (getattr(news, name) for name in _Message.__struct_fields__)
    return _ENCODER.encode(_Message(*fields))


def decode_news(datagram: bytes) -> Result[PeerUpdate, str]:
    """Return the news of a datagram, or why it is malformed."""
    try:
        message = _DECODER.decode(datagram)
    except msgspec.DecodeError as error:
        return Err(str(error))
    return Ok(PeerUpdate(*msgspec.structs.astuple(message)))


__all__ = ["decode_news", "encode_news"]
