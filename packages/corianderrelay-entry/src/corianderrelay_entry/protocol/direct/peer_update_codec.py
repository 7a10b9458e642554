"""Codec of the updates that entries send each other, alone or in bundles.

A relay sends the updates of its availability zone in one compressed bundle.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from result import Err, Ok, Result

from corianderrelay.protocol.foreign_record import Number, Port

from ...state.direct.crash_ledger import LostAttempt, Verdict
from ...state.direct.entry_peers import PeerUpdate
from ...state.direct.group_directory import GroupMembers
from ...state.direct.limit_shares import SharedLimit
from ...state.direct.part_ledger import PartLoss
from ...state.direct.peer_news import (
    EvacuatedZones,
    GroupOutage,
    GroupPauses,
    WaitingRequests,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

_COMPRESSION_LEVEL = 1  # addresses and ids of a zone share most of their bytes
_MAX_BUNDLE_BYTES = 1_048_576  # decompressed; many times the updates of a large zone


_Int64 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Seconds; longer times do not occur, and NaN is rejected.
_Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
_MAX_COUNT = 2**31
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_MAX_NAME_LENGTH = 255
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]


class _LostAttempt(msgspec.Struct, array_like=True):
    fingerprint: str
    runner_life: str
    round: int
    verdict: Verdict


class _LostPart(msgspec.Struct, array_like=True):
    part: str
    runner_life: str
    fingerprint: str
    verdict: Verdict
    answered_before: bool
    trials: int


class _SharedLimit(msgspec.Struct, array_like=True):
    runner_life: str
    per_s: Annotated[float, msgspec.Meta(ge=0.0)] | None
    age_s: Annotated[float, msgspec.Meta(ge=0.0)]
    sent: int
    wanted: bool
    cold_left_s: _Seconds = 0.0


class _Group(msgspec.Struct, array_like=True):
    name: _Name
    service: _Name
    runner_ids: list[str]


class _Pauses(msgspec.Struct, array_like=True):
    group: _Name
    high_s: _Seconds
    median_s: _Seconds
    count: _Count


class _Outage(msgspec.Struct, array_like=True):
    group: _Name
    closed_for_s: _Seconds
    evidence_age_s: _Seconds
    opens_in_s: _Seconds
    is_open: bool


class _Waiting(msgspec.Struct, array_like=True):
    service: _Name
    priority: _Count
    count: _Count
    work: _Count


class _Evacuated(msgspec.Struct, array_like=True):
    era: _Int64
    offset: _Int64
    zones: list[_Name]


class _Message(msgspec.Struct, array_like=True):
    entry_id: str
    incarnation: _Int64
    sequence: Number
    callers_address: str
    peer_host: str
    peer_port: Port
    ready: bool
    running_by_runner: dict[str, int]
    waiting_by_service: dict[str, int]
    slowness_by_runner: dict[str, float]
    lost_attempts: list[_LostAttempt] = []
    lost_parts: list[_LostPart] = []
    limits: list[_SharedLimit] = []
    leaving_runners: list[tuple[str, int]] = []
    zone: str = ""
    config_version: Number = 0
    config_generation: Number = 0
    groups: list[_Group] = []
    pauses: list[_Pauses] = []
    outages: list[_Outage] = []
    waiting: list[_Waiting] = []
    evacuated: _Evacuated | None = None


class _AgedMessage(msgspec.Struct, array_like=True):
    age_s: Annotated[float, msgspec.Meta(ge=0.0)]
    message: _Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Message)
_BUNDLE_DECODER = msgspec.msgpack.Decoder(list[_AgedMessage])


def encode_peer_update(peer_update: PeerUpdate) -> bytes:
    """Encode an entry's update."""
    return _ENCODER.encode(_build_message(peer_update))


def decode_peer_update(datagram: bytes) -> Result[PeerUpdate, str]:
    """Decode an entry's update; the error states why the datagram is malformed."""
    try:
        message = _DECODER.decode(datagram)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(str(error))
    return Ok(_build_update(message))


def encode_bundle(aged_updates: Iterable[tuple[PeerUpdate, float]]) -> bytes:
    """Encode updates and their ages in seconds."""
    aged = [
        _AgedMessage(max(age_s, 0.0), _build_message(update))
        for update, age_s in aged_updates
    ]
    return zlib.compress(_ENCODER.encode(aged), _COMPRESSION_LEVEL)


