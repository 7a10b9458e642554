"""Turns messages into msgpack frames and frames into messages."""

from __future__ import annotations

import msgspec

from ..state.errors import FrameError
from .messages import AnyMessage

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: AnyMessage) -> bytes:
    """Return the frame of a message, without its length prefix."""
    return _ENCODER.encode(message)


def decode_message(frame: bytes) -> AnyMessage:
    """Return the message of a frame.

    :raises FrameError: the frame is malformed or of an unknown type.
    """
    try:
        return _DECODER.decode(frame)
    except (ValueError, RecursionError) as error:
        raise FrameError(
            f"a frame is malformed: {error}",
            "check that both sides run the same protocol version",
        ) from error


__all__ = ["decode_message", "encode_message"]
