"""A stream of messages over one connection, with writes coalesced per loop turn."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, cast

from twisted.protocols.basic import Int32StringReceiver

from ..protocol.codec import decode_message, encode_message
from ..protocol.messages import MAX_FRAME_BYTES, Closing
from ..state.errors import FrameError

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ..coordination.clock import Clock
    from ..protocol.messages import AnyMessage


class StreamListener(Protocol):
    """Receives what happens on a stream."""

    def stream_opened(self, stream: FramedStream) -> None:
        """The connection is up; messages may be sent."""

    def message_received(self, stream: FramedStream, message: AnyMessage) -> None:
        """A whole, well-formed message has arrived.

        :raises FrameError: the message is out of place; the stream is closed.
        """

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        """The connection is gone; nothing more will arrive on it."""


class _Transport(Protocol):
    def write(self, data: bytes) -> None: ...

    def loseConnection(self) -> None: ...

    def abortConnection(self) -> None: ...


class FramedStream(Int32StringReceiver):
    """One connection that carries messages.

    Messages sent within one turn of the loop leave in one write, which is what keeps
    the cost of a token low. A malformed frame closes this stream and no other.

    :param listener: receives the stream's events.
    :param clock: the reactor, or a virtual clock.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, listener: StreamListener, clock: Clock) -> None:
        self._listener = listener
        self._clock = clock
        self._pending: list[bytes] = []
        self._close_reason = ""
        self.last_received_s = clock.seconds()
        self.sent_bytes = 0
        self.received_bytes = 0

    def connectionMade(self) -> None:
        """Tell the listener; called by Twisted."""
        self.last_received_s = self._clock.seconds()
        no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if no_delay is not None:
            no_delay(True)
        self._listener.stream_opened(self)

    def send(self, message: AnyMessage) -> None:
        """Queue a message; it leaves at the end of this turn of the loop."""
        if not self._pending:
            self._clock.callLater(0, self._flush)
        self._pending.append(_with_length(encode_message(message)))

    def _flush(self) -> None:
        frames = b"".join(self._pending)
        self._pending.clear()
        self.sent_bytes += len(frames)
        if self.connected:
            cast("_Transport", self.transport).write(frames)

    def dataReceived(self, data: bytes) -> None:
        """Decode what has arrived; called by Twisted."""
        self.last_received_s = self._clock.seconds()
        self.received_bytes += len(data)
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        """Decode one frame; called by Twisted."""
        try:
            self._deliver(decode_message(string))
        except FrameError as error:
            self.close_with_error(error)

    def lengthLimitExceeded(self, length: int) -> None:
        """Refuse a frame before it is received; called by Twisted."""
        error = FrameError(
            f"a frame of {length} bytes is over the limit of {self.MAX_LENGTH}",
            "split the answer into smaller chunks",
        )
        self.close_with_error(error)

    def _deliver(self, message: AnyMessage) -> None:
        if isinstance(message, Closing):
            self._close_reason = f"the peer closed it: {message.kind}: {message.detail}"
        elif not self._close_reason:
            self._listener.message_received(self, message)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Tell the listener; called by Twisted."""
        text = self._close_reason or (reason.getErrorMessage() if reason else "closed")
        self._listener.stream_closed(self, text)

    def close_with_error(self, error: FrameError) -> None:
        """Tell the peer what was wrong, then close this stream and no other."""
        self._close_reason = self._close_reason or f"{error.kind}: {error}"
        if self.connected:
            transport = cast("_Transport", self.transport)
            closing = encode_message(Closing(error.kind, str(error)))
            transport.write(_with_length(closing))
            transport.loseConnection()

    def close(self, reason: str) -> None:
        """Drop the connection at once, without waiting for unsent bytes."""
        self._close_reason = self._close_reason or reason
        if self.connected:
            cast("_Transport", self.transport).abortConnection()


def _with_length(frame: bytes) -> bytes:
    return len(frame).to_bytes(4, "big") + frame


__all__ = ["FramedStream", "StreamListener"]
