"""Divides the limits that runners state among all entries, without a coordinator.

Every entry counts the requests of all entries against one token bucket for each limited
runner, its own at once and those of others as soon as it hears of them. Entries that
send at the same moment overdraw the bucket and all wait for it to recover, so that the
sum keeps to the limit.

Many entries could overdraw it by too much. Those that have requests for the runner
therefore take turns: after each request the next few, in the order of their ids, may
send at once and others only if these do not. An entry that hears only some of the
others uses as large a part of the limit as it hears of all entries.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from corianderrelay.state.request_rate import RequestRate

from .stated_limits import StatedLimit, StatedLimits

if TYPE_CHECKING:
    from collections.abc import Iterable

# A limit of zero does not end by itself: an answer has to tell that it has ended.
_MIN_PER_S = 0.2
_SAVED_TOKENS = 1.3  # requests come at random, so some are needed to use a limit
_SAVED_S = 0.25  # time for which further unused tokens accumulate
_SAVED_PER_ENTRY = 0.2  # bounds further tokens, as few entries need no more
_TURN_S = 0.1  # an entry's request is known to the others within this time
_CONTENDER_S = 3.0  # an entry without requests for a runner loses its turn after this
# Longer than an update takes, so that evidence gets no newer by being passed on.
_SHARING_DELAY_S = 0.25
_MAX_SHARED = 32  # limits in one update; bounds its size
# Part of one silent share that the majority uses: most silent entries have ended.
_SILENT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """What an entry tells its peers of a limited runner.

    :param per_s: the limit; ``None`` if it has ended.
    :param age_s: age of the evidence for the limit, in seconds.
    :param sent: requests that this incarnation of the entry has sent to the runner
        under the limit.
    :param wanted: whether the entry lately had requests for the runner.
    :param cold_left_s: seconds for which the runner is cold, and has this limit for no
        other reason; 0 for a limit that the runner states.
    """

    runner_life: str
    per_s: float | None
    age_s: float
    sent: int
    wanted: bool
    cold_left_s: float = 0.0


class _Contender:
    """One entry's use of a limited runner."""

    __slots__ = ("incarnation", "sent", "active_at")

    def __init__(self, incarnation: int, sent: int) -> None:
        self.incarnation = incarnation
        self.sent = sent
        self.active_at = float("-inf")


class _LimitedRunner:
    """The bucket of one limited runner, and the entries that use it.

    :ivar wanted_since: since when this entry has had requests for the runner.
    :ivar last_sender: entry that sent the latest known request.
    """

    __slots__ = ("rate", "own", "wanted_since", "last_sender", "contenders_by_id")

    def __init__(self, per_s: float, now: float) -> None:
        self.rate = RequestRate(per_s, _SAVED_TOKENS, now)
        self.own = _Contender(0, 0)
        self.wanted_since = float("-inf")
        self.last_sender = ""
        self.contenders_by_id: dict[str, _Contender] = {}

    def active_ids(self, now: float) -> list[str]:
        """Return the other entries that use the runner now."""
        return [
            entry_id
            for entry_id, contender in self.contenders_by_id.items()
            if now - contender.active_at <= _CONTENDER_S
        ]


