"""Stand-in for a plain service that answers with bytes without end.

A path that ends with ``sound`` gets a short answer, ``events`` bytes of an event stream
that never complete an event, and any other path chunks of a plain body.
"""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

_CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
_MAX_CHUNKS = 2048  # bounds the memory of a process that keeps everything


class EndlessService:
    """Listens on the loopback address."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with suppress(OSError, ValueError), connection:
            stream = connection.makefile("rb")
            while path := _read_path(stream.readline):
                if path.endswith((b"sound", b"load")):
                    body = b"{}"
                    connection.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                        + body
                    )
                    continue
                kind = b"text/event-stream" if path.endswith(b"events") else b"text/x"
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n" % kind
                )
                for _ in range(_MAX_CHUNKS):
                    connection.sendall(_CHUNK)
                return


def _read_path(readline: object) -> bytes:
    first = readline().split() if callable(readline) else []
    while first and readline().strip():  # type: ignore[operator]
        pass
    return first[1] if len(first) > 1 else b""


__all__ = ["EndlessService"]
