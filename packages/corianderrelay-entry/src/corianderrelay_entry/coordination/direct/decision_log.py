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
    """What can be decided: about a request, or about what this process believes.

    Each kind has its name in the log and what its line tells.
    """

    meaning: str

    def __new__(cls, kind: str, meaning: str) -> Decision:
        """Make a kind; its value is the name in the log."""
        member = object.__new__(cls)
        member._value_ = kind
        member.meaning = meaning
        return member

    REQUEST_TAKEN = (
        "request:taken",
        "a request was read; route, workspace, and the configuration with its age",
    )
    REQUEST_QUEUED = (
        "request:queued",
        "it waits for a place; places, waiting requests, expected wait",
    )
    REQUEST_NO_PLACE = (
        "request:no_place",
        "no place is expected in time; the same inputs, and a refusal follows",
    )
    REQUEST_PLACED = (
        "request:placed",
        "it was sent to a runner; what was believed of the runner",
    )
    REQUEST_LEFT_RUNNER = (
        "request:left_runner",
        "a runner does not answer it; the reason, and whether it had run",
    )
    REQUEST_CANCELLED = ("request:cancelled", "the caller left; the send was closed")
    REQUEST_ENDED = (
        "request:ended",
        "the final answer; status, reason, sends, times, and when to come back",
    )
    REQUEST_MALFORMED = ("request:malformed", "bytes of a caller were no request")
    CONFIG_IN_FORCE = ("config:in_force", "a newer configuration is in force")
    CONFIG_REJECTED = ("config:rejected", "a read of the configuration was no use")
    KEYS_UNTRUSTED = ("keys:untrusted", "the proof that keys are valid is too old")
    KEYS_TRUSTED = ("keys:trusted", "keys are believed again")
    RUNNER_KNOWN = ("runner:known", "a runner has come, or has started anew")
    RUNNER_LEAVING = ("runner:leaving", "a runner says that it will stop")
    RUNNER_GONE = ("runner:gone", "a runner gets nothing any longer, and why")
    ENTRY_HEARD = ("entry:heard", "another entry has come, or has changed")
    ENTRY_FORGOTTEN = ("entry:forgotten", "another entry was silent for long")
    DATAGRAM_MALFORMED = ("entry:datagram_malformed", "a datagram was no news")
    GROUP_FOUND = ("group:found", "all ranks of a lock-step group are known")
    POPULARITY_READ = ("popularity:read", "counts of experts were read")
    MAP_PLANNED = ("map:planned", "a new map is worth its copies; skews")
    MAP_SWITCH = ("map:switch", "a switch of the map has come a step further")
    RANK_ORDERED = ("rank:ordered", "a rank was given an order; its outcome")
    RANK_SILENT = ("rank:silent", "a rank did not answer a question")
    PACE_SEEN = ("pace:seen", "pauses of streams, and the limit that follows")
    DEPENDENCY_LOST = ("dependency:lost", "something that is needed is away")
    DEPENDENCY_BACK = ("dependency:back", "it answers again")
    PROCESS_STARTED = ("process:started", "the process listens")
    PROCESS_LEAVING = ("process:leaving", "it takes no new callers, and why")
    PROCESS_RELOADED = ("process:reloaded", "it was told that settings changed")
    PROCESS_STOPPED = ("process:stopped", "it exits; requests that it cut off")


class _TokenBucket:
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
        self._buckets_by_kind: dict[Decision, _TokenBucket] = {}

    def note(self, kind: Decision, **fields: object) -> None:
        """Write one line, or count it as left out when there are too many."""
        now = self._seconds()
        bucket = self._buckets_by_kind.get(kind)
        if bucket is None:
            bucket = self._buckets_by_kind[kind] = _TokenBucket(now)
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
