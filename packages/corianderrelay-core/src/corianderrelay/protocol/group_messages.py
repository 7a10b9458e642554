"""Encodes the messages between the agents of a group as bodies of ``GroupFrame``."""

from __future__ import annotations

import msgspec

from ..state.errors import FrameError
from ..state.switch_types import AnySwitchMessage

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnySwitchMessage)


def encode_switch_message(message: AnySwitchMessage) -> bytes:
    """Encode a message as the body of a ``GroupFrame``."""
    return _ENCODER.encode(message)


def decode_switch_message(body: bytes) -> AnySwitchMessage:
    """Decode the body of a ``GroupFrame``.

    :raises FrameError: the body is malformed or its message type is unknown.
    """
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise FrameError(
            f"malformed group message: {error}",
            "check that all agents of the group run the same protocol version",
        ) from error


__all__ = [
    "decode_switch_message",
    "encode_switch_message",
]
