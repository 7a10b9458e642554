"""Limits how fast one of many entries starts requests, so that all stay at the limit.

The load is that of tens of entries that see each other's requests up to a second late.
If each started requests whenever it sees free slots, all would take the same slots, and
then none would start any until the others' updates arrive: the number of running
requests swings around the limit, and requests are refused at its lows. So all entries
together start as many requests as complete, and spread the free slots over the time
that updates need. Each gets a share of this rate by its demand, which it may save for a
short while.
"""

from __future__ import annotations

_SPREAD_UPDATES = 1.5  # update ages; with less, entries correct what is on its way
_MIN_UPDATE_AGE_S = 0.4  # own measurements follow each other every 0.25 s
_SAVED_FREE_SHARES = 5.0  # of the free slots; demand at one entry comes in bursts
# Of the rate at which free slots are filled. With 1, one request in ten was refused
# while a fifth of the limit was free (43 entries, 60 streams per second).
_FREE_FACTOR = 2.0
_DEMAND_WEIGHT = 0.1  # of a measurement; there are 4 a second
_MIN_PER_S = 0.2  # of one entry; an idle group completes nothing


def spread_s(update_age_s: float) -> float:
    """Return the seconds over which entries together fill free slots.

    :param update_age_s: greatest usual age of other entries' updates, in seconds.
    """
    return _SPREAD_UPDATES * max(update_age_s, _MIN_UPDATE_AGE_S)


class StartAllowance:
    """The requests of one service that one entry may start.

    :ivar unseen: requests of other entries that have completed since their updates.
    """

    __slots__ = ("_saved", "_max_saved", "_per_s", "_updated_at", "_demand", "unseen")

    def __init__(self) -> None:
        self._saved = 1.0
        self._max_saved = 1.0
        self._per_s = _MIN_PER_S
        self._updated_at = 0.0
        self._demand: float | None = None
        self.unseen = 0

    def update(
        self,
        free: int,
        completions_per_s: float,
        share: float,
        entries: int,
        update_age_s: float,
        now: float,
    ) -> None:
        """Set the rate from the state of all entries.

        :param free: free slots; negative while more requests run than the limit allows.
        :param completions_per_s: requests that all entries complete per second.
        :param share: this entry's share of the demand of the entries that it hears.
        :param entries: number of these entries, this one included.
        :param update_age_s: greatest usual age of other entries' updates, in seconds.
        """
        is_first = self._demand is None
        # As a multiple of the mean demand: the share follows the number of entries.
        demand = share * entries
        if self._demand is None:
            self._demand = demand
        self._demand += _DEMAND_WEIGHT * (demand - self._demand)
        share = self._demand / entries
        self.unseen = int(completions_per_s * update_age_s * max(1.0 - share, 0.0))
        free_per_s = free / spread_s(update_age_s)
        if free > 0:
            free_per_s *= _FREE_FACTOR
        all_per_s = completions_per_s + free_per_s
        self._accrue(now)
        self._per_s = max(share * all_per_s, _MIN_PER_S if free > 0 else 0.0)
        self._max_saved = 1.0 + _SAVED_FREE_SHARES * share * max(free, 0)
        self._saved = self._max_saved if is_first else min(self._saved, self._max_saved)

    def available(self, now: float) -> int:
        """Return how many requests may start now."""
        self._accrue(now)
        return int(self._saved)

    def spend(self, now: float) -> None:
        """Record that a request was started."""
        self._accrue(now)
        self._saved -= 1.0

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the seconds until a request may start, with so many before it."""
        self._accrue(now)
        missing = max(ahead + 1 - self._saved, 0.0)
        return missing / max(self._per_s, _MIN_PER_S)

    def _accrue(self, now: float) -> None:
        accrued = self._per_s * max(now - self._updated_at, 0.0)
        self._saved = min(self._saved + accrued, self._max_saved)
        self._updated_at = now


__all__ = ["StartAllowance", "spread_s"]
