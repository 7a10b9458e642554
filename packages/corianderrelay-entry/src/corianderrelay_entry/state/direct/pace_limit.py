"""How many streams a lock-step group may carry so that its pauses stay short.

A pass takes a fixed time and a part for each stream in the group. That part changes
with the experts that requests choose, so it is learned from the pauses that are seen.
"""

from __future__ import annotations

_TARGET_SHARE = 0.85  # of the pause that is aimed at; the rest is for long prompts
_LEARNING = 0.3  # share of the newest measurement; measured some times a second
_MIN_STREAMS_MEASURED = 6  # with fewer, the fixed part hides what a stream adds
_START_SHARE = 0.5  # of all places, until the first measurement


class PaceLimit:
    """Learns what a stream adds to a pass and limits the streams by it."""

    __slots__ = ("_per_stream_s",)

    def __init__(self) -> None:
        self._per_stream_s: float | None = None

    @property
    def per_stream_s(self) -> float | None:
        """Seconds that each stream adds to a pass, as far as learned."""
        return self._per_stream_s

    def measured(self, pause_s: float, streams: int, fixed_s: float) -> None:
        """Take a pause that was seen while so many streams were in the group.

        :param fixed_s: time of a pass without streams, in seconds.
        """
        if streams < _MIN_STREAMS_MEASURED or pause_s <= fixed_s:
            return
        per_stream_s = (pause_s - fixed_s) / streams
        if self._per_stream_s is None:
            self._per_stream_s = per_stream_s
        self._per_stream_s += _LEARNING * (per_stream_s - self._per_stream_s)

    def streams(self, aim_s: float, fixed_s: float, places: int, ranks: int) -> int:
        """Return the most streams that the group should carry.

        :param aim_s: longest pause that is aimed at; 0 if there is none.
        :param places: streams that the group's runners take at once.
        """
        if self._per_stream_s is None:
            return max(int(_START_SHARE * places), ranks)
        if aim_s <= 0.0:
            return places
        wanted = (_TARGET_SHARE * aim_s - fixed_s) / self._per_stream_s
        return min(max(int(wanted), ranks), places)


__all__ = ["PaceLimit"]
