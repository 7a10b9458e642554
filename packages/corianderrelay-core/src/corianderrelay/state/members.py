"""Membership from direct heartbeats; the platform's lagging list only seeds it.

A member may get new work while it is fresh. Freshness is counted from the moment when
this process sent the heartbeat that the member echoes, not from when the echo arrived:
a member that leaves at some moment answers every later heartbeat with ``leaving``, so
nothing that was delayed on its way keeps it usable past the suspicion time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .heartbeat_pacing import HeartbeatPacing

if TYPE_CHECKING:
    from collections.abc import Iterable

_RECONNECT_S = 1.0
_REPLACE_S = 0.2
_FORGET_AFTER_S = 60.0
_REMEMBERED_HEARTBEATS = 8


class MemberStatus(Enum):
    """What is known of a member."""

    SEEDED = "seeded"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's list: where an instance can be reached."""

    instance_id: str
    host: str
    port: int
    zone: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Connect:
    """Order: open a stream to the member."""

    instance_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class DropStream:
    """Order: abort a stream that has gone silent; a new one follows."""

    instance_id: str
    stream_id: int


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Order: send a heartbeat with this sequence on the member's stream."""

    instance_id: str
    stream_id: int
    sequence: int
    echo: int
    period_s: float


MemberOrder = Connect | DropStream | SendHeartbeat


@dataclass(slots=True)
class Member:
    """What this process knows of one peer; times are seconds on its own clock."""

    listed: ListedInstance
    incarnation: int = -1
    leaving_incarnation: int = -1
    stream_id: int | None = None
    connecting: bool = False
    next_connect_at: float = 0.0
    next_heartbeat_at: float = 0.0
    last_received_at: float = 0.0
    echoed_sent_at: float = float("-inf")
    last_listed_at: float = 0.0
    sequence: int = 0
    echo: int = 0
    sent_at_by_sequence: dict[int, float] = field(default_factory=dict)

    @property
    def leaving(self) -> bool:
        """Whether the newest incarnation has said that it is leaving."""
        return self.leaving_incarnation >= self.incarnation >= 0


