"""Relays the updates between entries, so that a test can cut entries off from peers."""

from __future__ import annotations

import socket
import threading

import msgspec

_ENTRIES_TOPIC = "keyed.entries"
_ID_FIELD, _HOST_FIELD, _PORT_FIELD = 0, 4, 5
_MAX_DATAGRAM_BYTES = 65_536


class PeerRelay:
    """Gives each entry an address at this relay, which the other entries use.

    :ivar cut_off: ids of the entries whose updates are dropped in both directions.
    """

    def __init__(self) -> None:
        self.cut_off: set[str] = set()
        self._socket_by_id: dict[str, socket.socket] = {}

    def rewrite_value(self, topic: str, key: str, value: bytes) -> bytes:
        """Replace the address that an entry registers by one at this relay."""
        if topic != _ENTRIES_TOPIC:
            return value
        host, port = msgspec.msgpack.decode(value)
        if key not in self._socket_by_id:
            relayed = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            relayed.bind(("127.0.0.1", 0))
            self._socket_by_id[key] = relayed
            threading.Thread(
                target=self._relay, args=(key, relayed, (host, port)), daemon=True
            ).start()
        return msgspec.msgpack.encode(self._socket_by_id[key].getsockname())

    def close(self) -> None:
        """Stop relaying."""
        for relayed in self._socket_by_id.values():
            relayed.close()

    def _relay(
        self, receiver: str, relayed: socket.socket, address: tuple[str, int]
    ) -> None:
        while True:
            try:
                datagram = relayed.recv(_MAX_DATAGRAM_BYTES)
            except OSError:
                return  # the relay was closed
            message = msgspec.msgpack.decode(datagram)
            sender = message[_ID_FIELD]
            sender_socket = self._socket_by_id.get(sender)
            if sender_socket is None or self.cut_off & {sender, receiver}:
                continue
            message[_HOST_FIELD], message[_PORT_FIELD] = sender_socket.getsockname()
            relayed.sendto(msgspec.msgpack.encode(message), address)


__all__ = ["PeerRelay"]
