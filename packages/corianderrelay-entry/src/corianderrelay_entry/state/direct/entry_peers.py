"""The other entries, as their own messages tell.

The log only introduces entries to each other; whether one is there, ready and how much
it runs is known from its own latest message.
"""

from __future__ import annotations

from dataclasses import dataclass, field

_MIN_ALIVE_S = 1.5  # an entry that stops is missed before callers' lists expire
_ALIVE_PERIODS = 4  # lost datagrams change nothing
_FORGET_S = 20.0  # an entry that is replaced comes back under another address
_DATAGRAMS_PER_S = 125.0  # bounds processor time and bytes whatever the entries' number
_MIN_PERIOD_S = 0.04  # half of the shortest pass: more often tells nothing new


@dataclass(frozen=True, slots=True)
class EntryNews:
    """What an entry says of itself.

    :param incarnation: grows with each start of the process.
    :param sequence: grows with each message of one incarnation.
    :param ready: whether callers may come to it.
    :param running_by_runner: its own requests at each runner.
    :param waiting_by_service: its own requests that wait for a place.
    :param slowness_by_runner: runners that it has found to be slow, and how much.
    """

    entry_id: str
    incarnation: int
    sequence: int
    callers_address: str
    peer_host: str
    peer_port: int
    ready: bool
    running_by_runner: dict[str, int] = field(default_factory=dict)
    waiting_by_service: dict[str, int] = field(default_factory=dict)
    slowness_by_runner: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    host: str
    port: int
    introduced_at: float
    news: EntryNews | None = None
    heard_at: float = float("-inf")


class EntryPeers:
    """The entries that this one knows of, itself not included."""

    __slots__ = ("own_id", "_peers_by_id")

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self._peers_by_id: dict[str, _Peer] = {}

    def __len__(self) -> int:
        return len(self._peers_by_id)

    @property
    def period_s(self) -> float:
        """Seconds between two messages to every peer."""
        return max(_MIN_PERIOD_S, len(self._peers_by_id) / _DATAGRAMS_PER_S)

    @property
    def alive_s(self) -> float:
        """Seconds of silence after which an entry is not believed to be there."""
        return max(_MIN_ALIVE_S, _ALIVE_PERIODS * self.period_s)

    def introduce(self, entry_id: str, host: str, port: int, now: float) -> None:
        """Learn where an entry can be told of."""
        if entry_id != self.own_id and entry_id not in self._peers_by_id:
            self._peers_by_id[entry_id] = _Peer(host, port, now)

    def hear(self, news: EntryNews, now: float) -> bool:
        """Take an entry's message; return whether the entry has come or changed."""
        if news.entry_id == self.own_id:
            return False
        self.introduce(news.entry_id, news.peer_host, news.peer_port, now)
        peer = self._peers_by_id[news.entry_id]
        known = peer.news
        if known is not None and (known.incarnation, known.sequence) >= (
            news.incarnation,
            news.sequence,
        ):
            return False
        changed = (
            known is None
            or known.incarnation != news.incarnation
            or known.ready != news.ready
            or now - peer.heard_at > self.alive_s
        )
        peer.host, peer.port = news.peer_host, news.peer_port
        peer.news = news
        peer.heard_at = now
        return changed

    def alive(self, now: float, within_s: float | None = None) -> list[EntryNews]:
        """Return the latest news of the entries that are there.

        :param within_s: the longest silence; as long as entries are believed without.
        """
        longest_s = self.alive_s
        if within_s is not None:
            longest_s = max(within_s, _ALIVE_PERIODS * self.period_s)
        return [
            peer.news
            for peer in self._peers_by_id.values()
            if peer.news is not None and now - peer.heard_at <= longest_s
        ]

    def targets(self) -> list[tuple[str, int]]:
        """Return the addresses that news go to."""
        return [(peer.host, peer.port) for peer in self._peers_by_id.values()]

    def forget(self, now: float) -> list[str]:
        """Forget entries that have been silent for long, and return them."""
        gone = [
            entry_id
            for entry_id, peer in self._peers_by_id.items()
            if now - max(peer.heard_at, peer.introduced_at) > _FORGET_S
        ]
        for entry_id in gone:
            del self._peers_by_id[entry_id]
        return gone


__all__ = ["EntryNews", "EntryPeers"]
