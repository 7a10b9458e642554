"""Structured log lines for the entry's decisions, rate-limited per kind.

The limit bounds the cost of logging during a surge. :class:`Decision` lists the kinds.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from collections.abc import Callable

_LINES_PER_S = 60.0  # per kind; several times an entry's usual request rate
_BURST_LINES = 180.0  # three seconds of lines at the full rate


class Decision(Enum):
    """The kinds of log lines, each with its name in the log and its meaning."""

    meaning: str

    def __new__(cls, kind: str, meaning: str) -> Decision:
        """Create a kind whose value is its name in the log."""
        member = object.__new__(cls)
        member._value_ = kind
        member.meaning = meaning
        return member

    REQUEST_TAKEN = (
        "request:taken",
        "a request was accepted; route, workspace, configuration version and its age; "
        "repeats of a request have the same fingerprint",
    )
    REQUEST_QUEUED = (
        "request:queued",
        "a request waits for a slot; free slots, waiting requests, expected wait",
    )
    REQUEST_NO_PLACE = (
        "request:no_place",
        "no slot is expected in time, the request is refused; fields as when queued",
    )
    REQUEST_DISPLACED = (
        "request:displaced",
        "a waiting request, which has not run, is refused, as a request of more value "
        "needs its slot; both requests and priorities, how long it has waited",
    )
    REQUEST_PLACED = (
        "request:placed",
        "a request was sent to a runner; load and success rate of the runner",
    )
    REQUEST_LEFT_RUNNER = (
        "request:left_runner",
        "an attempt failed or was abandoned; the reason, whether it had run, and the "
        "retries spent of this entry's limit",
    )
    TAKEOVER_STARTED = (
        "takeover:started",
        "an attempt is silent, and a second one was sent to another runner beside it; "
        "how long it has been silent, and the retries spent of this entry's limit",
    )
    TAKEOVER_ENDED = (
        "takeover:ended",
        "one of the two attempts has sent events or answered, and goes on; the other "
        "one was cancelled",
    )
    ATTEMPT_LOST = (
        "attempt:lost",
        "an attempt here or at another entry ended without an answer; the verdict on "
        "its runner, and the crash rounds that count against the fingerprint",
    )
    RUNNER_JUDGED = (
        "runner:judged",
        "whether the runner of lost attempts has ended; the evidence",
    )
    REQUEST_HELD = (
        "request:held",
        "a request is refused, since runners have ended under its fingerprint or a "
        "part of its prompt; the rounds or crashes that count, and the seconds until "
        "it may run",
    )
    PART_SUSPECTED = (
        "part:suspected",
        "a runner was lost before it had begun to answer a request with this part; the "
        "verdict on it, and which parts are blamed for its end",
    )
    PART_TRIED = (
        "part:tried",
        "a request with suspected parts was sent to learn whether they are sound",
    )
    PART_CLEARED = (
        "part:cleared",
        "a part of prompts is no longer suspected; the reason",
    )
    REQUEST_QUARANTINED = (
        "request:quarantined",
        "a fingerprint or part was quarantined by another entry; the remaining time",
    )
    CRASHES_CLEARED = (
        "crashes:cleared",
        "lost attempts no longer count against a fingerprint; the reason",
    )
    ANSWER_CUT = (
        "answer:cut",
        "an answer without a known length was dropped, the largest of those held, as "
        "the entry may hold no more bytes; its size, all bytes held, the limit",
    )
    UPLOAD_REFUSED = (
        "upload:refused",
        "a request was refused unread, as its body has no room beside the bytes that "
        "the entry holds; its size, all bytes held, the limit",
    )
    RECEIVED_DROPPED = (
        "received:dropped",
        "the connection that held most bytes of incomplete or further requests was "
        "refused or closed; its size, all such bytes, the limit",
    )
    CONNECTION_CLOSED = (
        "connection:closed",
        "a listener has too many connections: the one that waited longest for a "
        "request was closed, or the new one if none waits; their number, the limit",
    )
    REQUEST_CANCELLED = (
        "request:cancelled",
        "the caller disconnected; the attempt was cancelled",
    )
    REQUEST_ENDED = (
        "request:ended",
        "the request ended; status, reason, attempts, times and retry delay",
    )
    REQUEST_MALFORMED = ("request:malformed", "a caller sent a malformed request")
    CONFIG_IN_FORCE = ("config:in_force", "a newer configuration was activated")
    CONFIG_REJECTED = (
        "config:rejected",
        "a configuration record is missing or malformed",
    )
    LOG_ERA = (
        "log:era",
        "the era of the log at the first read, or another one than before, as it was "
        "restored from an older copy; whether the log states one at all, who read it, "
        "era and offset before and now",
    )
    LOG_READ_AGAIN = (
        "log:read_again",
        "all newest records are read, as the position in the log is not valid any "
        "more; who reads, the position and the reason",
    )
    LOG_REPLACED = (
        "log:replaced",
        "the newest records are not those that were read before, and no later ones: "
        "the log was restored from an older copy; who read it, end and record now, "
        "position and record before",
    )
    ZONE_EVACUATED = (
        "zone:evacuated",
        "the runners of a zone get no new requests; the position in the log, and the "
        "number of runners",
    )
    ZONE_IN_USE = (
        "zone:in_use",
        "the evacuation of a zone has ended; the position in the log, and the number "
        "of runners",
    )
    ZONE_FAULTY = (
        "zone:faulty",
        "an operators' record of an evacuated zone cannot be read, or its zone has no "
        "runner; the record, the fault and the remedy",
    )
    CONFIG_UNREADABLE = (
        "config:unreadable",
        "parts of a configuration, or its newest version as a whole, cannot be read; "
        "what they may allow is refused as not run",
    )
    CONFIG_BEHIND = (
        "config:behind",
        "another entry has a newer configuration than the log, which has lost it; "
        "it is looked for until the operators write it again or a higher version",
    )
    KEYS_UNTRUSTED = (
        "keys:untrusted",
        "the configuration is too stale to validate keys",
    )
    KEYS_TRUSTED = ("keys:trusted", "the configuration is fresh, keys are accepted")
    RUNNER_KNOWN = ("runner:known", "a runner was added or has restarted")
    RUNNER_LEAVING = ("runner:leaving", "a runner reports that it is shutting down")
    RUNNER_GONE = ("runner:gone", "a runner was removed; the reason")
    ENTRY_HEARD = ("entry:heard", "another entry appeared or has changed")
    ENTRY_FORGOTTEN = ("entry:forgotten", "another entry sent no updates and expired")
    LOG_READER = (
        "log:reader",
        "this entry began or ceased to read the log for others; its position in line, "
        "and the ages of what it knows",
    )
    DATAGRAM_MALFORMED = (
        "entry:datagram_malformed",
        "a datagram could not be decoded or sent",
    )
    RUNNER_LIMIT = (
        "runner:limit",
        "the limit on requests to a runner was learned, changed or ended; the limit "
        "before and now, who received the runner's answer, and its age",
    )
    LIMIT_UNREADABLE = (
        "runner:limit_unreadable",
        "a runner stated a limit that is not a number of requests per second; it is "
        "ignored",
    )
    RUNNER_COLD = (
        "runner:cold",
        "a runner has become cold or stays so for longer than known, and gets fewer "
        "requests; the evidence (record, answer or another entry), the seconds left, "
        "and the requests per second of all entries",
    )
    RUNNER_WARM = ("runner:warm", "the cold time of a runner has ended")
    COLD_UNREADABLE = (
        "runner:cold_unreadable",
        "a runner stated a cold time that is not a number of milliseconds of at least "
        "0; it is ignored, correct the runner",
    )
    RUNNER_RESTS = (
        "runner:rests",
        "a runner rejected a request and asked this entry for rest; the seconds that "
        "it asked for, and those that it gets",
    )
    REST_ENDED = (
        "runner:rest_ended",
        "a runner that has rested has accepted a request, and gets its share again",
    )
    REST_UNREADABLE = (
        "runner:rest_unreadable",
        "a runner asked for rest with a value that is neither seconds nor a date; it "
        "is ignored",
    )
    RUNNER_STATES_LEAVING = (
        "runner:states_leaving",
        "a runner's answer, here or at another entry, states that it is shutting down",
    )
    GROUP_FOUND = ("group:found", "all ranks of a lock-step group were discovered")
    GROUPS_LEARNED = (
        "group:learned",
        "this entry learned the lock-step groups of a service, here or from another "
        "entry; the number of ranks by group",
    )
    GROUP_CLOSED = (
        "group:closed",
        "a lock-step group takes no requests; the seconds until it is expected to "
        "open, and the evidence: the rank at fault, the last rank whose answer was "
        "cut, a rank's report, or the entry that told it",
    )
    GROUP_PROBED = (
        "group:probed",
        "a request was sent to a closed group to learn whether it is open again",
    )
    GROUP_OPENED = (
        "group:opened",
        "a closed lock-step group takes requests again; how long it was closed, and "
        "the evidence: a rank that answers or reports a new epoch, or the entry that "
        "told it",
    )
    POPULARITY_READ = (
        "popularity:read",
        "selection counts of experts were read from ranks",
    )
    MAP_PLANNED = (
        "map:planned",
        "a new map's gain exceeds its copy cost; current and planned skew",
    )
    MAP_SWITCH = ("map:switch", "the switch of the expert map changed its phase")
    RANK_ORDERED = ("rank:ordered", "an order was sent to a rank; its outcome")
    RANK_SILENT = ("rank:silent", "a request for a rank's state failed")
    PACE_SEEN = (
        "pace:seen",
        "measured pauses between stream events; limit on streams; where the groups are "
        "known, for each its limit, running streams and the current and steady cost of "
        "a stream per pass, as all entries compute them",
    )
    DEPENDENCY_LOST = ("dependency:lost", "a dependency became unavailable")
    DEPENDENCY_BACK = ("dependency:back", "a dependency is available again")
    PROCESS_STARTED = ("process:started", "the process is listening")
    PROCESS_LEAVING = ("process:leaving", "the process is draining; the reason")
    PROCESS_RELOADED = (
        "process:reloaded",
        "SIGHUP: settings that differ from those in use",
    )
    PROCESS_STOPPED = (
        "process:stopped",
        "the process exits; number of requests cut off",
    )


class _TokenBucket:
    """Lines that may be written now; number of lines left out since the last one."""

    __slots__ = ("lines", "filled_at", "left_out")

    def __init__(self, now: float) -> None:
        self.lines = _BURST_LINES
        self.filled_at = now
        self.left_out = 0


class DecisionLog:
    """Writes decisions to eliot, rate-limited by a token bucket per kind.

    :param seconds: returns the monotonic time in seconds.
    """

    __slots__ = ("_seconds", "_buckets_by_kind")

    def __init__(self, seconds: Callable[[], float]) -> None:
        self._seconds = seconds
        self._buckets_by_kind: dict[Decision, _TokenBucket] = {}

    def note(self, kind: Decision, **fields: object) -> None:
        """Write a line, or count it as left out if its kind is over the rate limit."""
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
