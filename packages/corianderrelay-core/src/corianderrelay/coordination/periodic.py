"""Calls a function again and again on a given clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from .clock import Clock


class Periodic:
    """A function that is called at a fixed period while started.

    :param clock: the reactor, or a virtual clock.
    :param function: may return a deferred; the next call then waits for it.
    """

    __slots__ = ("_call",)

    def __init__(self, clock: Clock, function: Callable[[], object]) -> None:
        self._call = LoopingCall(function)
        reactor: Any = clock
        self._call.clock = reactor

    def start(self, period_s: float, *, now: bool = False) -> None:
        """Begin to call, at once if ``now``."""
        self._call.start(period_s, now=now)

    def stop(self) -> None:
        """Call no more."""
        if self._call.running:
            self._call.stop()


__all__ = ["Periodic"]
