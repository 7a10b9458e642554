"""A loopback proxy that delays, resets or blocks traffic, in one or both directions."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

_POLL_INTERVAL_S = 0.05


class FaultProxy:
    """Forwards connections to one target; its faults can be changed at any time.

    ``mode`` is ``ok``, ``reset`` (connections are reset), ``silent`` (both directions
    are blocked), ``deaf`` (the direction to the target is blocked) or ``mute`` (the
    direction from the target is blocked). ``delay_s`` delays each chunk of bytes.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.mode = "ok"
        self.delay_s = 0.0
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept_connections(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._target, 2)
            except OSError:
                return
            for source, sink, blocking_mode in (
                (client, server, "deaf"),
                (server, client, "mute"),
            ):
                threading.Thread(
                    target=self._forward_bytes,
                    args=(source, sink, blocking_mode),
                    daemon=True,
                ).start()

    def _forward_bytes(
        self, source: socket.socket, sink: socket.socket, blocking_mode: str
    ) -> None:
        with contextlib.suppress(OSError):
            source.settimeout(_POLL_INTERVAL_S)
            while True:
                if self.mode == "reset":
                    linger = struct.pack("ii", 1, 0)
                    source.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    break
                if self.mode in ("silent", blocking_mode):
                    time.sleep(_POLL_INTERVAL_S)
                    continue
                try:
                    data = source.recv(65536)
                except TimeoutError:
                    continue
                if not data:
                    break
                time.sleep(self.delay_s)
                sink.sendall(data)
        source.close()
        sink.close()


__all__ = ["FaultProxy"]
