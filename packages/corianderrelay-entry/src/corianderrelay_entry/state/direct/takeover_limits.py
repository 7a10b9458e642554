"""Which runners may have a place for the takeover of a silent attempt.

A runner queues a few requests beyond its slots. One takeover at a time may wait there,
and a runner that has rejected one gets the next when fewer requests run there than at
the rejection, or after a pause. A full service thus gets few takeovers.
"""

from __future__ import annotations

_QUEUED_TAKEOVERS = 1
_PAUSE_S = 0.4  # callers wait for 2 s, the first takeover starts after 0.8 s


class TakeoverLimits:
    """Limits the takeovers that this entry sends to each runner."""

    __slots__ = ("_rejection_by_id",)

    def __init__(self) -> None:
        # Time of the last rejection, and the requests that ran at the runner then.
        self._rejection_by_id: dict[str, tuple[float, int]] = {}

    def may_have_place(
        self, runner_id: str, slots: int, running: int, now: float
    ) -> bool:
        """Return whether a takeover may be sent to a runner.

        :param running: requests of all entries that run at the runner.
        """
        if running >= max(slots, 1) + _QUEUED_TAKEOVERS:
            return False
        rejection = self._rejection_by_id.get(runner_id)
        if rejection is None:
            return True
        rejected_at, running_then = rejection
        return running < running_then or now - rejected_at >= _PAUSE_S

    def on_rejected(self, runner_id: str, running: int, now: float) -> None:
        """Record a rejection.

        :param running: requests that run at the runner, without the rejected takeover.
        """
        self._rejection_by_id[runner_id] = (now, running)

    def evict_runner(self, runner_id: str) -> None:
        """Remove the record of a runner that was removed or restarted."""
        self._rejection_by_id.pop(runner_id, None)


__all__ = ["TakeoverLimits"]
