"""Messages between the agents of one group, as the bodies of ``GroupFrame``."""

from __future__ import annotations

import msgspec

from ..state.errors import FrameError
from ..state.switch_types import AnySwitchMessage

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnySwitchMessage)


def encode_switch_message(message: AnySwitchMessage) -> bytes:
    """Return the body of a frame."""
    return _ENCODER.encode(message)


def decode_switch_message(body: bytes) -> AnySwitchMessage:
    """Return the message of a frame's body.

    :raises FrameError: the body is malformed or of an unknown type.
    """
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise FrameError(
            f"a message of the group is malformed: {error}",
            "check that all agents of the group run the same protocol version",
        ) from error


__all__ = [
    "decode_switch_message",
    "encode_switch_message",
]
