"""Registers this entry, discovers the other entries and exchanges updates with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.entry_peers import RELAY_INTERVAL_S, EntryPeers, PeerUpdate
from ...state.direct.zone_relays import relay_targets
from .decision_log import Decision
from .dependency import Dependency

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.crash_ledger import LostAttempt
    from ...state.direct.group_directory import GroupMembers
    from ...state.direct.limit_shares import SharedLimit
    from ...state.direct.part_ledger import PartLoss
    from ...state.direct.peer_news import (
        EvacuatedZones,
        GroupOutage,
        GroupPauses,
        WaitingRequests,
    )
    from ...state.direct.settings import DirectSettings
    from .decision_log import DecisionLog
    from .ports import EntryRegistry, PeerSender

_REGISTRY_RETRY_S = 2.0  # entries that know each other do not need the registry
_FIRST_READ_RETRY_S = 0.5  # this entry is not ready before the first read
# Finds entries that registered after the last read. With many entries each polls less
# often: any one that finds another tells the rest of it.
_REGISTRY_POLL_S = 15.0
_REGISTRY_POLLERS = 10
# A new entry hears of newer configurations than the log's within one update of others.
# Entries that are gone stay registered, so it does not wait for all of them.
_SETTLE_S = 0.5
_SETTLED_SHARE = 0.5


class PeerExchange:
    """Sends this entry's state to the other entries and receives theirs.

    :param sender: sends updates to addresses.
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
        sender: PeerSender,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._registry = registry
        self._clock = clock
        self._log = log
        self._sender = sender
        self._sequence = 0
        self._last_update: PeerUpdate | None = None
        self._relayed_at = float("-inf")
        self.discovered = False
        self._discovered_at = float("inf")
        self._settled = False
        self._registering = False
        self._dependency = Dependency("entry registry", log)
        self.peers = EntryPeers(settings.entry_id, settings.zone)

    def start(self) -> None:
        """Register this entry's address and discover the other entries."""
        own = self._settings.peers
        registered = self._registry.register(
            self._settings.entry_id, own.host, own.port
        )
        registered.addCallbacks(lambda _: self._poll_registry(), self._on_failure)

    def settled(self) -> bool:
        """Whether this entry has heard others, or there are none to hear."""
        if not self._settled and self.discovered:
            now = self._clock.seconds()
            known = len(self.peers.addresses())
            heard = len(self.peers.alive(now))
            self._settled = (
                heard >= _SETTLED_SHARE * known or now - self._discovered_at > _SETTLE_S
            )
        return self._settled

    def register_again(self) -> None:
        """Register this entry's address, as the log may have lost it."""
        if self._registering:
            return
        self._registering = True
        own = self._settings.peers
        registered = self._registry.register(
            self._settings.entry_id, own.host, own.port
        )
        registered.addCallbacks(self._on_registered_again, self._on_register_failed)

    def _on_registered_again(self, _: object) -> None:
        self._registering = False

    def _on_register_failed(self, failure: Failure) -> None:
        self._registering = False
        self._dependency.mark_unavailable(reason=failure.getErrorMessage())
        self._clock.callLater(_REGISTRY_RETRY_S, self.register_again)

    def receive(
        self, aged_updates: Sequence[tuple[PeerUpdate, float]]
    ) -> list[tuple[PeerUpdate, float]]:
        """Apply updates of other entries; return those that were not known.

        :param aged_updates: updates, and for how long relays have had them, in seconds.
        """
        now = self._clock.seconds()
        newer = [each for each in aged_updates if self.peers.is_newer(each[0])]
        for peer_update, age_s in newer:
            if self.peers.on_update(peer_update, now, age_s):
                self._log.note(
                    Decision.ENTRY_HEARD,
                    entry=peer_update.entry_id,
                    incarnation=peer_update.incarnation,
                    ready=peer_update.ready,
                )
        return newer

    def pass_on(self, bundle: bytes) -> None:
        """Send a bundle of another zone to the entries of this zone."""
        self._sender.pass_on(bundle, self.peers.zone_addresses())

    def relay_if_due(self) -> None:
        """Send the updates of this zone to the other zones if this entry relays."""
        now = self._clock.seconds()
        if not self.peers.relayed or now - self._relayed_at < RELAY_INTERVAL_S:
            return
        self._relayed_at = now
        alive = self.peers.alive(now)
        targets = relay_targets(self._settings.entry_id, self._settings.zone, alive)
        addresses = list(filter(None, map(self.peers.address, targets)))
        if addresses and self._last_update is not None:
            own = (self._last_update, 0.0)
            self._sender.relay([own, *self.peers.zone_updates(now)], addresses)

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
        config_version: int,
        config_generation: int,
        *,
        groups: tuple[GroupMembers, ...] = (),
        pauses: tuple[GroupPauses, ...] = (),
        outages: tuple[GroupOutage, ...] = (),
        waiting_by_priority: tuple[WaitingRequests, ...] = (),
        evacuated: EvacuatedZones | None = None,
        urgent: bool,
    ) -> None:
        """Send this entry's state to the others, and evict silent ones.

        :param urgent: whether it also goes directly to those that get relayed updates.
        """
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
            own.zone,
            config_version,
            config_generation,
            groups,
            pauses,
            outages,
            waiting_by_priority,
            evacuated,
        )
        self._last_update = peer_update
        peers = self.peers
        targets = peers.addresses() if urgent else peers.direct_addresses()
        self._sender.send_update(peer_update, targets)
        for entry_id in self.peers.evict_silent(self._clock.seconds()):
            self._log.note(Decision.ENTRY_FORGOTTEN, entry=entry_id)

    def _poll_registry(self) -> None:
        self._registry.registered_entries().addCallbacks(
            self._on_registered_entries, self._on_failure
        )

    def _on_registered_entries(self, known: dict[str, tuple[str, int]]) -> None:
        now = self._clock.seconds()
        if not self.discovered:
            self.discovered = True
            self._discovered_at = now
        self._dependency.mark_available()
        if self._settings.entry_id not in known:
            self.register_again()
        for entry_id, (host, port) in known.items():
            self.peers.add_peer(entry_id, host, port, now)
        pollers = max((1 + len(known)) / _REGISTRY_POLLERS, 1.0)
        self._clock.callLater(_REGISTRY_POLL_S * pollers, self._poll_registry)

    def _on_failure(self, failure: Failure) -> None:
        self._dependency.mark_unavailable(reason=failure.getErrorMessage())
        retry_s = _REGISTRY_RETRY_S if self.discovered else _FIRST_READ_RETRY_S
        self._clock.callLater(retry_s, self.start)


__all__ = ["PeerExchange"]
