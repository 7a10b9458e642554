"""Starts coroutines on the loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.defer import Deferred
from twisted.logger import Logger

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_LOGGER = Logger()


class Scheduler(Protocol):
    """A monotonic clock with timers; a reactor is one."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(self, delay: float, call: Callable[[], object]) -> object:
        """Call ``call`` after ``delay`` seconds."""


def spawn(coroutine: Coroutine[Deferred[Any], Any, object]) -> None:
    """Run a coroutine whose result nobody waits for; a failure of it is logged."""
    running = Deferred.fromCoroutine(coroutine)
    running.addErrback(lambda failure: _LOGGER.failure("a task failed", failure))


async def pause(scheduler: Scheduler, delay_s: float) -> None:
    """Wait for ``delay_s`` seconds."""
    waited: Deferred[None] = Deferred()
    scheduler.callLater(delay_s, lambda: waited.callback(None))
    await waited


__all__ = ["Scheduler", "pause", "spawn"]
