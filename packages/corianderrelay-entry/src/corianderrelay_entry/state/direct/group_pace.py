"""Limits the streams of one lock-step group by what all entries measure in it.

The load is that of tens of entries that share a few groups: each sees a handful of the
streams, so one alone can't tell the cost of a stream. All ranks of a group wait for
each other, so all its streams have the same pauses, and entries that receive each
other's measurements compute the same limit.

A pass takes a fixed time plus a cost per stream. The steady cost follows the map of
experts and slow ranks. A jump of popularity raises the current cost within a few passes
and ends with the next map, so the limit follows the current cost in both directions;
the steady cost only covers measurements that are low for a moment.
"""

from __future__ import annotations

import itertools
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from .peer_news import GroupPauses

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

T = TypeVar("T")

# Of the pauses of a second, which are those of about ten passes. One longer pause makes
# all streams late that run in that pass, so nearly the longest one counts.
HIGH_QUANTILE = 0.97
_TARGET_PAUSE_SHARE = 0.85  # of the objective; the rest covers passes that read prompts
_MIN_PAUSES = 6  # of all entries; fewer can belong to one pass
_MIN_STREAMS = 4.0  # with fewer, the fixed time hides the cost of a stream
_RUNNING_S = 1.0  # the pauses of a second belong to the streams of that second
_USUAL_WEIGHT = 0.4  # of a measurement; there are 4 a second
_JUMP_WEIGHT = 0.6  # if all passes are longer; with 0.8, lost updates spread limits
_STEADY_S = 6.0  # several times the duration of a jump, about 2 s until the next map
# Costs of single seconds vary by a factor of 1.5 around the steady one. With a lower
# quantile the limit follows each dip, and streams that start then overload the group.
_STEADY_QUANTILE = 0.7
_MAX_STEADY_RATIO = 1.8  # of the current cost; the group may have got a better map
_MIN_COST_S = 0.0002  # a measured pause can be shorter than the fixed time
# Of the limit, from which on a group gets no streams while another has room. In trials
# with late updates the number of streams swung by about this much.
_AVOIDED_RATIO = 1.25
_ROOM_WEIGHT = 0.5  # of free room that other entries may fill at the same time
_INITIAL_SHARE = 0.5  # of the slots, until the first measurement
_COST_CHANGE_RATIO = 1.3  # of the slowest rank's step time; makes older costs useless


def combine_pauses(measured: Iterable[GroupPauses]) -> GroupPauses | None:
    """Return what entries measured in one group as one measurement.

    It consists of medians over the entries, weighted by their numbers of pauses, so a
    few entries that are late themselves do not count. ``None`` if there are too few.
    """
    counted = [each for each in measured if each.count > 0]
    count = sum(each.count for each in counted)
    if count < _MIN_PAUSES:
        return None
    return GroupPauses(
        counted[0].group,
        _weighted_median((each.high_s, each.count) for each in counted),
        _weighted_median((each.median_s, each.count) for each in counted),
        count,
    )


@dataclass(frozen=True, slots=True)
class GroupRoom:
    """The limit of a group and the streams that run in it.

    :param running: streams of all entries, as far as this one knows.
    :param own: streams of this entry.
    """

    limit: int
    running: int
    own: int

    @property
    def free(self) -> int:
        """Streams that may still start; negative above the limit."""
        return self.limit - self.running


