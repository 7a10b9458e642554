"""One structured line for each decision; bounded by kind, so that a surge costs little.

Kinds are listed in :class:`Decision` with the fields that each line carries.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from collections.abc import Callable

_LINES_PER_S = 60.0  # by kind; several times an entry's usual rate of requests
_BURST_LINES = 180.0  # a surge of three seconds is logged whole


class Decision(Enum):
    """What can be decided: about a request, or about what this process believes."""

    REQUEST_TAKEN = "request:taken"
    REQUEST_QUEUED = "request:queued"
    REQUEST_PLACED = "request:placed"
    REQUEST_LEFT_RUNNER = "request:left_runner"
    REQUEST_CANCELLED = "request:cancelled"
    REQUEST_ENDED = "request:ended"
    REQUEST_MALFORMED = "request:malformed"
    CONFIG_IN_FORCE = "config:in_force"
    CONFIG_REJECTED = "config:rejected"
    KEYS_UNTRUSTED = "keys:untrusted"
    KEYS_TRUSTED = "keys:trusted"
    RUNNER_KNOWN = "runner:known"
    RUNNER_LEAVING = "runner:leaving"
    RUNNER_GONE = "runner:gone"
    ENTRY_HEARD = "entry:heard"
    ENTRY_FORGOTTEN = "entry:forgotten"
    DATAGRAM_MALFORMED = "entry:datagram_malformed"
    GROUP_FOUND = "group:found"
    POPULARITY_READ = "popularity:read"
    MAP_PLANNED = "map:planned"
    MAP_SWITCH = "map:switch"
    RANK_ORDERED = "rank:ordered"
    RANK_SILENT = "rank:silent"
    PACE_SEEN = "pace:seen"
    DEPENDENCY_LOST = "dependency:lost"
    DEPENDENCY_BACK = "dependency:back"
    PROCESS_STARTED = "process:started"
    PROCESS_LEAVING = "process:leaving"
    PROCESS_RELOADED = "process:reloaded"
    PROCESS_STOPPED = "process:stopped"


class _Bucket:
    __slots__ = ("lines", "filled_at", "left_out")

    def __init__(self, now: float) -> None:
        self.lines = _BURST_LINES
        self.filled_at = now
        self.left_out = 0


class DecisionLog:
    """Writes decisions through eliot.

    :param seconds: returns the monotonic time.
    """

    __slots__ = ("_seconds", "_buckets_by_kind")

    def __init__(self, seconds: Callable[[], float]) -> None:
        self._seconds = seconds
        self._buckets_by_kind: dict[Decision, _Bucket] = {}

    def note(self, kind: Decision, **fields: object) -> None:
        """Write one line, or count it as left out when there are too many."""
        now = self._seconds()
        bucket = self._buckets_by_kind.get(kind)
        if bucket is None:
            bucket = self._buckets_by_kind[kind] = _Bucket(now)
        gained = (now - bucket.filled_at) * _LINES_PER_S
        bucket.lines = min(bucket.lines + gained, _BURST_LINES)
        bucket.filled_at = now
        if bucket.lines < 1.0:
            bucket.left_out += 1
            return
        bucket.lines -= 1.0
        if bucket.left_out:
            fields["left_out"] = bucket.left_out
            bucket.left_out = 0
        eliot.log_message(message_type=kind.value, at_s=round(now, 4), **fields)


__all__ = ["Decision", "DecisionLog"]
