"""The UDP socket on which entries exchange updates and news of the log.

A datagram that is not a single update begins with a byte that no update begins with,
and a letter for its kind.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypeVar, cast

from result import Err
from twisted.internet.protocol import DatagramProtocol

from ...protocol.direct.peer_update_codec import (
    decode_bundle,
    decode_peer_update,
    encode_bundle,
    encode_peer_update,
)
from ...protocol.direct.store_news_codec import (
    decode_answer,
    decode_question,
    encode_answer,
    encode_question,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from result import Result

    from ...state.direct.entry_peers import PeerUpdate
    from ...state.direct.store_news import StoreAnswer, StoreQuestion

_KIND_BYTES = 2
# 0xC1 is never used in msgpack. A relayed bundle is passed on within the zone once.
_RELAYED = b"\xc1r"
_PASSED_ON = b"\xc1p"
_QUESTION = b"\xc1q"
_ANSWER = b"\xc1a"


class PeerListener(Protocol):
    """Receives what other entries send."""

    def on_updates(self, aged_updates: Sequence[tuple[PeerUpdate, float]]) -> None:
        """Apply updates and their ages in seconds."""

    def on_relayed(self, bundle: bytes) -> None:
        """Pass a bundle of another zone on to the entries of this zone."""

    def on_question(self, question: StoreQuestion) -> None:
        """Answer a question for what is new in the log."""

    def on_answer(self, answer: StoreAnswer) -> None:
        """Apply what another entry knows of the log."""

    def on_fault(self, sender: str, reason: str) -> None:
        """Log that a datagram is malformed or could not be sent."""


T = TypeVar("T")


class PeerSocket(DatagramProtocol):
    """Sends and receives the datagrams of entries; failures are reported, not raised.

    :param listener: receives what was decoded.
    """

    def __init__(self, listener: PeerListener) -> None:
        self._listener = listener

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode a received datagram."""
        sender = f"{addr[0]}:{addr[1]}"
        kind, content = datagram[:_KIND_BYTES], datagram[_KIND_BYTES:]
        listener = self._listener
        if kind == _QUESTION:
            self._hand_over(decode_question(content), sender, listener.on_question)
        elif kind == _ANSWER:
            self._hand_over(decode_answer(content), sender, listener.on_answer)
        elif kind in (_RELAYED, _PASSED_ON):
            self._hand_over(decode_bundle(content), sender, listener.on_updates)
            if kind == _RELAYED:
                listener.on_relayed(content)
        else:
            decoded = decode_peer_update(datagram).map(lambda update: [(update, 0.0)])
            self._hand_over(decoded, sender, listener.on_updates)

    def send_update(
        self, peer_update: PeerUpdate, targets: Iterable[tuple[str, int]]
    ) -> None:
        """Send an update to each address."""
        self._send(encode_peer_update(peer_update), targets)

    def relay(
        self,
        aged_updates: Iterable[tuple[PeerUpdate, float]],
        targets: Iterable[tuple[str, int]],
    ) -> None:
        """Send updates of this zone to entries of other zones, which pass them on."""
        self._send(_RELAYED + encode_bundle(aged_updates), targets)

    def pass_on(self, bundle: bytes, targets: Iterable[tuple[str, int]]) -> None:
        """Send a relayed bundle to the entries of this zone."""
        self._send(_PASSED_ON + bundle, targets)

    def ask(self, question: StoreQuestion, target: tuple[str, int]) -> None:
        """Send a question for what is new in the log."""
        self._send(_QUESTION + encode_question(question), [target])

    def answer(self, answer: StoreAnswer, target: tuple[str, int]) -> None:
        """Send the answer to a question."""
        self._send(_ANSWER + encode_answer(answer), [target])

    def _hand_over(
        self, decoded: Result[T, str], sender: str, receive: Callable[[T], None]
    ) -> None:
        if isinstance(decoded, Err):
            self._listener.on_fault(sender, decoded.err_value)
        else:
            receive(decoded.ok_value)

    def _send(self, datagram: bytes, targets: Iterable[tuple[str, int]]) -> None:
        if self.transport is None:
            return
        for target in targets:
            try:
                cast("Any", self.transport).write(datagram, target)
            except (OSError, ValueError, OverflowError) as error:
                self._listener.on_fault(f"{target[0]}:{target[1]}", str(error))


__all__ = ["PeerListener", "PeerSocket"]
