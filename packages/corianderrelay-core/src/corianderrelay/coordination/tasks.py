"""Helpers that run coroutines on the event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.defer import Deferred
from twisted.logger import Logger

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_LOGGER = Logger()


class Scheduler(Protocol):
    """A monotonic clock with timers, such as Twisted's reactor."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(self, delay: float, call: Callable[[], object]) -> object:
        """Call ``call`` after ``delay`` seconds."""


def spawn(coroutine: Coroutine[Deferred[Any], Any, object]) -> None:
    """Run a coroutine in the background, discard its result and log its failure."""
    running = Deferred.fromCoroutine(coroutine)
    running.addErrback(
        lambda failure: _LOGGER.failure("background task failed", failure)
    )


async def pause(scheduler: Scheduler, delay_s: float) -> None:
    """Wait for ``delay_s`` seconds."""
    elapsed: Deferred[None] = Deferred()
    scheduler.callLater(delay_s, lambda: elapsed.callback(None))
    await elapsed


__all__ = ["Scheduler", "pause", "spawn"]
