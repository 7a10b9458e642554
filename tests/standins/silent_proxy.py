"""TCP proxy that can silently drop the traffic of its open connections."""

from __future__ import annotations

import contextlib
import socket
import threading

_READ_BYTES = 65536


class SilentProxy:
    """Forwards connections to a port; silenced connections stay open until ``close``.

    :param target_port: port on the loopback address.
    """

    def __init__(self, target_port: int) -> None:
        self._target = ("127.0.0.1", target_port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._silenced: set[int] = set()
        self._sockets: list[socket.socket] = [self._listener]
        self._accepted = 0
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Drop all further traffic of the open connections; new connections work."""
        self._silenced |= set(range(1, self._accepted + 1))

    def close(self) -> None:
        """Close the listener and all connections."""
        for open_socket in self._sockets:
            with contextlib.suppress(OSError):
                open_socket.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                downstream, _ = self._listener.accept()
                upstream = socket.create_connection(self._target)
                self._accepted += 1
                self._sockets += [downstream, upstream]
                for source, sink in ((downstream, upstream), (upstream, downstream)):
                    arguments = (self._accepted, source, sink)
                    threading.Thread(
                        target=self._pump, args=arguments, daemon=True
                    ).start()

    def _pump(self, number: int, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                if number not in self._silenced:
                    sink.sendall(data)
        if number not in self._silenced:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)


__all__ = ["SilentProxy"]
