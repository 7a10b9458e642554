"""Frames between the agents of one group.

A rank's agent holds a stream to the agent of rank 0, which passes on what is meant for
another rank; hence each message travels with its sender and its receiver.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..state.errors import FrameError
from ..state.switch_types import AnySwitchMessage

MAX_BODY_BYTES = 1024 * 1024


class GroupFrame(msgspec.Struct, array_like=True, frozen=True, tag="group"):
    """One message on its way from the agent of ``source`` to that of ``target``.

    :param body: the message, encoded, so that it can be passed on as it is.
    """

    group: str
    source: Annotated[int, Meta(ge=0)]
    target: Annotated[int, Meta(ge=0)]
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]


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
    "GroupFrame",
    "MAX_BODY_BYTES",
    "decode_switch_message",
    "encode_switch_message",
]
