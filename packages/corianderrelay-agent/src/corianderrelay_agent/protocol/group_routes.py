"""Routes messages between the agents of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from corianderrelay.protocol.group_messages import (
    decode_switch_message,
    encode_switch_message,
)
from corianderrelay.protocol.messages import GroupFrame
from corianderrelay.state.switch_participant import COORDINATOR_RANK

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.coordination.clock import Clock
    from corianderrelay.protocol.messages import AnyMessage
    from corianderrelay.state.switch_types import AnySwitchMessage

    class MessageStream(Protocol):
        """A stream to another agent of the group."""

        def send(self, message: AnyMessage) -> None:
            """Send a message."""


class GroupRoutes:
    """Implements :class:`~corianderrelay.coordination.group_link.GroupLink`.

    Ranks other than 0 have one stream, to rank 0. Rank 0 records the stream on which
    it receives each rank's frames, and forwards frames addressed to another rank. A
    message to a rank without a stream is dropped, because the switch protocol resends
    unanswered messages.

    :param deliver: called with the sender's rank and each message for this rank.
    """

    def __init__(
        self,
        group: str,
        rank: int,
        clock: Clock,
        deliver: Callable[[int, AnySwitchMessage], None],
    ) -> None:
        self._group = group
        self._rank = rank
        self._clock = clock
        self._deliver = deliver
        self._stream_by_rank: dict[int, MessageStream] = {}

    def send(self, rank: int, message: AnySwitchMessage) -> None:
        """Send a message to the agent of ``rank``, which may be this one."""
        if rank == self._rank:
            self._clock.callLater(0, self._deliver, rank, message)
            return
        body = encode_switch_message(message)
        self._forward(GroupFrame(self._group, self._rank, rank, body))

    def receive(self, stream: MessageStream, frame: GroupFrame) -> None:
        """Deliver or forward a frame from ``stream``; ignore frames of other groups."""
        if frame.group != self._group:
            return
        if self._rank == COORDINATOR_RANK:
            self._stream_by_rank[frame.source] = stream
        if frame.target == self._rank:
            self._deliver(frame.source, decode_switch_message(frame.body))
        elif self._rank == COORDINATOR_RANK:
            self._forward(frame)

    def set_coordinator_stream(self, stream: MessageStream) -> None:
        """Use ``stream`` for all messages to rank 0."""
        self._stream_by_rank[COORDINATOR_RANK] = stream

    def remove_stream(self, stream: MessageStream) -> None:
        """Remove a closed stream from all routes."""
        ranks = [
            rank for rank, known in self._stream_by_rank.items() if known is stream
        ]
        for rank in ranks:
            del self._stream_by_rank[rank]

    def _forward(self, frame: GroupFrame) -> None:
        at_coordinator = self._rank == COORDINATOR_RANK
        next_hop = frame.target if at_coordinator else COORDINATOR_RANK
        stream = self._stream_by_rank.get(next_hop)
        if stream is not None:
            stream.send(frame)


__all__ = ["GroupRoutes"]
