"""Records of the ``groups`` stream and their fold into the state of one group.

An offset orders the records and is the fencing number of the coordinator that it
starts. Every reader folds the same records to the same state.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec
from msgspec import Struct

from .switch_types import Attempt, AttemptId, CommittedMap, maps_after_commit

NO_EPOCH = -1


class GroupRecord(Struct, array_like=True, frozen=True, tag_field="type"):
    """Base of the records; ``nonce`` finds a record whose answer was lost."""

    group: str
    nonce: str


class CoordinatorStarted(GroupRecord, tag="coordinator", frozen=True):
    """A coordinator starts; its offset fences every earlier one.

    :param term: one more than the term that the coordinator has read; a start whose
        append took effect late, after another start of that term, does not count.
    """

    instance_id: str
    term: int


class SwitchBegun(GroupRecord, tag="begun", frozen=True):
    """Ranks may hold for this attempt from now on."""

    attempt: Attempt


class SwitchDecided(GroupRecord, tag="decided", frozen=True):
    """The attempt has ended; the first decision of an attempt counts."""

    attempt: AttemptId
    committed: bool


class GroupSnapshot(GroupRecord, tag="refreshed", frozen=True):
    """What is in force, appended again before its records' retention is over."""

    epoch: int
    term: int
    last_number: int
    last_step: int
    maps: tuple[CommittedMap, ...]


AnyGroupRecord = CoordinatorStarted | SwitchBegun | SwitchDecided | GroupSnapshot

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyGroupRecord)


def encode_record(record: AnyGroupRecord) -> bytes:
    """Return the payload of a record."""
    return _ENCODER.encode(record)


def decode_record(payload: bytes) -> AnyGroupRecord | None:
    """Return the record of a payload, ``None`` if it is not one of this stream."""
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError:
        return None


@dataclass(slots=True, frozen=True)
class GroupState:
    """The state of one group after a number of records.

    :param epoch: offset of the newest coordinator's start.
    :param term: term of that coordinator.
    :param last_number: number of the newest attempt of that coordinator.
    :param last_step: highest step that any attempt named.
    :param begun: the attempt whose outcome is open.
    :param maps: the map in force and the one before it, newest first.
    :param started_by: nonce of the newest coordinator's start.
    """

    epoch: int = NO_EPOCH
    term: int = 0
    last_number: int = 0
    last_step: int = -1
    open_attempt: Attempt | None = None
    maps: tuple[CommittedMap, ...] = ()
    coordinator_nonce: str = ""

    def outcome_of(self, attempt: AttemptId) -> bool | None:
        """Return whether the attempt was committed, ``None`` while that is open."""
        if any(placed.attempt == attempt for placed in self.maps):
            return True
        if attempt.epoch < self.epoch:
            return False
        if self.open_attempt is not None and self.open_attempt.id == attempt:
            return None
        decided = attempt.epoch == self.epoch and attempt.number <= self.last_number
        return False if decided else None

    @property
    def next_version(self) -> int:
        """Version of the next map."""
        return self.maps[0].group_map.version + 1 if self.maps else 1


class GroupFold:
    """Folds the records of one group.

    :param group: name of the group; records of others are passed over.
    """

    __slots__ = ("_group", "state")

    def __init__(self, group: str) -> None:
        self._group = group
        self.state = GroupState()

    def apply(self, offset: int, record: AnyGroupRecord) -> None:
        """Take the record at ``offset``."""
        if record.group != self._group:
            return
        match record:
            case CoordinatorStarted():
                self._start(offset, record)
            case SwitchBegun():
                self._begin(record.attempt)
            case SwitchDecided():
                self._decide(record)
            case GroupSnapshot():
                self._refresh(record)

    def _start(self, offset: int, record: CoordinatorStarted) -> None:
        if record.term > self.state.term:
            self.state = replace(
                self.state,
                epoch=offset,
                term=record.term,
                last_number=0,
                open_attempt=None,
                coordinator_nonce=record.nonce,
            )

    def _begin(self, attempt: Attempt) -> None:
        state = self.state
        is_next = (
            attempt.id.epoch == state.epoch
            and attempt.id.number > state.last_number
            and attempt.step > state.last_step
            and attempt.group_map.version == state.next_version
        )
        if is_next:
            self.state = replace(
                state,
                last_number=attempt.id.number,
                last_step=attempt.step,
                open_attempt=attempt,
            )

    def _decide(self, record: SwitchDecided) -> None:
        state = self.state
        open_attempt = state.open_attempt
        if open_attempt is None or open_attempt.id != record.attempt:
            return
        maps = state.maps
        if record.committed:
            maps = maps_after_commit(open_attempt, maps)
        self.state = replace(state, open_attempt=None, maps=maps)

    def _refresh(self, record: GroupSnapshot) -> None:
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
