"""Registry of the other entries, from the updates that they send.

The log provides only the addresses of entries. Liveness, readiness and load of an entry
come from its latest update.

A few entries send each other their updates directly. Many send them directly only
within their availability zone; two relays of each zone send the updates of their zone
to the other zones, see ``zone_relays``. Updates that cannot wait go to all directly.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .crash_ledger import LostAttempt
    from .group_directory import GroupMembers
    from .limit_shares import SharedLimit
    from .part_ledger import PartLoss
    from .peer_news import EvacuatedZones, GroupOutage, GroupPauses, WaitingRequests

_MIN_LIVENESS_TIMEOUT_S = 1.5  # shorter than the TTL of callers' entry lists
_LIVENESS_INTERVALS = 4  # tolerates the loss of a few datagrams
_MIN_HEARD_S = 0.25
_HEARD_INTERVALS = 1.3
_EVICT_AFTER_S = 20.0  # a replaced entry comes back at another address
_SHARE_KEPT_S = 600.0  # longer than usual partitions between entries
_DATAGRAMS_PER_S = 125.0  # bounds CPU time and bandwidth for any number of entries
_MIN_SEND_INTERVAL_S = 0.04  # half of the shortest pass; load changes once per pass
_MAX_DIRECT_PEERS = 10  # with more, updates to other zones are relayed
RELAY_INTERVAL_S = 0.4  # several updates of either relay fit into the liveness timeout
_REMOTE_HEARD_S = 0.9  # an update waits in its zone, at the relay and on the way


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """State of an entry as it sends it to its peers.

    :param incarnation: increases with each start of the process.
    :param sequence: increases with each update of one incarnation.
    :param ready: whether the entry accepts callers.
    :param running_by_runner: the entry's own requests running at each runner.
    :param waiting_by_service: the entry's own requests waiting for a slot.
    :param slowness_by_runner: slow runners and the factor by which their passes take
        longer than usual.
    :param lost_attempts: attempts that may have ended their runners.
    :param lost_parts: parts of prompts under which runners may have ended.
    :param leaving_runners: ids and start times of runners that state that they leave.
    :param limits: limits that runners state, and this entry's requests under them.
    :param zone: availability zone of the entry; empty if it does not state it.
    :param config_version: the version of the active configuration; 0 without one.
    :param config_generation: its generation, see ``ConfigHistory``.
    :param groups: lock-step groups, if the entry asks ranks for them.
    :param pauses: pauses between events that the entry measures, by group.
    :param outages: groups that are closed, or have opened again lately.
    :param waiting: the entry's own requests waiting for a slot, by priority.
    :param evacuated: evacuated zones; ``None`` if the entry does not know them.
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
    lost_attempts: tuple[LostAttempt, ...] = ()
    lost_parts: tuple[PartLoss, ...] = ()
    limits: tuple[SharedLimit, ...] = ()
    leaving_runners: tuple[tuple[str, int], ...] = ()
    zone: str = ""
    config_version: int = 0
    config_generation: int = 0
    groups: tuple[GroupMembers, ...] = ()
    pauses: tuple[GroupPauses, ...] = ()
    outages: tuple[GroupOutage, ...] = ()
    waiting: tuple[WaitingRequests, ...] = ()
    evacuated: EvacuatedZones | None = None


@dataclass(slots=True)
class _Peer:
    host: str
    port: int
    added_at: float
    update: PeerUpdate | None = None
    last_seen_at: float = float("-inf")


