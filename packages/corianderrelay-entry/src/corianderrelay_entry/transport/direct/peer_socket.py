"""The UDP socket on which entries hear each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from result import Err
from twisted.internet.protocol import DatagramProtocol

from ...protocol.direct.entry_news import decode_news, encode_news

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.direct.entry_peers import PeerUpdate


class PeerSocket(DatagramProtocol):
    """Sends this entry's news and passes on those of others.

    :param hear: takes the news of another entry.
    :param complain: takes the sender and the fault of a malformed datagram.
    """

    def __init__(
        self,
        hear: Callable[[PeerUpdate], None],
        complain: Callable[[str, str], None],
    ) -> None:
        self._hear = hear
        self._complain = complain

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Take one datagram."""
        decoded = decode_news(datagram)
        if isinstance(decoded, Err):
            self._complain(f"{addr[0]}:{addr[1]}", decoded.err_value)
        else:
            self._hear(decoded.ok_value)

    def tell(self, news: PeerUpdate, targets: Iterable[tuple[str, int]]) -> None:
        """Send the news to each address; an unreachable one is passed over."""
        if self.transport is None:
            return
        datagram = encode_news(news)
        for target in targets:
            try:
                cast("Any", self.transport).write(datagram, target)
            except OSError as error:
                self._complain(f"{target[0]}:{target[1]}", str(error))


__all__ = ["PeerSocket"]
