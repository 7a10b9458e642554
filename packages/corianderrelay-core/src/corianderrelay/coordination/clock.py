"""What the code needs of a reactor's clock; twisted's reactor and ``Clock`` have it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class DelayedCall(Protocol):
    """A call that is due later."""

    def active(self) -> int:
        """Return whether the call is still due."""

    def cancel(self) -> None:
        """Make the call never happen."""

    def reset(self, seconds: float) -> None:
        """Make the call due that many seconds from now."""


class Clock(Protocol):
    """Monotonic time and calls that are due later."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(
        self, delay: float, callable: Callable[..., object], *args: object
    ) -> DelayedCall:
        """Call ``callable`` after ``delay`` seconds."""


__all__ = ["Clock", "DelayedCall"]
