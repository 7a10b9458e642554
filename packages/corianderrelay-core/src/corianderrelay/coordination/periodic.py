"""Calls a function periodically on a given clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from .clock import Clock


class Periodic:
    """Calls a function at a fixed period between ``start`` and ``stop``.

    :param clock: the reactor, or a test clock.
    :param function: may return a deferred; the next call waits until it fires.
    """

    __slots__ = ("_call",)

    def __init__(self, clock: Clock, function: Callable[[], object]) -> None:
        self._call = LoopingCall(function)
        reactor: Any = clock
        self._call.clock = reactor

    def start(self, period_s: float, *, now: bool = False) -> None:
        """Start the periodic calls; with ``now``, the first is immediate."""
        self._call.start(period_s, now=now)

    def stop(self) -> None:
        """Stop the periodic calls."""
        if self._call.running:
            self._call.stop()


__all__ = ["Periodic"]