class LimitShares:
    """One entry's part in the limits of all runners.

    :param own_id: id of this entry.
    :ivar has_news: whether the other entries should be told soon of a request that was
        sent or that waits for its turn.
    """

    __slots__ = (
        "_own_id",
        "stated",
        "_limited_by_life",
        "_entries",
        "_heard",
        "has_news",
    )

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self.stated = StatedLimits()
        self._limited_by_life: dict[str, _LimitedRunner] = {}
        self._entries = 1
        self._heard = 1
        self.has_news = False

    def set_entries(self, heard: int, known: int) -> None:
        """Set how many entries, this one included, are heard now and are known."""
        self._heard, self._entries = heard, max(known, heard)

    def is_limited(self, life: str) -> bool:
        """Whether the runner states a limit."""
        return self.stated.limit_per_s(life) is not None

    def request_turn(self, life: str, now: float) -> bool:
        """Return whether a request may be sent to the runner now.

        A request that may not be sent still secures this entry its turn.
        """
        limited = self._limited(life, now)
        if limited is None:
            return True
        if now - limited.own.active_at > _CONTENDER_S:
            limited.wanted_since = now
            self.has_news = True
        limited.own.active_at = now
        return limited.rate.may_send(now) and now >= self._turn_at(limited, now)

    def due_at(self, life: str, now: float) -> float:
        """Return the earliest time at which a request may be sent to the runner."""
        limited = self._limited(life, now)
        if limited is None:
            return now
        return max(limited.rate.ready_at(), self._turn_at(limited, now), now)

    def free_requests(self, life: str, now: float) -> int | None:
        """Return how many requests may be sent to the runner now; ``None``: any."""
        limited = self._limited(life, now)
        if limited is None:
            return None
        if not limited.rate.may_send(now) or now < self._turn_at(limited, now):
            return 0
        return max(int(limited.rate.level(now) + 1e-6), 1)

    def rate_per_s(self, life: str, now: float) -> float | None:
        """Return the requests per second for the entries that are heard."""
        limited = self._limited(life, now)
        return None if limited is None else limited.rate.per_s

    def on_sent(self, life: str, now: float) -> None:
        """Charge a request of this entry."""
        limited = self._limited(life, now)
        if limited is None:
            return
        limited.own.sent += 1
        limited.own.active_at = now
        self.has_news = True
        self._charge(limited, self._own_id, 1, now)

    def on_update(
        self,
        entry_id: str,
        incarnation: int,
        shared: Iterable[SharedLimit],
        now: float,
        age_s: float = 0.0,
    ) -> dict[str, float | None]:
        """Apply what another entry tells; return the limits that changed by it.

        :param age_s: seconds for which a relay has had it.
        """
        changed: dict[str, float | None] = {}
        for each in shared:
            stated_at = now - each.age_s - age_s - _SHARING_DELAY_S
            stated = StatedLimit(each.per_s, stated_at)
            if self.stated.merge(each.runner_life, stated, now):
                changed[each.runner_life] = each.per_s
            limited = self._limited(each.runner_life, now)
            if limited is not None:
                self._count_requests(limited, entry_id, incarnation, each, now)
        return changed

    def shared(self, now: float) -> tuple[SharedLimit, ...]:
        """Return what the other entries should know, the newest evidence first."""
        self.has_news = False
        newest = sorted(
            self.stated.all(now).items(), key=lambda item: -item[1].stated_at
        )
        return tuple(
            self._share(life, stated, now) for life, stated in newest[:_MAX_SHARED]
        )

    def keep_only(self, lives: set[str], now: float) -> list[str]:
        """Discard the limits of runners that have ended; return these runners."""
        ended = [life for life in self.stated.all(now) if life not in lives]
        for life in ended:
            self._limited_by_life.pop(life, None)
            self.stated.forget(life)
        return ended

    def _share(self, life: str, stated: StatedLimit, now: float) -> SharedLimit:
        limited = self._limited_by_life.get(life)
        return SharedLimit(
            life,
            stated.per_s,
            max(now - stated.stated_at, 0.0),
            0 if limited is None else limited.own.sent,
            limited is not None and now - limited.own.active_at <= _CONTENDER_S,
        )

    def _limited(self, life: str, now: float) -> _LimitedRunner | None:
        """Return the bucket of a limited runner, with the rate that holds now."""
        stated_per_s = self.stated.limit_per_s(life)
        if stated_per_s is None:
            self._limited_by_life.pop(life, None)
            return None
        per_s = max(stated_per_s, _MIN_PER_S) * self._share_of_limit()
        limited = self._limited_by_life.get(life)
        if limited is None:
            limited = self._limited_by_life[life] = _LimitedRunner(per_s, now)
        limited.rate.adjust(per_s, self._capacity(per_s), now)
        return limited

    def _capacity(self, per_s: float) -> float:
        others = self._entries - 1
        return _SAVED_TOKENS + min(_SAVED_S * per_s, _SAVED_PER_ENTRY * others)

    def _share_of_limit(self) -> float:
        """Return the part of each limit for the entries that are heard."""
        majority = 2 * self._heard > self._entries
        heard = self._heard + (_SILENT_SHARE if majority else 0.0)
        return min(heard / self._entries, 1.0)

    def _count_requests(
        self,
        limited: _LimitedRunner,
        entry_id: str,
        incarnation: int,
        shared: SharedLimit,
        now: float,
    ) -> None:
        contender = limited.contenders_by_id.get(entry_id)
        if contender is None:
            contender = _Contender(incarnation, shared.sent)
            limited.contenders_by_id[entry_id] = contender
        elif contender.incarnation != incarnation:
            contender.incarnation, contender.sent = incarnation, 0
        if shared.wanted:
            contender.active_at = now
        if shared.sent > contender.sent:
            self._charge(limited, entry_id, shared.sent - contender.sent, now)
        contender.sent = shared.sent

    def _charge(
        self, limited: _LimitedRunner, entry_id: str, count: int, now: float
    ) -> None:
        # After a partition many requests of the past become known at once.
        lowest_level = -(2.0 * limited.rate.per_s + self._entries)
        limited.rate.take(count, now, lowest_level)
        limited.last_sender = entry_id

    def _turn_at(self, limited: _LimitedRunner, now: float) -> float:
        """Return the time from which this entry may use the next token."""
        others = limited.active_ids(now)
        at_once = int(limited.rate.per_s) + 2
        if self._heard <= at_once:
            return float("-inf")
        # An entry that has just got requests lets the others know first.
        announced_at = limited.wanted_since + _TURN_S
        position = _distance(limited.last_sender, self._own_id, others)
        turn = position // at_once
        return max(announced_at, limited.rate.ready_at()) + turn * _TURN_S


def _distance(last_sender: str, own_id: str, others: list[str]) -> int:
    """Return how many of the entries come between the last sender and this one."""
    ids = sorted({own_id, *others})
    after_last = sum(entry_id <= last_sender for entry_id in ids)
    return (ids.index(own_id) - after_last) % len(ids)


__all__ = ["LimitShares", "SharedLimit"]
