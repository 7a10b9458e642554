"""Steps for the frames of the streams between processes."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from corianderrelay.protocol.messages import Closing, Dispatch
from corianderrelay.transport.framed_stream import FramedStream

from tests.frames import add_length_prefix, decode_frames, encode_frame

_MESSAGE = Dispatch(
    attempt_id="a1",
    request_id="r1",
    workspace="kits",
    service="assistant",
    method="POST",
    path="/v1/chat/completions",
    content_type="application/json",
    body=b"{}",
    deadline_ms=1000,
)


class _Listener:
    def __init__(self) -> None:
        self.delivered: list[Any] = []

    def stream_opened(self, stream: FramedStream) -> None:
        """Ignore the event."""

    def message_received(self, stream: FramedStream, message: Any) -> None:
        self.delivered.append(message)

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        """Ignore the event."""


@given("a stream with a listener")
def step_stream(context: Any) -> None:
    context.listener = _Listener()
    context.transport = StringTransport()
    context.stream = FramedStream(context.listener, Clock())
    context.stream.makeConnection(context.transport)


@when("the stream receives a dispatch message one byte at a time")
def step_receive_bytewise(context: Any) -> None:
    for byte in encode_frame(_MESSAGE):
        context.stream.dataReceived(bytes([byte]))


@then("the stream delivers the same message once")
def step_same_message(context: Any) -> None:
    assert context.listener.delivered == [_MESSAGE], context.listener.delivered


@when("the stream receives the frame {frame}")
def step_receive_malformed(context: Any, frame: str) -> None:
    context.stream.dataReceived(add_length_prefix(bytes.fromhex(frame)))


@when("the stream receives a length prefix of four gigabytes")
def step_receive_oversized_length(context: Any) -> None:
    context.stream.dataReceived(bytes.fromhex("ffffffff"))


@then("the stream delivers nothing and closes with a bad_frame error")
def step_bad_frame(context: Any) -> None:
    assert context.listener.delivered == [], context.listener.delivered
    assert context.transport.disconnecting, "the stream stays open"
    (closing,) = decode_frames(context.transport.value())
    assert isinstance(closing, Closing) and closing.kind == "bad_frame", closing
    assert closing.detail, closing
