"""Stream of messages over one connection, with one write per reactor iteration."""

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
    """Receives the events of a stream."""

    def stream_opened(self, stream: FramedStream) -> None:
        """The connection is open; messages may be sent."""

    def message_received(self, stream: FramedStream, message: AnyMessage) -> None:
        """A complete, well-formed message has arrived.

        :raises FrameError: the message is not allowed now; the stream is closed.
        """

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        """The connection is closed; no more messages will arrive."""


class _Transport(Protocol):
    def write(self, data: bytes) -> None: ...

    def loseConnection(self) -> None: ...

    def abortConnection(self) -> None: ...


class FramedStream(Int32StringReceiver):
    """One connection that carries messages.

    Messages that are sent within one reactor iteration share one write, which keeps
    the cost per token low. A malformed frame closes only this stream.

    :param listener: receives the stream's events.
    :param clock: the reactor, or a test clock.
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
        """Notify the listener of the open connection; called by Twisted."""
        self.last_received_s = self._clock.seconds()
        no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if no_delay is not None:
            no_delay(True)
        self._listener.stream_opened(self)

    def send(self, message: AnyMessage) -> None:
        """Queue a message; it is written after the current reactor iteration."""
        if not self._pending:
            self._clock.callLater(0, self._flush)
        self._pending.append(_add_length_prefix(encode_message(message)))

    def _flush(self) -> None:
        frames = b"".join(self._pending)
        self._pending.clear()
        self.sent_bytes += len(frames)
        if self.connected:
            cast("_Transport", self.transport).write(frames)

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes from the connection; called by Twisted."""
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
        """Close the stream because of an oversized frame; called by Twisted."""
        error = FrameError(
            f"a frame of {length} bytes exceeds the limit of {self.MAX_LENGTH}",
            "split the answer into smaller chunks",
        )
        self.close_with_error(error)

    def _deliver(self, message: AnyMessage) -> None:
        if isinstance(message, Closing):
            self._close_reason = f"closed by the peer: {message.kind}: {message.detail}"
        elif not self._close_reason:
            self._listener.message_received(self, message)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Notify the listener of the closed connection; called by Twisted."""
        text = self._close_reason or (reason.getErrorMessage() if reason else "closed")
        self._listener.stream_closed(self, text)

    def close_with_error(self, error: FrameError) -> None:
        """Send the error to the peer, then close this stream."""
        self._close_reason = self._close_reason or f"{error.kind}: {error}"
        if self.connected:
            transport = cast("_Transport", self.transport)
            closing = encode_message(Closing(error.kind, str(error)))
            transport.write(_add_length_prefix(closing))
            transport.loseConnection()

    def close(self, reason: str) -> None:
        """Abort the connection; unsent bytes are discarded."""
        self._close_reason = self._close_reason or reason
        if self.connected:
            cast("_Transport", self.transport).abortConnection()


def _add_length_prefix(frame: bytes) -> bytes:
    return len(frame).to_bytes(4, "big") + frame


__all__ = ["FramedStream", "StreamListener"]
