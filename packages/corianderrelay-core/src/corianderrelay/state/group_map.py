"""Encoding of expert maps for a switch, and the bytes of weights that it loads."""

from __future__ import annotations

import msgspec
import xxhash

from .expert_map import ExpertMap, moves_between
from .switch_types import GroupMap

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ExpertMap)


def encode_group_map(expert_map: ExpertMap) -> GroupMap:
    """Encode an expert map as a group map.

    The version is 0 until the coordinator assigns one when a switch starts.
    """
    body = _ENCODER.encode(expert_map)
    return GroupMap(0, xxhash.xxh3_64_hexdigest(body), body)


def decode_expert_map(group_map: GroupMap) -> ExpertMap:
    """Decode the expert placement of a group map."""
    return _DECODER.decode(group_map.body)


def bytes_to_load(old: GroupMap, new: GroupMap, expert_bytes: int) -> int:
    """Return the bytes of expert weights that all ranks load to switch maps.

    :param expert_bytes: size of the weights of one expert.
    """
    moves = moves_between(decode_expert_map(old), decode_expert_map(new))
    return len(moves) * expert_bytes


__all__ = ["decode_expert_map", "encode_group_map", "bytes_to_load"]