class EntryPeers:
    """The known entries except this one."""

    __slots__ = (
        "own_id",
        "own_zone",
        "_peers_by_id",
        "_send_interval_s",
        "_most_peers",
        "_most_peers_at",
        "_sharing_ids",
    )

    def __init__(self, own_id: str, own_zone: str = "") -> None:
        self.own_id = own_id
        self.own_zone = own_zone
        self._peers_by_id: dict[str, _Peer] = {}
        self._send_interval_s: float | None = None
        self._most_peers = 0
        self._most_peers_at = float("-inf")
        self._sharing_ids: frozenset[str] = frozenset()

    @property
    def relayed(self) -> bool:
        """Whether so many entries are known that updates between zones are relayed."""
        return len(self._peers_by_id) > _MAX_DIRECT_PEERS

    @property
    def send_interval_s(self) -> float:
        """Seconds between two updates to every peer that gets them directly."""
        if self._send_interval_s is None:
            peers = sum(map(self._is_direct, self._peers_by_id.values()))
            self._send_interval_s = max(_MIN_SEND_INTERVAL_S, peers / _DATAGRAMS_PER_S)
        return self._send_interval_s

    @property
    def update_age_s(self) -> float:
        """Greatest usual age of an entry's latest update, in seconds."""
        return _REMOTE_HEARD_S if self.relayed else self.send_interval_s

    @property
    def liveness_timeout_s(self) -> float:
        """Seconds without an update after which an entry is not considered alive."""
        return max(_MIN_LIVENESS_TIMEOUT_S, _LIVENESS_INTERVALS * self.send_interval_s)

    def sharing_entries(self, now: float) -> int:
        """Return the number of entries that share limits, this one included.

        Peers that went silent count for a while, as they may only be cut off.
        """
        self._update_most_peers(now)
        return 1 + self._most_peers

    def sharing_ids(self, now: float) -> frozenset[str]:
        """Return the other entries that share limits, also those that went silent."""
        self._update_most_peers(now)
        return self._sharing_ids

    def add_peer(self, entry_id: str, host: str, port: int, now: float) -> None:
        """Add an entry's address unless the entry is known."""
        if entry_id != self.own_id and entry_id not in self._peers_by_id:
            self._peers_by_id[entry_id] = _Peer(host, port, now)
            self._send_interval_s = None

    def is_newer(self, update: PeerUpdate) -> bool:
        """Return whether an update of another entry is newer than the latest one."""
        if update.entry_id == self.own_id:
            return False
        peer = self._peers_by_id.get(update.entry_id)
        if peer is None or peer.update is None:
            return True
        return (update.incarnation, update.sequence) > (
            peer.update.incarnation,
            peer.update.sequence,
        )

    def on_update(self, update: PeerUpdate, now: float, age_s: float = 0.0) -> bool:
        """Record an update; return whether the state of the entry changed.

        That is whether the entry is new, restarted, alive again, or changed whether it
        is ready. Updates that are not newer than the latest one are ignored.

        :param age_s: seconds for which a relay has had the update.
        """
        if not self.is_newer(update):
            return False
        self.add_peer(update.entry_id, update.peer_host, update.peer_port, now)
        peer = self._peers_by_id[update.entry_id]
        previous = peer.update
        changed = (
            previous is None
            or previous.incarnation != update.incarnation
            or previous.ready != update.ready
            or now - peer.last_seen_at > self.liveness_timeout_s
        )
        if previous is None or previous.zone != update.zone:
            self._send_interval_s = None
        peer.host, peer.port = update.peer_host, update.peer_port
        peer.update = update
        peer.last_seen_at = now - age_s
        return changed

    def alive(
        self, now: float, max_update_age_s: float | None = None
    ) -> list[PeerUpdate]:
        """Return the latest updates of the entries that are alive.

        :param max_update_age_s: age limit of an update in seconds, raised to
            ``_LIVENESS_INTERVALS`` send intervals if it is lower; the liveness timeout
            by default.
        """
        direct_s, remote_s = self.liveness_timeout_s, _MIN_LIVENESS_TIMEOUT_S
        if max_update_age_s is not None:
            intervals_s = _LIVENESS_INTERVALS * self.send_interval_s
            direct_s = max(max_update_age_s, intervals_s)
        direct_since, remote_since = now - direct_s, now - remote_s
        # Called for each request: without a call for each peer.
        direct_zones = ("", self.own_zone)
        relayed = self.relayed
        return [
            peer.update
            for peer in self._peers_by_id.values()
            if peer.update is not None
            and peer.last_seen_at
            >= (
                remote_since
                if relayed and peer.update.zone not in direct_zones
                else direct_since
            )
        ]

    def heard(self, now: float) -> int:
        """Return how many peers have sent an update just now.

        Unlike ``alive``, this does not tolerate a lost datagram: a peer that is cut off
        must be missed soon.
        """
        direct_s = max(_MIN_HEARD_S, _HEARD_INTERVALS * self.send_interval_s)
        return sum(
            now - peer.last_seen_at
            <= (direct_s if self._is_direct(peer) else _REMOTE_HEARD_S)
            for peer in self._peers_by_id.values()
        )

    def addresses(self) -> list[tuple[str, int]]:
        """Return the host and port of each peer."""
        return [(peer.host, peer.port) for peer in self._peers_by_id.values()]

    def direct_addresses(self) -> list[tuple[str, int]]:
        """Return the host and port of each peer that gets each update directly."""
        return [
            (peer.host, peer.port)
            for peer in self._peers_by_id.values()
            if self._is_direct(peer)
        ]

    def zone_addresses(self) -> list[tuple[str, int]]:
        """Return the host and port of each peer in this entry's zone."""
        return [
            (peer.host, peer.port)
            for peer in self._peers_by_id.values()
            if peer.update is not None and peer.update.zone == self.own_zone
        ]

    def zone_updates(self, now: float) -> list[tuple[PeerUpdate, float]]:
        """Return the latest updates of the zone's live peers, and their ages in s."""
        return [
            (peer.update, now - peer.last_seen_at)
            for peer in self._peers_by_id.values()
            if peer.update is not None
            and peer.update.zone == self.own_zone
            and now - peer.last_seen_at <= self.liveness_timeout_s
        ]

    def last_seen_at(self, entry_id: str) -> float:
        """Return the time of a peer's latest update; minus infinity without one."""
        peer = self._peers_by_id.get(entry_id)
        return float("-inf") if peer is None else peer.last_seen_at

    def address(self, entry_id: str) -> tuple[str, int] | None:
        """Return the host and port of a peer; ``None`` if it is not known."""
        peer = self._peers_by_id.get(entry_id)
        return None if peer is None else (peer.host, peer.port)

    def evict_silent(self, now: float) -> list[str]:
        """Remove entries without recent updates and return their ids."""
        self._update_most_peers(now)
        evicted = [
            entry_id
            for entry_id, peer in self._peers_by_id.items()
            if now - max(peer.last_seen_at, peer.added_at) > _EVICT_AFTER_S
        ]
        for entry_id in evicted:
            self._send_interval_s = None
            last = self._peers_by_id.pop(entry_id).update
            if last is not None and not last.ready:
                # It has left in an orderly way, and needs no part of the limits.
                self._most_peers = max(self._most_peers - 1, len(self._peers_by_id))
                self._sharing_ids -= {entry_id}
        return evicted

    def _is_direct(self, peer: _Peer) -> bool:
        """Whether the peer and this entry send each other their updates directly."""
        if not self.relayed or peer.update is None:
            return True
        return peer.update.zone in ("", self.own_zone)

    def _update_most_peers(self, now: float) -> None:
        count = len(self._peers_by_id)
        if count >= self._most_peers or now - self._most_peers_at > _SHARE_KEPT_S:
            self._most_peers, self._most_peers_at = count, now
            self._sharing_ids = frozenset(self._peers_by_id)


__all__ = ["RELAY_INTERVAL_S", "PeerUpdate", "EntryPeers"]
