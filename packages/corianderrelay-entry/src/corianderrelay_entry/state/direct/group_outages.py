"""Which lock-step groups are closed, when they return, and who may try them.

If one rank of a group is lost, all its ranks reject work until the group has formed
again. The load is that of many entries before a few groups: without what the others
know, each of them sends requests to ranks that can only reject them.

A group is closed from the first evidence on, and open again from the first answer on.
The newest evidence wins, here or at another entry. An entry tells the others only its
own evidence: passed on, evidence would grow younger by the time of each datagram.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .outage_forecast import OutageForecast, is_probing_time, probing_turn
from .peer_news import GroupOutage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .group_directory import GroupMembers

_EXPIRE_S = 10.0  # a wrong assumption must not keep a group closed
# Answers and rejections that were on the way when the state changed do not change it.
_IN_FLIGHT_S = 0.15
_CUT_WINDOW_S = 0.25  # the streams of a group are cut within milliseconds
_MIN_CUT_RANKS = 2  # one rank alone may have cut its streams for a reason of its own
_MAX_FORECAST_S = 30.0  # bounds what other entries tell, and what is learned
_PROBE_TIMEOUT_S = 1.0  # a probe without an answer does not block the next one


@dataclass(slots=True)
class _Outage:
    """The latest outage of one group; times are monotonic, in seconds.

    :ivar usual_s: expected duration while no outage was observed.
    :ivar evidence_at: time of the latest evidence that the group is closed.
    :ivar own_evidence_at: that of this entry's own evidence.
    :ivar opens_at: forecast as of the latest evidence.
    :ivar own_opened: whether this entry saw that the group is open again.
    :ivar epoch: the newest epoch in which the group was reported when it closed.
    :ivar cuts_by_rank: when this entry's streams were cut, by rank.
    """

    group: GroupMembers
    usual_s: float
    closed_at: float = -math.inf
    evidence_at: float = -math.inf
    own_evidence_at: float = -math.inf
    opens_at: float = -math.inf
    opened_at: float = -math.inf
    own_opened: bool = False
    epoch: int | None = None
    probed_turn: int = -1
    probed_at: float = -math.inf
    cuts_by_rank: dict[str, float] = field(default_factory=dict)

    def is_closed(self, now: float) -> bool:
        """Whether there is evidence that is neither outdated nor refuted."""
        # The clock can be set back; evidence from far ahead is outdated, too.
        recent = abs(now - self.evidence_at) <= _EXPIRE_S
        return recent and self.evidence_at > self.opened_at


class GroupOutages:
    """One entry's knowledge of the outages of all groups."""

    __slots__ = ("_outages_by_group", "_forecast", "_epochs_by_group")

    def __init__(self) -> None:
        self._outages_by_group: dict[str, _Outage] = {}
        self._forecast = OutageForecast()
        self._epochs_by_group: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._outages_by_group)

    def is_closed(self, name: str, now: float) -> bool:
        """Whether a group is known to be closed."""
        outage = self._outages_by_group.get(name)
        return outage is not None and outage.is_closed(now)

    def closed(self, now: float) -> list[str]:
        """Return the names of the closed groups, the first to open first."""
        names = [
            name
            for name, outage in self._outages_by_group.items()
            if outage.is_closed(now)
        ]
        return sorted(names, key=lambda name: (self.opens_in_s(name, now), name))

    def closed_for_s(self, name: str, now: float) -> float:
        """Return the seconds since a group has closed."""
        return now - self._outages_by_group[name].closed_at

    def opens_in_s(self, name: str, now: float) -> float:
        """Return the expected seconds until a closed group opens."""
        outage = self._outages_by_group[name]
        if outage.opens_at > now:
            return outage.opens_at - now
        return self._forecast_s(outage, now)

    def on_rejected(
        self, group: GroupMembers, usual_s: float, sent_at: float, now: float
    ) -> bool:
        """Record a rejection that names a rank at fault; return whether it closes.

        :param usual_s: duration of an outage while none was observed.
        :param sent_at: when the rejected request was sent.
        """
        outage = self._outage(group, usual_s)
        if sent_at <= outage.opened_at and now - outage.opened_at <= _IN_FLIGHT_S:
            return False
        return self._close(outage, now, now)

    def on_cut(
        self, group: GroupMembers, runner_id: str, usual_s: float, now: float
    ) -> bool:
        """Record an answer that was cut off; return whether that closes the group."""
        outage = self._outage(group, usual_s)
        outage.cuts_by_rank = {
            rank: cut_at
            for rank, cut_at in outage.cuts_by_rank.items()
            if now - cut_at <= _CUT_WINDOW_S
        }
        outage.cuts_by_rank[runner_id] = now
        if len(outage.cuts_by_rank) < _MIN_CUT_RANKS:
            return False
        return self._close(outage, now, now)

    def on_report(
        self,
        group: GroupMembers,
        epoch: int,
        is_open: bool,
        usual_s: float,
        observed_at: float,
        now: float,
    ) -> bool:
        """Record a rank's report; return whether the group closes or opens.

        :param observed_at: when the rank was in the reported state.
        """
        known_epoch = self._epochs_by_group.get(group.name)
        if known_epoch is not None and epoch < known_epoch:
            return False
        self._epochs_by_group[group.name] = epoch
        if is_open:
            known = self._outages_by_group.get(group.name)
            if known is None or known.epoch is None or epoch <= known.epoch:
                return False
            return self._open(group.name, observed_at, now)
        outage = self._outage(group, usual_s)
        outage.epoch = epoch
        if observed_at <= outage.opened_at + _IN_FLIGHT_S:
            return False
        return self._close(outage, observed_at, now)

    def on_answer(self, name: str, sent_at: float, now: float) -> bool:
        """Record an answer of a rank; return whether that opens its group.

        :param sent_at: when the answered request was sent.
        """
        outage = self._outages_by_group.get(name)
        if outage is None or not outage.is_closed(now):
            return False
        if sent_at <= outage.evidence_at and now - outage.evidence_at <= _IN_FLIGHT_S:
            return False
        return self._open(name, now, now)

    def merge(
        self,
        news: GroupOutage,
        group: GroupMembers,
        usual_s: float,
        age_s: float,
        now: float,
    ) -> bool:
        """Apply what another entry knows; return whether the group closes or opens.

        :param age_s: seconds since the other entry has sent it.
        """
        evidence_at = now - age_s - news.evidence_age_s
        closed_at = now - age_s - max(news.closed_for_s, news.evidence_age_s)
        if now - evidence_at > _EXPIRE_S:
            return False
        outage = self._outage(group, usual_s)
        if not news.is_open:
            opens_at = now - age_s + min(news.opens_in_s, _MAX_FORECAST_S)
            return self._merge_closed(outage, closed_at, evidence_at, opens_at, now)
        if outage.is_closed(now) and evidence_at > outage.evidence_at:
            outage.closed_at = min(outage.closed_at, closed_at)
            return self._open(group.name, evidence_at, now, own=False)
        if closed_at > max(outage.opened_at, outage.evidence_at):
            # The news of the closing were lost.
            outage.closed_at, outage.opened_at = closed_at, evidence_at
            self._learn(outage)
        return False

    def may_probe(self, name: str, index: int, entries: int, now: float) -> bool:
        """Return whether it is this entry's turn to send one request to a closed group.

        Entries take turns from shortly before the expected return on.

        :param index: position of this entry among the entries, from 0 on.
        :param entries: number of entries that take callers.
        """
        outage = self._outages_by_group[name]
        elapsed_s = now - outage.closed_at
        if not is_probing_time(elapsed_s, self.opens_in_s(name, now)):
            return False
        in_flight = outage.probed_at > outage.own_evidence_at
        if in_flight and now - outage.probed_at <= _PROBE_TIMEOUT_S:
            return False
        turn = probing_turn(elapsed_s)
        first = zlib.crc32(name.encode())
        return turn > outage.probed_turn and (first + turn) % max(entries, 1) == index

    def on_probe(self, name: str, now: float) -> None:
        """Record that this entry sends a request to a closed group."""
        outage = self._outages_by_group[name]
        outage.probed_turn = probing_turn(now - outage.closed_at)
        outage.probed_at = now

    def shared(self, now: float) -> tuple[GroupOutage, ...]:
        """Return this entry's own evidence of closed groups, and of those just open."""
        return tuple(
            GroupOutage(
                name,
                max(now - outage.closed_at, 0.0),
                max(now - _own_evidence_at(outage), 0.0),
                0.0 if outage.own_opened else max(self.opens_in_s(name, now), 0.0),
                outage.own_opened,
            )
            for name, outage in self._outages_by_group.items()
            if now - _own_evidence_at(outage) <= _EXPIRE_S
        )

    def expire(self, known: Iterable[str], now: float) -> list[str]:
        """Forget outdated outages; return the groups that were closed until now.

        :param known: names of the groups that exist.
        """
        names = set(known)
        outdated = [
            name
            for name, outage in self._outages_by_group.items()
            if name not in names or _is_outdated(outage, now)
        ]
        removed = [(name, self._outages_by_group.pop(name)) for name in outdated]
        self._epochs_by_group = {
            name: epoch
            for name, epoch in self._epochs_by_group.items()
            if name in names
        }
        return [name for name, each in removed if each.evidence_at > each.opened_at]

    def _outage(self, group: GroupMembers, usual_s: float) -> _Outage:
        outage = self._outages_by_group.setdefault(group.name, _Outage(group, usual_s))
        outage.group, outage.usual_s = group, usual_s
        return outage

    def _close(self, outage: _Outage, at: float, now: float) -> bool:
        was_closed = outage.is_closed(now)
        if not was_closed:
            self._start(outage, at)
        outage.own_evidence_at = max(outage.own_evidence_at, at)
        if at > outage.evidence_at:
            outage.evidence_at = at
            outage.opens_at = now + self._forecast_s(outage, now)
        return not was_closed

    def _start(self, outage: _Outage, closed_at: float) -> None:
        outage.closed_at, outage.own_opened = closed_at, False
        outage.epoch = self._epochs_by_group.get(outage.group.name)
        outage.probed_turn = -1

    def _merge_closed(
        self,
        outage: _Outage,
        closed_at: float,
        evidence_at: float,
        opens_at: float,
        now: float,
    ) -> bool:
        if evidence_at <= outage.opened_at + _IN_FLIGHT_S:
            return False
        if closed_at <= outage.opened_at:
            closed_at = evidence_at  # the other entry has not learned of the opening
        was_closed = outage.is_closed(now)
        if was_closed:
            outage.closed_at = min(outage.closed_at, closed_at)
        else:
            self._start(outage, closed_at)
        if evidence_at > outage.evidence_at:
            outage.evidence_at, outage.opens_at = evidence_at, opens_at
        return not was_closed

    def _open(self, name: str, at: float, now: float, *, own: bool = True) -> bool:
        outage = self._outages_by_group.get(name)
        if outage is None or not outage.is_closed(now) or at <= outage.evidence_at:
            return False
        outage.opened_at, outage.own_opened = at, own
        outage.cuts_by_rank.clear()
        self._learn(outage)
        return True

    def _learn(self, outage: _Outage) -> None:
        # Others tell since when a group has been closed; that must not spoil forecasts.
        duration_s = min(outage.opened_at - outage.closed_at, _MAX_FORECAST_S)
        self._forecast.learn(outage.group.service, duration_s)

    def _forecast_s(self, outage: _Outage, now: float) -> float:
        elapsed_s = max(now - outage.closed_at, 0.0)
        service = outage.group.service
        return self._forecast.opens_in_s(service, outage.usual_s, elapsed_s)


def _own_evidence_at(outage: _Outage) -> float:
    if outage.own_opened:
        return outage.opened_at
    if outage.own_evidence_at > outage.opened_at:
        return outage.own_evidence_at
    return -math.inf


def _is_outdated(outage: _Outage, now: float) -> bool:
    """Whether nothing is known any more; streams that were cut count for a while."""
    cuts = outage.cuts_by_rank.values()
    return abs(now - max(outage.evidence_at, outage.opened_at, *cuts)) > _EXPIRE_S


__all__ = ["GroupOutages"]
