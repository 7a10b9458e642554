"""Turns messages into msgpack frames and frames into messages.

A stream carries msgpack arrays one after another; msgpack delimits them itself, so
there is no length prefix.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack
import msgspec

from ..state.errors import FrameError
from .messages import MAX_FRAME_BYTES, AnyMessage

if TYPE_CHECKING:
    from collections.abc import Iterator

_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: AnyMessage) -> bytes:
    """Return the frame of a message."""
    return _ENCODER.encode(message)


class FrameDecoder:
    """Collects received bytes and yields the messages that are complete.

    :param max_frame_bytes: largest frame accepted, in bytes.
    """

    __slots__ = ("_unpacker",)

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            strict_map_key=True,
            max_buffer_size=max_frame_bytes,
            max_array_len=64,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, data: bytes) -> Iterator[AnyMessage]:
        """Yield the messages that ``data`` completes.

        :raises FrameError: a frame is malformed, too large or of an unknown type.
        """
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                yield msgspec.convert(frame, AnyMessage)
        except msgpack.BufferFull:
            raise FrameError(
                "a frame is larger than the limit",
                "split the answer into smaller chunks or raise the frame limit",
            ) from None
        except (ValueError, msgspec.ValidationError, msgpack.UnpackException) as error:
            raise FrameError(
                f"a frame is malformed: {error}",
                "check that both sides run the same protocol version",
            ) from error


__all__ = ["FrameDecoder", "encode_message"]
