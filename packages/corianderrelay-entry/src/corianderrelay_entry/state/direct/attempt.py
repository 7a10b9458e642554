"""One attempt in flight: what its runner has sent so far."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .body_buffer import BodyBuffer
from .event_buffer import EventBuffer

if TYPE_CHECKING:
    from .call import RunnerHead


class Attempt:
    """An attempt that was sent to a runner and has not ended.

    :param resume_after: id of the event after which its stream starts; empty if it
        starts with the first event.
    :ivar sent_at: monotonic time in seconds, as is ``last_received_at``.
    :ivar body: the body of an answer that is not streamed.
    :ivar buffer: the events of a streamed answer.
    """

    __slots__ = ("runner_id", "sent_at", "last_received_at", "head", "body", "buffer")

    def __init__(self, runner_id: str, resume_after: str, now: float) -> None:
        self.runner_id = runner_id
        self.sent_at = now
        self.last_received_at = now
        self.head: RunnerHead | None = None
        self.body = BodyBuffer()
        self.buffer = EventBuffer(resume_after)

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are held until the answer is complete."""
        return len(self.body) + self.buffer.pending_bytes


__all__ = ["Attempt"]
