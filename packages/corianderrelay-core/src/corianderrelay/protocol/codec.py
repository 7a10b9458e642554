"""Encodes messages as msgpack frames and decodes them."""

from __future__ import annotations

import msgspec

from ..state.errors import FrameError
from .messages import AnyMessage

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: AnyMessage) -> bytes:
    """Encode a message as a frame without its length prefix."""
    return _ENCODER.encode(message)


def decode_message(frame: bytes) -> AnyMessage:
    """Decode a frame that has no length prefix.

    :raises FrameError: the frame is malformed or its message type is unknown.
    """
    try:
        return _DECODER.decode(frame)
    except (ValueError, RecursionError) as error:
        raise FrameError(
            f"malformed frame: {error}",
            "check that both sides run the same protocol version",
        ) from error


__all__ = ["decode_message", "encode_message"]
