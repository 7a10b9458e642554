"""When a closed group returns, who tries it, and when refused callers come back.

The load is that of many entries whose callers each come back once: they must neither
find the group closed nor all come in the same moment.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from statistics import median

_KEPT_DURATIONS = 9  # causes of outages change within a day
_MIN_OUTAGE_S = 0.3  # a group that answers sooner had not stopped; nothing is learned
_MIN_DELAY_S = 0.2  # of a forecast that has passed
_DELAY_SHARE = 0.25  # of the time for which a group has been closed longer than ever
# A turn to probe is longer than the first event of an accepted probe takes. In long
# outages turns grow, so that probes stay few.
_TURN_S = 0.3
_GROWING_AFTER_S = 6.0
_LEAD_SHARE = 0.25  # of the expected duration: groups also return early
_MIN_LEAD_S = 0.3


class OutageForecast:
    """Learns how long the groups of each service stay closed."""

    __slots__ = ("_durations_by_service",)

    def __init__(self) -> None:
        self._durations_by_service: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=_KEPT_DURATIONS)
        )

    def learn(self, service: str, duration_s: float) -> None:
        """Record the time from the closing of a group to its first answer."""
        if duration_s >= _MIN_OUTAGE_S:
            self._durations_by_service[service].append(duration_s)

    def opens_in_s(self, service: str, usual_s: float, elapsed_s: float) -> float:
        """Return the expected seconds until a group opens.

        That is by the median of the outages that lasted longer than this one has so
        far.

        :param usual_s: duration of an outage while none was observed.
        :param elapsed_s: seconds since the group has closed.
        """
        durations_s = self._durations_by_service[service] or [usual_s]
        longer_s = [each for each in durations_s if each > elapsed_s]
        if longer_s:
            return median(longer_s) - elapsed_s
        return max(_DELAY_SHARE * elapsed_s, _MIN_DELAY_S)


def is_probing_time(elapsed_s: float, opens_in_s: float) -> bool:
    """Whether the return of a group is so near that one request may try it."""
    lead_s = max(_LEAD_SHARE * (elapsed_s + opens_in_s), _MIN_LEAD_S)
    return opens_in_s <= lead_s


def probing_turn(elapsed_s: float) -> int:
    """Return the number of the turn to probe, by the time since the group closed."""
    if elapsed_s <= _GROWING_AFTER_S:
        return int(elapsed_s / _TURN_S)
    turns = _GROWING_AFTER_S / _TURN_S
    return int(turns * (1.0 + math.log(elapsed_s / _GROWING_AFTER_S)))


def spread_s(
    nth: int, index: int, entries: int, slots: int, answer_s: float, width_s: float
) -> float:
    """Return how long after a group's return a refused caller should come back.

    The callers of all entries come back as fast as the group takes them, again from the
    start if that takes longer than the whole width.

    :param nth: number of callers that this entry has sent away before.
    :param index: position of this entry among the entries, from 0 on.
    :param slots: requests that the group runs at once, for ``answer_s`` seconds each.
    """
    if width_s <= 0.0:
        return 0.0
    position = nth * max(entries, 1) + index
    return (position * answer_s / max(slots, 1)) % width_s


__all__ = ["OutageForecast", "is_probing_time", "probing_turn", "spread_s"]
