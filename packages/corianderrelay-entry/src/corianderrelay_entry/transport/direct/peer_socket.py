"""The UDP socket on which entries hear each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from result import Err
from twisted.internet.protocol import DatagramProtocol

from ...protocol.direct.peer_update_codec import decode_peer_update, encode_peer_update

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.direct.entry_peers import EntryNews


class PeerSocket(DatagramProtocol):
    """Sends this entry's news and passes on those of others.

    :param hear: takes the news of another entry.
    :param complain: takes the sender and the fault of a malformed datagram.
    """

    def __init__(
        self,
        on_update: Callable[[EntryNews], None],
        on_fault: Callable[[str, str], None],
    ) -> None:
        self._on_update = on_update
        self._on_fault = on_fault

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Take one datagram."""
        decoded = decode_peer_update(datagram)
        if isinstance(decoded, Err):
            self._on_fault(f"{addr[0]}:{addr[1]}", decoded.err_value)
        else:
            self._on_update(decoded.ok_value)

    def send_update(self, news: EntryNews, targets: Iterable[tuple[str, int]]) -> None:
        """Send the news to each address; an unreachable one is passed over."""
        if self.transport is None:
            return
        datagram = encode_peer_update(news)
        for target in targets:
            try:
                cast("Any", self.transport).write(datagram, target)
            except OSError as error:
                self._on_fault(f"{target[0]}:{target[1]}", str(error))


__all__ = ["PeerSocket"]
