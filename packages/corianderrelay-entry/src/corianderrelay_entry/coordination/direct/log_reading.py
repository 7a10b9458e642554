"""Logs where a reader stands in the platform's log, and why it starts over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decision_log import Decision

if TYPE_CHECKING:
    from ...state.direct.log_position import LogPosition
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics


class LogReading:
    """The position of one reader of the log.

    :param name: the reader's name in logs and metrics.
    :ivar position: the position of the next record; ``None`` before the first read,
        and while all newest records have to be read.
    """

    __slots__ = ("_name", "_log", "_metrics", "_last", "position")

    def __init__(self, name: str, log: DecisionLog, metrics: DirectMetrics) -> None:
        self._name = name
        self._log = log
        self._metrics = metrics
        self._last: LogPosition | None = None
        self.position: LogPosition | None = None

    def advance(self, position: LogPosition) -> bool:
        """Record the position after an answer; return whether the log was restored."""
        last, self._last, self.position = self._last, position, position
        if last is not None and last.era == position.era:
            return False
        self._metrics.log_era.set({"reader": self._name}, position.era)
        self._log.note(
            Decision.LOG_ERA,
            reader=self._name,
            stated=position.era > 0,
            era=position.era,
            era_before=None if last is None else last.era,
            offset=position.offset,
            offset_before=None if last is None else last.offset,
        )
        return last is not None

    def is_replaced(
        self, position: LogPosition, end: int, record_offset: int | None
    ) -> bool:
        """Return whether newest records show that the log was replaced; log it.

        :param position: the position after them.
        :param end: offset of the end of the log.
        :param record_offset: offset of the record of the position's mark, if any.
        """
        last = self._last
        if last is None:
            return False
        # A record before the last position was read, unless it was written later.
        earlier = record_offset is None or record_offset < last.offset
        if end >= last.offset and (position.mark == last.mark or not earlier):
            return False
        self._log.note(
            Decision.LOG_REPLACED,
            reader=self._name,
            end=end,
            offset=record_offset,
            mark=position.mark,
            offset_before=last.offset,
            mark_before=last.mark,
        )
        return True

    def start_over(self, reason: str) -> None:
        """Discard the position, so that the next read is of all newest records."""
        position, self.position = self.position, None
        self._metrics.log_read_again.inc({"reader": self._name})
        self._log.note(
            Decision.LOG_READ_AGAIN,
            reader=self._name,
            era=None if position is None else position.era,
            offset=None if position is None else position.offset,
            reason=reason,
        )


__all__ = ["LogReading"]
