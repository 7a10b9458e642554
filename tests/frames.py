"""Encodes and decodes stream frames for tests that use a plain socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.protocol.codec import decode_message, encode_message

if TYPE_CHECKING:
    from corianderrelay.protocol.messages import AnyMessage

_PREFIX_BYTES = 4


def add_length_prefix(frame: bytes) -> bytes:
    """Prepend the length prefix to a frame."""
    return len(frame).to_bytes(_PREFIX_BYTES, "big") + frame


def encode_frame(message: AnyMessage) -> bytes:
    """Encode a message as a frame with its length prefix."""
    return add_length_prefix(encode_message(message))


def decode_frames(data: bytes) -> list[AnyMessage]:
    """Decode the complete frames in ``data``; ignore an incomplete last one."""
    messages = []
    while len(data) >= _PREFIX_BYTES:
        end = _PREFIX_BYTES + int.from_bytes(data[:_PREFIX_BYTES], "big")
        if len(data) < end:
            break
        messages.append(decode_message(data[_PREFIX_BYTES:end]))
        data = data[end:]
    return messages


__all__ = ["encode_frame", "decode_frames", "add_length_prefix"]
