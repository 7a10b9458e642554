"""Codec of the datagrams in which entries send each other their updates."""

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


def encode_peer_update(peer_update: PeerUpdate) -> bytes:
    """Encode an entry's update."""
    fields = (getattr(peer_update, name) for name in _Message.__struct_fields__)
    return _ENCODER.encode(_Message(*fields))


def decode_peer_update(datagram: bytes) -> Result[PeerUpdate, str]:
    """Decode an entry's update; the error states why the datagram is malformed."""
    try:
        message = _DECODER.decode(datagram)
    except msgspec.DecodeError as error:
        return Err(str(error))
    return Ok(PeerUpdate(*msgspec.structs.astuple(message)))


__all__ = ["decode_peer_update", "encode_peer_update"]
