"""Adds up one entry's fractions of the slots that become free."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import Counter

    from .service_queue import ServiceLoad
    from .slot_flow import SlotFlow

# Ranks that run in lock-step release their slots together, once in a pass. The credits
# of a longer time without free slots would all be used at the same moment.
_MAX_CREDIT_S = 0.15


class SlotCredits:
    """The slots that this entry may take for each priority.

    Slots become free for all entries together, and each gets a fraction of them in
    proportion to its waiting requests. The credits replace a random choice.

    :param phase: between 0 and 1, different at each entry, so that the fractions of the
        entries do not add up to a slot at the same time.
    """

    __slots__ = ("_flow", "_phase", "_credit_by_priority", "_accrued_at")

    def __init__(self, flow: SlotFlow, phase: float) -> None:
        self._flow = flow
        self._phase = phase
        self._credit_by_priority: dict[int, float] = {}
        self._accrued_at: float | None = None

    def accrue(
        self,
        own: Counter[int],
        waiting: Counter[int],
        free: int,
        load: ServiceLoad,
        now: float,
    ) -> None:
        """Add this entry's share of the slots since the last call.

        A priority with demand of which none waits here gets its floor, so that its next
        request can start.

        :param own: requests that wait here, by priority.
        :param waiting: requests that wait at all entries, by priority.
        """
        if self._accrued_at is None:
            self._accrued_at = now
        elapsed_s = max(now - self._accrued_at, 0.0)  # the clock can be set back
        self._accrued_at = now
        for priority in self._flow.demanding(now) | set(own):
            if own[priority]:
                spare = self._flow.spare(priority, free, waiting, load, now)
                per_s = self._flow.admission_per_s(priority, spare, load, now)
                per_s *= own[priority] / waiting[priority]
            else:
                per_s = self._flow.floor_per_s(load, now) / (load.entries + 1)
            credit = self._credit(priority) + per_s * elapsed_s
            most = 1.0 + per_s * _MAX_CREDIT_S
            self._credit_by_priority[priority] = min(credit, most)

    def has_slot(self, priority: int) -> bool:
        """Return whether the next request of the priority may take a slot."""
        return self._credit(priority) >= 1.0

    def spend(self, priority: int, most: int) -> int:
        """Take and return the whole slots of a priority, ``most`` of them at most."""
        credit = self._credit(priority)
        slots = min(int(credit), max(most, 0))
        self._credit_by_priority[priority] = credit - slots
        return slots

    def _credit(self, priority: int) -> float:
        return self._credit_by_priority.get(priority, self._phase)


__all__ = ["SlotCredits"]