class Members:
    """The peers of one process and the streams to them.

    :param pacing: how often heartbeats are sent and when a peer is suspect.
    """

    __slots__ = ("_pacing", "_members_by_id")

    def __init__(self, pacing: HeartbeatPacing | None = None) -> None:
        self._pacing = pacing or HeartbeatPacing()
        self._members_by_id: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members_by_id)

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self._members_by_id

    @property
    def period_s(self) -> float:
        """Present heartbeat period in seconds."""
        return self._pacing.period_for(len(self._members_by_id))

    @property
    def suspect_after_s(self) -> float:
        """Seconds without fresh news until a member is suspect."""
        return self._pacing.suspect_after_s(len(self._members_by_id))

    def member(self, instance_id: str) -> Member | None:
        """Return what is known of a member."""
        return self._members_by_id.get(instance_id)

    def seed(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Take the platform's list: learn new members, never unlearn known ones."""
        for instance in listed:
            member = self._members_by_id.get(instance.instance_id)
            if member is not None:
                member.listed = instance
                member.last_listed_at = now
            elif not instance.leaving:
                self._members_by_id[instance.instance_id] = Member(
                    instance, last_listed_at=now
                )

    def stream_opened(
        self, instance_id: str, stream_id: int, incarnation: int, now: float
    ) -> bool:
        """Bind a stream whose hello named this incarnation.

        :return: false when the stream is of an older incarnation and is to be closed.
        """
        member = self._members_by_id.get(instance_id)
        if member is None or incarnation < member.incarnation:
            return False
        member.incarnation = incarnation
        member.stream_id = stream_id
        member.connecting = False
        member.last_received_at = now
        member.next_heartbeat_at = now
        member.echo = 0
        member.sent_at_by_sequence.clear()
        return True

    def stream_closed(
        self, instance_id: str, stream_id: int | None, now: float
    ) -> None:
        """Note that a stream, or an attempt to connect, has ended."""
        member = self._members_by_id.get(instance_id)
        if member is None or member.stream_id != stream_id:
            return
        wait_s = _RECONNECT_S if stream_id is None else _REPLACE_S
        member.stream_id = None
        member.connecting = False
        member.next_connect_at = now + wait_s

    def bytes_received(self, instance_id: str, stream_id: int, now: float) -> None:
        """Note any bytes on the member's stream: the connection is not silent."""
        member = self._bound(instance_id, stream_id)
        if member is not None:
            member.last_received_at = now

    def heartbeat_received(
        self,
        instance_id: str,
        stream_id: int,
        sequence: int,
        echo: int,
        leaving: bool,
        now: float,
    ) -> None:
        """Take a member's heartbeat; only what it echoes proves its freshness."""
        member = self._bound(instance_id, stream_id)
        if member is None:
            return
        member.last_received_at = now
        member.echo = max(member.echo, sequence)
        if leaving:
            member.leaving_incarnation = member.incarnation
        sent_at = member.sent_at_by_sequence.get(echo)
        if sent_at is not None:
            member.echoed_sent_at = max(member.echoed_sent_at, sent_at)

    def leaving_received(self, instance_id: str, incarnation: int) -> None:
        """Believe at once that this incarnation of the member is leaving."""
        member = self._members_by_id.get(instance_id)
        if member is not None:
            member.leaving_incarnation = max(member.leaving_incarnation, incarnation)

    def member_status(self, instance_id: str, now: float) -> MemberStatus:
        """Return what is known of the member at this moment."""
        member = self._members_by_id[instance_id]
        if member.leaving:
            return MemberStatus.LEAVING
        if member.incarnation < 0:
            return MemberStatus.SEEDED
        fresh = now - member.echoed_sent_at < self.suspect_after_s
        return MemberStatus.ALIVE if fresh else MemberStatus.SUSPECT

    def usable(self, now: float) -> list[str]:
        """Return the members that may get new work, in a stable order."""
        return [
            instance_id
            for instance_id, member in self._members_by_id.items()
            if member.stream_id is not None
            and self.member_status(instance_id, now) is MemberStatus.ALIVE
        ]

    def tick(self, now: float) -> list[MemberOrder]:
        """Return the streams to open and drop and the heartbeats to send now."""
        self._forget(now)
        orders: list[MemberOrder] = []
        for member in self._members_by_id.values():
            orders += self._tick_member(member, now)
        return orders

    def _tick_member(self, member: Member, now: float) -> list[MemberOrder]:
        listed = member.listed
        if member.stream_id is None:
            return self._reconnect(member, now)
        if now - member.last_received_at >= self.suspect_after_s:
            dropped = DropStream(listed.instance_id, member.stream_id)
            member.stream_id = None
            member.next_connect_at = now
            return [dropped, *self._reconnect(member, now)]
        if now < member.next_heartbeat_at:
            return []
        member.next_heartbeat_at = now + self.period_s
        member.sequence += 1
        member.sent_at_by_sequence[member.sequence] = now
        member.sent_at_by_sequence.pop(member.sequence - _REMEMBERED_HEARTBEATS, None)
        return [
            SendHeartbeat(
                listed.instance_id,
                member.stream_id,
                member.sequence,
                member.echo,
                self.period_s,
            )
        ]

    def _reconnect(self, member: Member, now: float) -> list[MemberOrder]:
        if member.connecting or now < member.next_connect_at:
            return []
        member.connecting = True
        listed = member.listed
        return [Connect(listed.instance_id, listed.host, listed.port)]

    def _forget(self, now: float) -> None:
        gone = [
            instance_id
            for instance_id, member in self._members_by_id.items()
            if member.stream_id is None
            and now - max(member.last_listed_at, member.last_received_at)
            >= _FORGET_AFTER_S
        ]
        for instance_id in gone:
            del self._members_by_id[instance_id]

    def _bound(self, instance_id: str, stream_id: int) -> Member | None:
        member = self._members_by_id.get(instance_id)
        if member is None or member.stream_id != stream_id:
            return None
        return member


__all__ = [
    "Connect",
    "DropStream",
    "ListedInstance",
    "Member",
    "MemberOrder",
    "Members",
    "SendHeartbeat",
    "MemberStatus",
]
