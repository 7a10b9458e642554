"""The other entries, as their own messages tell.

The log only introduces entries to each other; whether one is there, ready and how much
it runs is known from its own latest message.
"""

from __future__ import annotations

from dataclasses import dataclass, field

_MIN_LIVENESS_TIMEOUT_S = (
    1.5  # an entry that stops is missed before callers' lists expire
)
_LIVENESS_INTERVALS = 4  # lost datagrams change nothing
_EVICT_AFTER_S = 20.0  # an entry that is replaced comes back under another address
_DATAGRAMS_PER_S = 125.0  # bounds processor time and bytes whatever the entries' number
_MIN_SEND_INTERVAL_S = 0.04  # half of the shortest pass: more often tells nothing new


@dataclass(frozen=True, slots=True)
class PeerUpdate:
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
    added_at: float
    update: PeerUpdate | None = None
    last_seen_at: float = float("-inf")


class EntryPeers:
    """The entries that this one knows of, itself not included."""

    __slots__ = ("own_id", "_peers_by_id")

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self._peers_by_id: dict[str, _Peer] = {}

    def __len__(self) -> int:
        return len(self._peers_by_id)

    @property
    def send_interval_s(self) -> float:
        """Seconds between two messages to every peer."""
        return max(_MIN_SEND_INTERVAL_S, len(self._peers_by_id) / _DATAGRAMS_PER_S)

    @property
    def liveness_timeout_s(self) -> float:
        """Seconds of silence after which an entry is not believed to be there."""
        return max(_MIN_LIVENESS_TIMEOUT_S, _LIVENESS_INTERVALS * self.send_interval_s)

    def add_peer(self, entry_id: str, host: str, port: int, now: float) -> None:
        """Learn where an entry can be told of."""
        if entry_id != self.own_id and entry_id not in self._peers_by_id:
            self._peers_by_id[entry_id] = _Peer(host, port, now)

    def on_update(self, update: PeerUpdate, now: float) -> bool:
        """Take an entry's message; return whether the entry has come or changed."""
        if update.entry_id == self.own_id:
            return False
        self.add_peer(update.entry_id, update.peer_host, update.peer_port, now)
        peer = self._peers_by_id[update.entry_id]
        previous = peer.update
        if previous is not None and (previous.incarnation, previous.sequence) >= (
            update.incarnation,
            update.sequence,
        ):
            return False
        changed = (
            previous is None
            or previous.incarnation != update.incarnation
            or previous.ready != update.ready
            or now - peer.last_seen_at > self.liveness_timeout_s
        )
        peer.host, peer.port = update.peer_host, update.peer_port
        peer.update = update
        peer.last_seen_at = now
        return changed

    def alive(self, now: float, max_silence_s: float | None = None) -> list[PeerUpdate]:
        """Return the latest news of the entries that are there.

        :param within_s: the longest silence; as long as entries are believed without.
        """
        timeout_s = self.liveness_timeout_s
        if max_silence_s is not None:
            timeout_s = max(max_silence_s, _LIVENESS_INTERVALS * self.send_interval_s)
        return [
            peer.update
            for peer in self._peers_by_id.values()
            if peer.update is not None and now - peer.last_seen_at <= timeout_s
        ]

    def addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that news go to."""
        return [(peer.host, peer.port) for peer in self._peers_by_id.values()]

    def evict_silent(self, now: float) -> list[str]:
        """Forget entries that have been silent for long, and return them."""
        evicted = [
            entry_id
            for entry_id, peer in self._peers_by_id.items()
            if now - max(peer.last_seen_at, peer.added_at) > _EVICT_AFTER_S
        ]
        for entry_id in evicted:
            del self._peers_by_id[entry_id]
        return evicted


__all__ = ["PeerUpdate", "EntryPeers"]
