"""Detects that the engine is down, which the agent reports to the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from corianderrelay.coordination.clock import Clock

    from .engine import Engine

_CHECK_PERIOD_S = 0.5  # while the engine is down; shorter than a heartbeat period


class EngineWatch:
    """Checks the engine after each failed call, and again until it is back.

    :ivar up: whether the engine accepts connections, as far as is known.
    """

    def __init__(self, engine: Engine, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock
        self._checking = False
        self.up = True

    def on_call_failed(self) -> None:
        """Check the engine unless a check is in progress."""
        if not self._checking:
            self._check()

    def _check(self) -> None:
        self._checking = True
        self._engine.check_reachable().addCallback(self._on_checked)

    def _on_checked(self, reachable: bool) -> None:
        self._checking = not reachable
        if reachable != self.up:
            self.up = reachable
            eliot.log_message(message_type="engine:reachable", reachable=reachable)
        if not reachable:
            self._clock.callLater(_CHECK_PERIOD_S, self._check)


__all__ = ["EngineWatch"]
