"""Introduces this entry to the others and exchanges news with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.entry_peers import EntryPeers, PeerUpdate
from .decision_log import Decision
from .dependency import Dependency

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.python.failure import Failure

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.settings import DirectSettings
    from .decision_log import DecisionLog
    from .ports import EntryRegistry

_INTRODUCE_RETRY_S = 2.0  # entries that know each other already do without
_LOOK_AGAIN_S = 15.0  # finds entries whose introduction crossed this one's reading


class PeerExchange:
    """Tells the other entries of this one.

    :param tell: sends news to addresses.
    :param on_news: called when the other entries' work may have changed.
    """

    def __init__(
        self,
        settings: DirectSettings,
        incarnation: int,
        registry: EntryRegistry,
        clock: Clock,
        log: DecisionLog,
        tell: Callable[[PeerUpdate, Iterable[tuple[str, int]]], None],
        on_news: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._registry = registry
        self._clock = clock
        self._log = log
        self._tell = tell
        self._on_news = on_news
        self._sequence = 0
        self._dependency = Dependency("entry registry", log)
        self.peers = EntryPeers(settings.entry_id)

    def start(self) -> None:
        """Write where this entry is and learn where the others are."""
        own = self._settings.peers
        introduced = self._registry.introduce(
            self._settings.entry_id, own.host, own.port
        )
        introduced.addCallbacks(lambda _: self._look(), self._failed)

    def hear(self, news: PeerUpdate) -> None:
        """Take another entry's news."""
        if self.peers.on_update(news, self._clock.seconds()):
            self._log.note(
                Decision.ENTRY_HEARD,
                entry=news.entry_id,
                incarnation=news.incarnation,
                ready=news.ready,
            )
        self._on_news()

    def tell(
        self,
        ready: bool,
        running: dict[str, int],
        waiting: dict[str, int],
        slowness: dict[str, float],
    ) -> None:
        """Send this entry's news to all others."""
        self._sequence += 1
        own = self._settings
        news = PeerUpdate(
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
        )
        self._tell(news, self.peers.addresses())
        for entry_id in self.peers.evict_silent(self._clock.seconds()):
            self._log.note(Decision.ENTRY_FORGOTTEN, entry=entry_id)

    def _look(self) -> None:
        self._registry.known().addCallbacks(self._take_known, self._failed)

    def _take_known(self, known: dict[str, tuple[str, int]]) -> None:
        now = self._clock.seconds()
        self._dependency.back()
        for entry_id, (host, port) in known.items():
            self.peers.add_peer(entry_id, host, port, now)
        self._clock.callLater(_LOOK_AGAIN_S, self._look)

    def _failed(self, failure: Failure) -> None:
        self._dependency.lost(reason=failure.getErrorMessage())
        self._clock.callLater(_INTRODUCE_RETRY_S, self.start)


__all__ = ["PeerExchange"]