def decode_bundle(datagram: bytes) -> Result[list[tuple[PeerUpdate, float]], str]:
    """Decode updates and their ages; the error states what is malformed."""
    try:
        unpacker = zlib.decompressobj()
        content = unpacker.decompress(datagram, _MAX_BUNDLE_BYTES)
        if unpacker.unconsumed_tail:
            return Err(f"the bundle is longer than {_MAX_BUNDLE_BYTES} bytes")
        aged = _BUNDLE_DECODER.decode(content)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        return Err(str(error))
    return Ok([(_build_update(each.message), each.age_s) for each in aged])


def _build_message(peer_update: PeerUpdate) -> _Message:
    fields: dict[str, Any] = {
        name: getattr(peer_update, name) for name in _Message.__struct_fields__
    }
    fields["lost_attempts"] = [
        _LostAttempt(lost.fingerprint, lost.runner_life, lost.round, lost.verdict)
        for lost in peer_update.lost_attempts
    ]
    fields["lost_parts"] = [
        _LostPart(*(getattr(lost, name) for name in _LostPart.__struct_fields__))
        for lost in peer_update.lost_parts
    ]
    fields["limits"] = [
        _SharedLimit(*(getattr(each, name) for name in _SharedLimit.__struct_fields__))
        for each in peer_update.limits
    ]
    fields["groups"] = [
        _Group(each.name, each.service, list(each.runner_ids))
        for each in peer_update.groups
        if _is_readable(each.name, each.service)
    ]
    fields["pauses"] = [
        _Pauses(each.group, each.high_s, each.median_s, each.count)
        for each in peer_update.pauses
        if _is_readable(each.group)
    ]
    fields["outages"] = [
        _Outage(*(getattr(each, name) for name in _Outage.__struct_fields__))
        for each in peer_update.outages
        if _is_readable(each.group)
    ]
    fields["waiting"] = [
        _Waiting(
            each.service,
            min(max(each.priority, 0), _MAX_COUNT),
            each.count,
            min(each.work, _MAX_COUNT),
        )
        for each in peer_update.waiting
        if _is_readable(each.service)
    ]
    evacuated = peer_update.evacuated
    if evacuated is not None:
        fields["evacuated"] = _Evacuated(
            evacuated.era, evacuated.offset, list(evacuated.zones)
        )
    return _Message(**fields)


def _is_readable(*names: str) -> bool:
    """Whether the other entries accept these names; they drop a whole update else."""
    return all(len(name) <= _MAX_NAME_LENGTH for name in names)


def _build_update(message: _Message) -> PeerUpdate:
    fields: dict[str, Any] = msgspec.structs.asdict(message)
    fields["lost_attempts"] = tuple(
        LostAttempt(*msgspec.structs.astuple(lost)) for lost in message.lost_attempts
    )
    fields["lost_parts"] = tuple(
        PartLoss(*msgspec.structs.astuple(lost)) for lost in message.lost_parts
    )
    fields["limits"] = tuple(
        SharedLimit(*msgspec.structs.astuple(each)) for each in message.limits
    )
    fields["leaving_runners"] = tuple(message.leaving_runners)
    fields["groups"] = tuple(
        GroupMembers(each.name, each.service, tuple(each.runner_ids))
        for each in message.groups
    )
    fields["pauses"] = tuple(
        GroupPauses(*msgspec.structs.astuple(each)) for each in message.pauses
    )
    fields["outages"] = tuple(
        GroupOutage(*msgspec.structs.astuple(each)) for each in message.outages
    )
    fields["waiting"] = tuple(
        WaitingRequests(*msgspec.structs.astuple(each)) for each in message.waiting
    )
    evacuated = message.evacuated
    if evacuated is not None:
        fields["evacuated"] = EvacuatedZones(
            evacuated.era, evacuated.offset, tuple(evacuated.zones)
        )
    return PeerUpdate(**fields)


__all__ = [
    "decode_bundle",
    "decode_peer_update",
    "encode_bundle",
    "encode_peer_update",
]
