"""Records of the ``groups`` stream and their fold into the state of one group.

The offset of a record gives its order in the stream. The offset of a coordinator's
start record is that coordinator's fencing number. Every reader that folds the same
records gets the same state.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec
from msgspec import Struct

from .switch_types import (
    CommittedMap,
    SwitchAttempt,
    SwitchAttemptId,
    maps_after_commit,
)

NO_EPOCH = -1


class GroupRecord(Struct, array_like=True, frozen=True, tag_field="type"):
    """Base of the records of a group.

    :param nonce: unique text by which the writer finds its record in the stream when
        the answer to the append was lost.
    """

    group: str
    nonce: str


class CoordinatorStarted(GroupRecord, tag="coordinator", frozen=True):
    """Start of a coordinator; the record's offset fences every earlier coordinator.

    :param term: one more than the term that the coordinator has read. A start record
        that reaches the log late, after another start of the same term, is ignored.
    """

    instance_id: str
    term: int


class SwitchBegun(GroupRecord, tag="begun", frozen=True):
    """Start of an attempt; from this record on, ranks may hold before its step."""

    attempt: SwitchAttempt


class SwitchDecided(GroupRecord, tag="decided", frozen=True):
    """Outcome of an attempt; only the first decision of an attempt takes effect."""

    attempt: SwitchAttemptId
    committed: bool


class GroupSnapshot(GroupRecord, tag="refreshed", frozen=True):
    """Snapshot of the state, appended before the retention of older records expires."""

    epoch: int
    term: int
    last_number: int
    last_step: int
    maps: tuple[CommittedMap, ...]


AnyGroupRecord = CoordinatorStarted | SwitchBegun | SwitchDecided | GroupSnapshot

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyGroupRecord)


def encode_record(record: AnyGroupRecord) -> bytes:
    """Encode a record as a log payload."""
    return _ENCODER.encode(record)


def decode_record(payload: bytes) -> AnyGroupRecord | None:
    """Decode a log payload; return ``None`` if it is not a valid group record."""
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError:
        return None


@dataclass(slots=True, frozen=True)
class GroupState:
    """The state of one group, folded from its records.

    :param epoch: offset of the newest coordinator's start record.
    :param term: term of that coordinator.
    :param last_number: number of that coordinator's newest attempt.
    :param last_step: highest step of any attempt so far.
    :param open_attempt: the attempt that has no outcome yet, if any.
    :param maps: the latest committed map and its predecessor, newest first.
    :param coordinator_nonce: nonce of the newest coordinator's start record.
    """

    epoch: int = NO_EPOCH
    term: int = 0
    last_number: int = 0
    last_step: int = -1
    open_attempt: SwitchAttempt | None = None
    maps: tuple[CommittedMap, ...] = ()
    coordinator_nonce: str = ""

    def outcome_of(self, attempt: SwitchAttemptId) -> bool | None:
        """Return whether the attempt was committed; ``None`` if that is undecided."""
        if any(committed_map.attempt == attempt for committed_map in self.maps):
            return True
        if attempt.epoch < self.epoch:
            return False
        if self.open_attempt is not None and self.open_attempt.id == attempt:
            return None
        aborted = attempt.epoch == self.epoch and attempt.number <= self.last_number
        return False if aborted else None

    @property
    def next_version(self) -> int:
        """Version that the next committed map gets."""
        return self.maps[0].group_map.version + 1 if self.maps else 1


class GroupFold:
    """Folds the records of one group.

    :param group: name of the group; records of other groups are ignored.
    """

    __slots__ = ("_group", "state")

    def __init__(self, group: str) -> None:
        self._group = group
        self.state = GroupState()

    def apply(self, offset: int, record: AnyGroupRecord) -> None:
        """Apply the record at ``offset`` to the state."""
        if record.group != self._group:
            return
        match record:
            case CoordinatorStarted():
                self._apply_start(offset, record)
            case SwitchBegun():
                self._apply_begin(record.attempt)
            case SwitchDecided():
                self._apply_decision(record)
            case GroupSnapshot():
                self._apply_snapshot(record)

    def _apply_start(self, offset: int, record: CoordinatorStarted) -> None:
        if record.term > self.state.term:
            self.state = replace(
                self.state,
                epoch=offset,
                term=record.term,
                last_number=0,
                open_attempt=None,
                coordinator_nonce=record.nonce,
            )

    def _apply_begin(self, attempt: SwitchAttempt) -> None:
        state = self.state
        is_valid = (
            attempt.id.epoch == state.epoch
            and attempt.id.number > state.last_number
            and attempt.step > state.last_step
            and attempt.group_map.version == state.next_version
        )
        if is_valid:
            self.state = replace(
                state,
                last_number=attempt.id.number,
                last_step=attempt.step,
                open_attempt=attempt,
            )

    def _apply_decision(self, record: SwitchDecided) -> None:
        state = self.state
        open_attempt = state.open_attempt
        if open_attempt is None or open_attempt.id != record.attempt:
            return
        maps = state.maps
        if record.committed:
            maps = maps_after_commit(open_attempt, maps)
        self.state = replace(state, open_attempt=None, maps=maps)

    def _apply_snapshot(self, record: GroupSnapshot) -> None:
        newest = (self.state.epoch, self.state.last_number)
        if (record.epoch, record.last_number) > newest:
            self.state = replace(
                self.state,
                epoch=record.epoch,
                term=record.term,
                last_number=record.last_number,
                last_step=record.last_step,
                open_attempt=None,
                maps=record.maps,
            )


__all__ = [
    "AnyGroupRecord",
    "CoordinatorStarted",
    "GroupFold",
    "GroupRecord",
    "GroupSnapshot",
    "GroupState",
    "NO_EPOCH",
    "SwitchBegun",
    "SwitchDecided",
    "decode_record",
    "encode_record",
]
