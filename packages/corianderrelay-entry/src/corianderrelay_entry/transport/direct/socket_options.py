"""Socket options that let the kernel detect an unreachable peer."""

from __future__ import annotations

import socket
from typing import Any

_KEEPALIVE_IDLE_S = 2  # a broken path is detected within about 4 s
_KEEPALIVE_INTERVAL_S = 1  # the kernel's minimum
_KEEPALIVE_PROBES = 2  # one probe may be lost on a working path
_UNACKNOWLEDGED_TIMEOUT_MS = 3000  # for written bytes without an acknowledgement


def enable_dead_peer_detection(transport: Any) -> None:
    """Make the kernel close the connection when its peer stops acknowledging."""
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
