"""Options that let the kernel notice a peer that has gone silent."""

from __future__ import annotations

import socket
from typing import Any

_KEEPALIVE_IDLE_S = 2  # a connection that lost its path shows within about 4 s
_KEEPALIVE_INTERVAL_S = 1  # the shortest that the kernel takes
_KEEPALIVE_PROBES = 2  # one may be lost on a path that is there
_UNACKNOWLEDGED_TIMEOUT_MS = 3000  # written bytes that nobody has received


def enable_dead_peer_detection(transport: Any) -> None:
    """End the connection of a peer that acknowledges nothing any longer."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS),
    )
    handle = transport.getHandle()
    for level, option, value in options:
        handle.setsockopt(level, option, value)


__all__ = ["enable_dead_peer_detection"]
