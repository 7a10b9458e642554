"""Schedules refresh records, so that late readers find the active version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from .config_fold import ConfigFold
    from .config_records import RefreshRecord

_REFRESH_FRACTION = 0.25
_JITTER_FRACTION = 0.0625
_RETRY_FRACTION = 0.015625
_JITTER_STEPS = 1024


class RefreshTimer:
    """Schedules a refresh well before half of the retention, with per-process jitter.

    :param process_id: seeds the jitter, so that two processes rarely refresh at once.
    :param retention_s: how long the log service keeps records, in seconds.
    """

    __slots__ = ("_refresh_after_s", "_retry_after_s", "_last_append_s")

    def __init__(self, process_id: str, retention_s: float) -> None:
        jitter_step = xxhash.xxh3_64_intdigest(process_id.encode()) % _JITTER_STEPS
        jitter = _JITTER_FRACTION * jitter_step / _JITTER_STEPS
        self._refresh_after_s = retention_s * (_REFRESH_FRACTION + jitter)
        self._retry_after_s = retention_s * _RETRY_FRACTION
        self._last_append_s = 0.0

    def due_record(self, fold: ConfigFold, wall_now_s: float) -> RefreshRecord | None:
        """Return the refresh record to append now; ``None`` if none is due.

        :param wall_now_s: wall-clock time in seconds since 1970.
        """
        if wall_now_s - fold.refreshed_s < self._refresh_after_s:
            return None
        if wall_now_s - self._last_append_s < self._retry_after_s:
            return None
        record = fold.refresh_record(wall_now_s)
        if record is not None:
            self._last_append_s = wall_now_s
        return record


__all__ = ["RefreshTimer"]
