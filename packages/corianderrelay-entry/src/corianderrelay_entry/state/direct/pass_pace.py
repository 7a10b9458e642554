"""The pace of a lock-step group, as the pauses between events of its streams show.

All ranks pass together, so any stream of the group tells how long a pass takes.
"""

from __future__ import annotations

from collections import deque

_WINDOW_S = 1.0  # some ten passes; popularity of experts changes within seconds
_RECENT_S = 0.3  # two passes or more
_DEFAULT_FIRST_EVENT_S = 0.15  # until the first stream has begun
_MAX_FIRST_EVENTS = 32  # some seconds of an entry's streams
_FIRST_EVENT_QUANTILE = 0.9  # of the streams; a later one is late for its caller


class PassPace:
    """Pauses between events that were seen of late."""

    __slots__ = ("_pauses", "_first_events")

    def __init__(self) -> None:
        self._pauses: deque[tuple[float, float]] = deque()
        self._first_events: deque[float] = deque(maxlen=_MAX_FIRST_EVENTS)

    @property
    def first_event_s(self) -> float:
        """Time from a send to its first event that few streams exceed, in seconds."""
        if not self._first_events:
            return _DEFAULT_FIRST_EVENT_S
        ordered = sorted(self._first_events)
        return ordered[int(_FIRST_EVENT_QUANTILE * len(ordered))]

    def record_first_event(self, first_event_s: float) -> None:
        """Note the time from a send to its first event."""
        self._first_events.append(first_event_s)

    def reset(self) -> None:
        """Drop the pauses that were seen."""
        self._pauses.clear()

    def record_pause(self, pause_s: float, now: float) -> None:
        """Note the pause before an event."""
        self._pauses.append((now, pause_s))
        self._trim(now)

    def latest_s(self, now: float) -> float:
        """Return the median of the very last pauses; 0 without any."""
        return self.quantile_s(0.5, now, _RECENT_S)

    def quantile_s(
        self, share: float, now: float, window_s: float = _WINDOW_S
    ) -> float:
        """Return the pause that this share of the pauses does not exceed."""
        self._trim(now)
        ordered = sorted(
            pause_s for at, pause_s in self._pauses if now - at <= window_s
        )
        if not ordered:
            return 0.0
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]

    def pause_count(self, now: float) -> int:
        """Return the number of pauses in the window."""
        self._trim(now)
        return len(self._pauses)

    def _trim(self, now: float) -> None:
        while self._pauses and now - self._pauses[0][0] > _WINDOW_S:
            self._pauses.popleft()


__all__ = ["PassPace"]
