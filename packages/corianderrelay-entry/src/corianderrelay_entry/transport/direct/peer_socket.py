"""The UDP socket on which entries exchange updates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from result import Err
from twisted.internet.protocol import DatagramProtocol

from ...protocol.direct.peer_update_codec import decode_peer_update, encode_peer_update

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.direct.entry_peers import PeerUpdate


class PeerSocket(DatagramProtocol):
    """Sends this entry's updates and receives those of other entries.

    :param on_update: called with an update of another entry.
    :param on_fault: called with the peer's address and the reason when a datagram is
        malformed or cannot be sent.
    """

    def __init__(
        self,
        on_update: Callable[[PeerUpdate], None],
        on_fault: Callable[[str, str], None],
    ) -> None:
        self._on_update = on_update
        self._on_fault = on_fault

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode a received datagram."""
        decoded = decode_peer_update(datagram)
        if isinstance(decoded, Err):
            self._on_fault(f"{addr[0]}:{addr[1]}", decoded.err_value)
        else:
            self._on_update(decoded.ok_value)

    def send_update(
        self, peer_update: PeerUpdate, targets: Iterable[tuple[str, int]]
    ) -> None:
        """Send an update to each address; failures are reported, not raised."""
        if self.transport is None:
            return
        datagram = encode_peer_update(peer_update)
        for target in targets:
            try:
                cast("Any", self.transport).write(datagram, target)
            except OSError as error:
                self._on_fault(f"{target[0]}:{target[1]}", str(error))


__all__ = ["PeerSocket"]