class GroupPace:
    """Estimates the cost of a stream in one group and derives the group's limit."""

    __slots__ = ("_current_s", "_costs", "_running", "_slowness")

    def __init__(self) -> None:
        self._current_s: float | None = None
        self._costs: deque[tuple[float, float]] = deque()
        self._running: deque[tuple[float, int]] = deque()
        self._slowness = 1.0

    @property
    def cost_s(self) -> float:
        """Seconds that a stream adds to a pass; 0 before the first measurement."""
        if self._current_s is None:
            return 0.0
        steady_s = min(self.steady_s, _MAX_STEADY_RATIO * self._current_s)
        return max(steady_s, self._current_s)

    @property
    def steady_s(self) -> float:
        """The cost over the last seconds without jumps; 0 if unknown."""
        ordered = sorted(cost_s for _, cost_s in self._costs)
        return ordered[int(_STEADY_QUANTILE * len(ordered))] if ordered else 0.0

    def set_slowness(self, slowness: float) -> None:
        """Set the slowest rank's step time; discard costs from before it changed.

        :param slowness: the step time as a multiple of the usual one.
        """
        slower, faster = max(slowness, self._slowness), min(slowness, self._slowness)
        if slower > _COST_CHANGE_RATIO * faster:
            self._slowness = slowness
            self._costs.clear()

    def add_measurement(
        self,
        pauses: GroupPauses | None,
        running: int,
        fixed_s: float,
        now: float,
        *,
        ranks: int = 0,
        alone: bool = False,
    ) -> None:
        """Record the pauses of about the last second; the latest of all entries.

        :param running: streams that all entries run in the group now.
        :param fixed_s: time of a pass without streams, in seconds.
        :param ranks: ranks of the group. With fewer streams, pauses show how long a
            prompt takes, and not what a stream adds.
        :param alone: whether this entry hears of no others' streams. Then the cost is
            that of its own, as the share of all that they are.
        """
        self._running.append((now, running))
        _trim(self._running, now - _RUNNING_S)
        _trim(self._costs, now - _STEADY_S)
        streams = sum(count for _, count in self._running) / len(self._running)
        least = 1.0 if alone else max(_MIN_STREAMS, ranks)
        if pauses is None or streams < least:
            return
        cost_s = max((pauses.high_s - fixed_s) / streams, _MIN_COST_S)
        self._costs.append((now, cost_s))
        if self._current_s is None:
            self._current_s = cost_s
        median_s = (pauses.median_s - fixed_s) / streams
        jumped = median_s > self._current_s  # more than single long passes
        weight = _JUMP_WEIGHT if jumped else _USUAL_WEIGHT
        self._current_s += weight * (cost_s - self._current_s)

    def max_streams(
        self, max_pause_s: float, fixed_s: float, slots: int, ranks: int
    ) -> int:
        """Return the maximum number of streams in the group.

        :param max_pause_s: objective of the pauses in seconds; 0 without one.
        :param fixed_s: time of a pass without streams, in seconds.
        :param slots: number of slots of the group's usable runners.
        :param ranks: number of these runners; each may have a stream.
        """
        if max_pause_s <= 0.0:
            return slots
        if self._current_s is None:
            return min(max(int(_INITIAL_SHARE * slots), ranks), slots)
        affordable = (_TARGET_PAUSE_SHARE * max_pause_s - fixed_s) / self.cost_s
        return min(max(int(affordable), ranks), slots)


def choose_group(room_by_group: dict[T, GroupRoom], random: Random) -> T:
    """Return the group for the next stream of an entry.

    Entries see each other's streams late. If all chose the group with the most room,
    they would overfill it until the next updates arrive. So each entry divides its own
    streams, which it knows exactly, in proportion to what the groups can take, and
    rounds at random. Room is filled slowly. A group far above its limit gets none.
    """
    has_room = any(room.free > 0 for room in room_by_group.values())
    weights = {
        name: (
            0.0
            if has_room and room.running > _AVOIDED_RATIO * room.limit
            else max(room.limit + _ROOM_WEIGHT * room.free, 0.0)
        )
        for name, room in room_by_group.items()
    }
    all_weights = sum(weights.values()) or 1.0
    own = 1 + sum(room.own for room in room_by_group.values())
    return max(
        room_by_group,
        key=lambda name: own * weights[name] / all_weights
        - room_by_group[name].own
        + random.random(),
    )


def _weighted_median(weighted: Iterable[tuple[float, int]]) -> float:
    ordered = sorted(weighted)
    sums = list(itertools.accumulate(weight for _, weight in ordered))
    return next(
        value for (value, _), upto in zip(ordered, sums) if 2 * upto >= sums[-1]
    )


def _trim(
    history: deque[tuple[float, float]] | deque[tuple[float, int]], since: float
) -> None:
    while history and history[0][0] < since:
        history.popleft()


__all__ = ["HIGH_QUANTILE", "GroupPace", "GroupRoom", "choose_group", "combine_pauses"]
