"""Measures the pass duration of a lock-step group from the pauses between events.

All ranks run in lock-step, so the pauses of any stream show the pass duration.
"""

from __future__ import annotations

from collections import deque

_WINDOW_S = 1.0  # about ten passes; expert popularity changes every few seconds
_RECENT_S = 0.3  # at least two passes
_DEFAULT_FIRST_EVENT_S = 0.15  # until the first one is recorded
_MAX_FIRST_EVENTS = 32  # several seconds of streams of one entry
_FIRST_EVENT_QUANTILE = 0.9  # the slowest tenth may miss its objective


class PassTiming:
    """Recent pauses between events, and recent times to a first event."""

    __slots__ = ("_pauses", "_first_events")

    def __init__(self) -> None:
        self._pauses: deque[tuple[float, float]] = deque()
        self._first_events: deque[float] = deque(maxlen=_MAX_FIRST_EVENTS)

    @property
    def first_event_s(self) -> float:
        """90th percentile of the time from attempt to first event, in seconds."""
        if not self._first_events:
            return _DEFAULT_FIRST_EVENT_S
        ordered = sorted(self._first_events)
        return ordered[int(_FIRST_EVENT_QUANTILE * len(ordered))]

    def record_first_event(self, first_event_s: float) -> None:
        """Record the time from an attempt's start to its first event."""
        self._first_events.append(first_event_s)

    def reset(self) -> None:
        """Discard the recorded pauses."""
        self._pauses.clear()

    def record_pause(self, pause_s: float, now: float) -> None:
        """Record the pause before an event."""
        self._pauses.append((now, pause_s))
        self._trim(now)

    def recent_median_s(self, now: float) -> float:
        """Return the median of the most recent pauses in seconds; 0 if none."""
        return self.quantile_s(0.5, now, _RECENT_S)

    def quantile_s(
        self, quantile: float, now: float, window_s: float = _WINDOW_S
    ) -> float:
        """Return this quantile of the pauses in the window in seconds; 0 if empty."""
        self._trim(now)
        ordered = sorted(
            pause_s for at, pause_s in self._pauses if now - at <= window_s
        )
        if not ordered:
            return 0.0
        return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]

    def pause_count(self, now: float) -> int:
        """Return the number of pauses in the window."""
        self._trim(now)
        return len(self._pauses)

    def _trim(self, now: float) -> None:
        while self._pauses and now - self._pauses[0][0] > _WINDOW_S:
            self._pauses.popleft()


__all__ = ["PassTiming"]
