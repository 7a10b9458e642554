"""How many streams a lock-step group may carry so that its pauses stay short.

A pass takes a fixed time and a part for each stream in the group. That part changes
with the experts that requests choose, so it is learned from the pauses that are seen.
It can jump while streams run that were admitted before, so the limit goes by what it
was at its usual worst of late.
"""

from __future__ import annotations

from collections import deque

_TARGET_PAUSE_SHARE = (
    0.85  # of the pause that is aimed at; the rest is for long prompts
)
_SMOOTHING = 0.3  # share of the newest measurement; measured some times a second
_MIN_STREAMS_MEASURED = 6  # with fewer, the fixed part hides what a stream adds
_HISTORY_S = 8.0  # longer than popularity usually stays
_HIGH_QUANTILE = 0.8  # share of the remembered measurements that stay below
_MAX_COST_JUMP = 1.8  # times that a jump of popularity makes a stream dearer
_MIN_PER_STREAM_S = 0.001  # a pause can seem shorter than the fixed time
_INITIAL_SHARE = 0.5  # of all places, until the first measurement


class StreamLimit:
    """Learns what a stream adds to a pass and limits the streams by it."""

    __slots__ = ("_per_stream_s", "_history")

    def __init__(self) -> None:
        self._per_stream_s: float | None = None
        self._history: deque[tuple[float, float]] = deque()

    def add_measurement(
        self, pause_s: float, streams: int, fixed_s: float, now: float
    ) -> None:
        """Take a pause that was seen while so many streams were in the group.

        :param fixed_s: time of a pass without streams, in seconds.
        """
        if streams < _MIN_STREAMS_MEASURED or pause_s <= 0.0:
            return
        per_stream_s = max(pause_s - fixed_s, _MIN_PER_STREAM_S) / streams
        if self._per_stream_s is None:
            self._per_stream_s = per_stream_s
        self._per_stream_s += _SMOOTHING * (per_stream_s - self._per_stream_s)
        self._history.append((now, self._per_stream_s))
        self._trim(now)

    def reset(self) -> None:
        """Drop what was learned while ranks had another pace."""
        self._per_stream_s = None
        self._history.clear()

    def high_cost_s(self) -> float:
        """Return the seconds that a stream adds to a pass when that is much."""
        current_s = self._per_stream_s or 0.0
        ordered = sorted(per_stream_s for _, per_stream_s in self._history)
        high_s = ordered[int(_HIGH_QUANTILE * len(ordered))]
        return max(min(high_s, _MAX_COST_JUMP * current_s), current_s)

    def max_streams(
        self, max_pause_s: float, fixed_s: float, slots: int, ranks: int, now: float
    ) -> int:
        """Return the most streams that the group should carry.

        :param aim_s: longest pause that is aimed at; 0 if there is none.
        :param places: streams that the group's runners take at once.
        """
        self._trim(now)
        if not self._history:
            return max(int(_INITIAL_SHARE * slots), ranks)
        if max_pause_s <= 0.0:
            return slots
        affordable = (_TARGET_PAUSE_SHARE * max_pause_s - fixed_s) / self.high_cost_s()
        return min(max(int(affordable), ranks), slots)

    def _trim(self, now: float) -> None:
        while self._history and now - self._history[0][0] > _HISTORY_S:
            self._history.popleft()


__all__ = ["StreamLimit"]
