"""Membership from direct heartbeats; the platform's lagging list only seeds it.

A member may get new work while it is fresh. Its age counts from the time at which this
process sent the heartbeat that the member echoed, not from the arrival of the echo. A
leaving member answers every later heartbeat with ``leaving``, so a delayed packet
cannot keep it usable past the suspicion timeout.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .heartbeat_pacing import HeartbeatPacing

if TYPE_CHECKING:
    from collections.abc import Iterable

_CONNECT_RETRY_DELAY_S = 1.0
_STREAM_REOPEN_DELAY_S = 0.2
_EXPIRE_AFTER_S = 60.0
_MAX_TRACKED_HEARTBEATS = 8


class MemberStatus(Enum):
    """Health of a member as seen by this process; seeded until it opens a stream."""

    SEEDED = "seeded"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's instance list, with the instance's address."""

    instance_id: str
    host: str
    port: int
    zone: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Connect:
    """Order to open a stream to the member."""

    instance_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class DropStream:
    """Order to abort a silent stream; it is followed by a :class:`Connect`."""

    instance_id: str
    stream_id: int


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Order to send a heartbeat on the member's stream.

    ``echo`` is the highest sequence received from the member on this stream.
    """

    instance_id: str
    stream_id: int
    sequence: int
    echo: int
    period_s: float


MemberOrder = Connect | DropStream | SendHeartbeat


@dataclass(slots=True)
class Member:
    """State of one peer; times are in seconds on this process's clock.

    :param listed: the member's latest row in the platform's instance list.
    :param incarnation: newest incarnation that opened a stream; -1 before any.
    :param leaving_incarnation: newest incarnation known to be leaving; -1 if none is.
    :param echoed_sent_at: send time of the newest heartbeat that the member echoed.
    :param sequence: sequence of the last heartbeat sent.
    :param echo: highest sequence received on the current stream.
    """

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
        """Whether the newest incarnation has announced that it is leaving."""
        return self.leaving_incarnation >= self.incarnation >= 0


class Members:
    """The peers of one process and the state of the streams to them.

    :param pacing: sets the heartbeat period and the suspicion timeout.
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
        """Current heartbeat period in seconds."""
        return self._pacing.period_for(len(self._members_by_id))

    @property
    def suspect_after_s(self) -> float:
        """Seconds without a fresh heartbeat until a member is suspect."""
        return self._pacing.suspect_after_s(len(self._members_by_id))

    def member(self, instance_id: str) -> Member | None:
        """Return the state of a member; ``None`` if it is unknown."""
        return self._members_by_id.get(instance_id)

    def seed(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Add new members from the platform's list; never remove known ones."""
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
        """Bind a stream whose hello message carried this incarnation.

        :return: false if the member is unknown or the incarnation is outdated;
            the stream must then be closed.
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
        """Handle the end of a stream or a failed connection attempt (no stream id)."""
        member = self._members_by_id.get(instance_id)
        if member is None or member.stream_id != stream_id:
            return
        delay_s = (
            _CONNECT_RETRY_DELAY_S if stream_id is None else _STREAM_REOPEN_DELAY_S
        )
        member.stream_id = None
        member.connecting = False
        member.next_connect_at = now + delay_s

    def bytes_received(self, instance_id: str, stream_id: int, now: float) -> None:
        """Record activity on the member's stream; any bytes count."""
        member = self._member_on_stream(instance_id, stream_id)
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
        """Handle a member's heartbeat; only the echoed sequence proves freshness."""
        member = self._member_on_stream(instance_id, stream_id)
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
        """Mark this incarnation of the member as leaving."""
        member = self._members_by_id.get(instance_id)
        if member is not None:
            member.leaving_incarnation = max(member.leaving_incarnation, incarnation)

    def member_status(self, instance_id: str, now: float) -> MemberStatus:
        """Return the member's status at ``now``."""
        member = self._members_by_id[instance_id]
        if member.leaving:
            return MemberStatus.LEAVING
        if member.incarnation < 0:
            return MemberStatus.SEEDED
        fresh = now - member.echoed_sent_at < self.suspect_after_s
        return MemberStatus.ALIVE if fresh else MemberStatus.SUSPECT

    def usable(self, now: float) -> list[str]:
        """Return the ids of the members that may get new work, in a stable order."""
        return [
            instance_id
            for instance_id, member in self._members_by_id.items()
            if member.stream_id is not None
            and self.member_status(instance_id, now) is MemberStatus.ALIVE
        ]

    def tick(self, now: float) -> list[MemberOrder]:
        """Remove expired members; return the orders that are due at ``now``."""
        self._expire_members(now)
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
        member.sent_at_by_sequence.pop(member.sequence - _MAX_TRACKED_HEARTBEATS, None)
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

    def _expire_members(self, now: float) -> None:
        expired_ids = [
            instance_id
            for instance_id, member in self._members_by_id.items()
            if member.stream_id is None
            and now - max(member.last_listed_at, member.last_received_at)
            >= _EXPIRE_AFTER_S
        ]
        for instance_id in expired_ids:
            del self._members_by_id[instance_id]

    def _member_on_stream(self, instance_id: str, stream_id: int) -> Member | None:
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
