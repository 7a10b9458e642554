"""Limits the concurrent streams of a lock-step group to keep its pauses short.

A pass takes a fixed time plus a cost per stream. The cost depends on the experts that
requests select, so it is estimated from measured pauses. It can rise while admitted
streams run, so the limit uses a high quantile of the recent costs.
"""

from __future__ import annotations

from collections import deque

_TARGET_PAUSE_SHARE = 0.85  # of the target pause; the rest is headroom for long prompts
_SMOOTHING = 0.3  # weight of the newest measurement; there are several per second
_MIN_STREAMS_MEASURED = 6  # with fewer, the fixed time hides the cost per stream
_HISTORY_S = 8.0  # longer than the usual time between popularity jumps
_HIGH_QUANTILE = 0.8  # of the history; near the worst usual cost
_MAX_COST_JUMP = 1.8  # largest factor by which a popularity jump raises the cost
_MIN_PER_STREAM_S = 0.001  # a measured pause can be shorter than the fixed time
_INITIAL_SHARE = 0.5  # of all slots, until the first measurement


class StreamLimit:
    """Estimates the cost of a stream per pass and derives the limit from it."""

    __slots__ = ("_per_stream_s", "_history")

    def __init__(self) -> None:
        self._per_stream_s: float | None = None
        self._history: deque[tuple[float, float]] = deque()

    def add_measurement(
        self, pause_s: float, streams: int, fixed_s: float, now: float
    ) -> None:
        """Record a pause that was measured with this many streams in the group.

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
        """Discard the estimate because the speed of the ranks has changed."""
        self._per_stream_s = None
        self._history.clear()

    def high_cost_s(self) -> float:
        """Return a high estimate of the seconds that a stream adds to a pass.

        The history must hold at least one measurement.
        """
        current_s = self._per_stream_s or 0.0
        ordered = sorted(per_stream_s for _, per_stream_s in self._history)
        high_s = ordered[int(_HIGH_QUANTILE * len(ordered))]
        return max(min(high_s, _MAX_COST_JUMP * current_s), current_s)

    def max_streams(
        self, max_pause_s: float, fixed_s: float, slots: int, ranks: int, now: float
    ) -> int:
        """Return the maximum number of streams for the group.

        :param max_pause_s: target for the longest pause, in seconds; 0 for no target.
        :param fixed_s: time of a pass without streams, in seconds.
        :param slots: number of slots of the group's runners.
        :param ranks: number of ranks; the limit allows at least one stream for each.
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
