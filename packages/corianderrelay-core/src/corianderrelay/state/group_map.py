"""An expert map as it travels in a switch, and what a rank has to load for it."""

from __future__ import annotations

import msgspec
import xxhash

from .expert_map import ExpertMap, moves_between
from .switch_types import GroupMap

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ExpertMap)


def encode_group_map(expert_map: ExpertMap) -> GroupMap:
    """Return the map with its digest; its version is set when a switch starts."""
    body = _ENCODER.encode(expert_map)
    return GroupMap(0, xxhash.xxh3_64_hexdigest(body), body)


def decode_expert_map(group_map: GroupMap) -> ExpertMap:
    """Return the placement of a map."""
    return _DECODER.decode(group_map.body)


def bytes_to_load(old: GroupMap, new: GroupMap, expert_bytes: int) -> int:
    """Return the bytes that the ranks load to go from one map to the other."""
    moves = moves_between(decode_expert_map(old), decode_expert_map(new))
    return len(moves) * expert_bytes


__all__ = ["decode_expert_map", "encode_group_map", "bytes_to_load"]
