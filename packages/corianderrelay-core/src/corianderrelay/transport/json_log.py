"""Structured logs: eliot writes one JSON object per line to a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from typing import IO


def start_logging(stream: IO[bytes], instance_id: str, role: str) -> None:
    """Write all log messages of this process to ``stream`` from now on.

    :param stream: binary stream, for example ``sys.stdout.buffer``.
    """
    eliot.add_global_fields(instance_id=instance_id, role=role)
    eliot.to_file(stream)


__all__ = ["start_logging"]
