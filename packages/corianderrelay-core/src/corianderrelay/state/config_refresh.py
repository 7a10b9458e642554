"""Decides when the version in force is appended again for late readers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from .config_fold import ConfigFold
    from .config_records import RefreshRecord

_REFRESH_SHARE = 0.25
_SPREAD_SHARE = 0.0625
_AGAIN_SHARE = 0.015625
_SPREAD_STEPS = 1024


class RefreshTimer:
    """Refreshes well before half of the retention; processes differ in their turn.

    :param process_id: spreads the processes, so that seldom two refresh at once.
    :param retention_s: how long the log service keeps records, in seconds.
    """

    __slots__ = ("_after_s", "_again_s", "_appended_s")

    def __init__(self, process_id: str, retention_s: float) -> None:
        step = xxhash.xxh3_64_intdigest(process_id.encode()) % _SPREAD_STEPS
        spread = _SPREAD_SHARE * step / _SPREAD_STEPS
        self._after_s = retention_s * (_REFRESH_SHARE + spread)
        self._again_s = retention_s * _AGAIN_SHARE
        self._appended_s = 0.0

    def due_record(self, fold: ConfigFold, wall_now_s: float) -> RefreshRecord | None:
        """Return the record to append now, if it is time.

        :param wall_now_s: wall-clock time in seconds since 1970.
        """
        if wall_now_s - fold.refreshed_s < self._after_s:
            return None
        if wall_now_s - self._appended_s < self._again_s:
            return None
        record = fold.refresh_record(wall_now_s)
        if record is not None:
            self._appended_s = wall_now_s
        return record


__all__ = ["RefreshTimer"]
