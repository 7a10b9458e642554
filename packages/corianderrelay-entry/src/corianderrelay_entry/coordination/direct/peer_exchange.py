"""Registers this entry, discovers the other entries and exchanges updates with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.entry_peers import EntryPeers, PeerUpdate
from .decision_log import Decision
from .dependency import Dependency

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.crash_ledger import LostAttempt
    from ...state.direct.limit_shares import SharedLimit
    from ...state.direct.part_ledger import PartLoss
    from ...state.direct.settings import DirectSettings
    from .decision_log import DecisionLog
    from .ports import EntryRegistry

_REGISTRY_RETRY_S = 2.0  # entries that know each other do not need the registry
_FIRST_READ_RETRY_S = 0.5  # this entry is not ready before the first read
_REGISTRY_POLL_S = 15.0  # finds entries that registered after the last read


class PeerExchange:
    """Sends this entry's state to the other entries and receives theirs.

    :param send_update: sends an update to addresses.
    :param on_peers_changed: called after each update of another entry.
    :ivar discovered: whether the registry has been read. Two entries that have read it
        know each other, as the one that registered later has read the other's address.
    """

    def __init__(
        self,
        settings: DirectSettings,
        incarnation: int,
        registry: EntryRegistry,
        clock: Clock,
        log: DecisionLog,
        send_update: Callable[[PeerUpdate, Iterable[tuple[str, int]]], None],
        on_peers_changed: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._registry = registry
        self._clock = clock
        self._log = log
        self._send_update = send_update
        self._on_peers_changed = on_peers_changed
        self._sequence = 0
        self.discovered = False
        self._dependency = Dependency("entry registry", log)
        self.peers = EntryPeers(settings.entry_id)

    def start(self) -> None:
        """Register this entry's address and discover the other entries."""
        own = self._settings.peers
        registered = self._registry.register(
            self._settings.entry_id, own.host, own.port
        )
        registered.addCallbacks(lambda _: self._poll_registry(), self._on_failure)

    def receive(self, peer_update: PeerUpdate) -> None:
        """Apply an update of another entry."""
        if self.peers.on_update(peer_update, self._clock.seconds()):
            self._log.note(
                Decision.ENTRY_HEARD,
                entry=peer_update.entry_id,
                incarnation=peer_update.incarnation,
                ready=peer_update.ready,
            )
        self._on_peers_changed()

    def send_update(
        self,
        ready: bool,
        running: dict[str, int],
        waiting: dict[str, int],
        slowness: dict[str, float],
        lost_attempts: tuple[LostAttempt, ...],
        lost_parts: tuple[PartLoss, ...],
        limits: tuple[SharedLimit, ...],
        leaving_runners: tuple[tuple[str, int], ...],
    ) -> None:
        """Send this entry's state to all others, and evict silent ones."""
        self._sequence += 1
        own = self._settings
        peer_update = PeerUpdate(
            own.entry_id,
            self._incarnation,
            self._sequence,
            str(own.callers),
            own.peers.host,
            own.peers.port,
            ready,
            running,
            waiting,
            slowness,
            lost_attempts,
            lost_parts,
            limits,
            leaving_runners,
        )
        self._send_update(peer_update, self.peers.addresses())
        for entry_id in self.peers.evict_silent(self._clock.seconds()):
            self._log.note(Decision.ENTRY_FORGOTTEN, entry=entry_id)

    def _poll_registry(self) -> None:
        self._registry.registered_entries().addCallbacks(
            self._on_registered_entries, self._on_failure
        )

    def _on_registered_entries(self, known: dict[str, tuple[str, int]]) -> None:
        now = self._clock.seconds()
        self.discovered = True
        self._dependency.mark_available()
        for entry_id, (host, port) in known.items():
            self.peers.add_peer(entry_id, host, port, now)
        self._clock.callLater(_REGISTRY_POLL_S, self._poll_registry)

    def _on_failure(self, failure: Failure) -> None:
        self._dependency.mark_unavailable(reason=failure.getErrorMessage())
        retry_s = _REGISTRY_RETRY_S if self.discovered else _FIRST_READ_RETRY_S
        self._clock.callLater(retry_s, self.start)


__all__ = ["PeerExchange"]
