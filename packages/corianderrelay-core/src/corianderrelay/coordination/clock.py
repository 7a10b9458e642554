"""Clock interface that Twisted's reactor and its test ``Clock`` both implement."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class DelayedCall(Protocol):
    """A scheduled call."""

    def active(self) -> int:
        """Return whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call."""

    def reset(self, seconds: float) -> None:
        """Reschedule the call to ``seconds`` from now."""


class Clock(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> DelayedCall:
        """Call ``callable`` after ``delay`` seconds."""


__all__ = ["Clock", "DelayedCall"]
