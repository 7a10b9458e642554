"""Keeps requests away from closed lock-step groups, together with the other entries.

It is not active while this entry knows no groups, see ``GroupDirectory``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.catalog import RequestKind
from ...state.direct.group_outages import GroupOutages
from ...state.direct.outage_forecast import spread_s
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...state.direct.call import RunnerHead
    from ...state.direct.entry_peers import EntryPeers
    from ...state.direct.group_directory import GroupDirectory, GroupMembers
    from ...state.direct.peer_news import GroupOutage
    from ...state.direct.rank_orders import RankReport
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics
    from .open_direct_call import OpenAttempt, OpenDirectCall
    from .stream_pacing import EngineConfigs

_UNAVAILABLE = 503  # 421 names another runner, too, and says nothing of the group
_SERVER_ERROR = 500
_INITIAL_ANSWER_S = 2.0  # until an answer of the groups was complete
_ANSWER_WEIGHT = 0.05  # of the newest answer in the mean duration
# Callers that wait for a late answer count in the queues of all entries, so that more
# of them would make requests seem late that can be in time.
_SLOTS_PER_LATE_REQUEST = 8
_HONOURED_SHARE = 1.0 / 3.0  # of its time left, a caller waits for a Retry-After


class GroupWatch:
    """Collects the evidence of outages, and answers what it means for requests.

    :param stall_s: seconds for which ranks wait for a lost one.
    :param on_changed: called when the other entries should learn of a change soon.
    """

    def __init__(
        self,
        directory: GroupDirectory,
        runners: RunnerList,
        peers: EntryPeers,
        engines: EngineConfigs,
        stall_s: float,
        log: DecisionLog,
        metrics: DirectMetrics,
        on_changed: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._runners = runners
        self._peers = peers
        self._engines = engines
        self._stall_s = stall_s
        self._log = log
        self._metrics = metrics
        self._on_changed = on_changed
        self._outages = GroupOutages()
        self._answer_s = _INITIAL_ANSWER_S
        # Callers that were sent away until the next group of a service returns.
        self._sent_away_by_service: dict[str, int] = {}

    @property
    def active(self) -> bool:
        """Whether this entry knows lock-step groups."""
        return bool(self._directory)

    def closed_names(self, now: float) -> frozenset[str]:
        """Return the names of the groups that are closed."""
        return frozenset(self._outages.closed(now)) if self._outages else frozenset()

    def open_runners(
        self, runners: list[RegisteredRunner], now: float
    ) -> list[RegisteredRunner]:
        """Return the runners that are in no closed group."""
        if not self._outages:
            return runners
        closed = set(self._outages.closed(now))
        if not closed:
            return runners
        return [each for each in runners if self._group_name(each) not in closed]

    def open_share(self, service: str, now: float) -> float:
        """Return the share of a service's slots that is in no closed group."""
        if not self._outages:
            return 1.0
        usable = self._runners.usable(service)
        slots = sum(each.slots for each in usable)
        open_slots = sum(each.slots for each in self.open_runners(usable, now))
        return open_slots / slots if slots else 1.0

    def opens_in_s(self, service: str, now: float) -> float | None:
        """Return the seconds until a group opens; ``None`` if none is closed."""
        closed = self._closed(service, now)
        return self._outages.opens_in_s(closed[0], now) if closed else None

    def min_wait_s(self, service: str, now: float) -> float:
        """Return the seconds until any runner takes requests; 0 if one is open."""
        opens_in_s = self.opens_in_s(service, now)
        if opens_in_s is None or self.open_runners(self._runners.usable(service), now):
            return 0.0
        return opens_in_s

    def probed_group(self, opened: OpenDirectCall, now: float) -> str:
        """Return the closed group that the request should try; empty if none.

        A caller that was refused before does not try one while others are open.
        """
        if not self._outages or opened.attempts.sends:
            return ""
        if opened.is_caller_retry and not self.min_wait_s(opened.service, now):
            return ""
        return self.group_to_probe(opened.service, now)

    def group_to_probe(self, service: str, now: float) -> str:
        """Return the closed group that it is this entry's turn to try, or ``""``."""
        closed = self._closed(service, now)
        if not closed:
            return ""
        index, entries = self._position(now)
        due = (
            name
            for name in closed
            if self._outages.may_probe(name, index, entries, now)
        )
        return next(due, "")

    def ranks(self, name: str) -> list[RegisteredRunner]:
        """Return the usable ranks of a group."""
        group = self._directory.group(name)
        usable = [] if group is None else self._runners.usable(group.service)
        return [each for each in usable if self._group_name(each) == name]

    def late_deadline_s(
        self, opened: OpenDirectCall, waiting: int, now: float
    ) -> float | None:
        """Return until when a request may wait for a late answer; ``None`` if not.

        It may if no group is open, and one returns so early that the answer is complete
        within the caller's time.

        :param waiting: requests of all entries that wait.
        """
        wait_s = self.min_wait_s(opened.service, now)
        if not wait_s:
            return None
        group = self._closed(opened.service, now)[0]
        slots = sum(each.slots for each in self.ranks(group))
        deadline_s = opened.attempts.deadline_s - self._answer_s
        if waiting * _SLOTS_PER_LATE_REQUEST >= slots or now + wait_s > deadline_s:
            return None
        return deadline_s

    def retry_after_s(
        self, opened: OpenDirectCall, usual_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller finds a group open.

        A caller comes back within a third of the time that it has left. If no group
        opens by then, that is still what it is told, unless others are open.

        :param usual_s: that time if no group was closed.
        """
        opens_in_s = self.opens_in_s(opened.service, now)
        if opens_in_s is None:
            return usual_s
        honoured_s = max(opened.attempts.deadline_s - now, 0.0) * _HONOURED_SHARE
        if opens_in_s > honoured_s:
            if not self.min_wait_s(opened.service, now):
                return usual_s
            width_s = self._answer_s
        else:
            width_s = min(self._answer_s, honoured_s - opens_in_s)
        return opens_in_s + self._spread_s(opened, width_s, now)

    def on_sent(self, attempt: OpenAttempt, now: float) -> None:
        """Record an attempt; one at a closed group is a probe."""
        group = self._directory.group_of(attempt.runner_id)
        if group is None or not self._outages.is_closed(group.name, now):
            return
        self._outages.on_probe(group.name, now)
        self._metrics.group_probes.inc({"group": group.name})
        self._log.note(
            Decision.GROUP_PROBED,
            group=group.name,
            runner=attempt.runner_id,
            request=attempt.opened.call.request_id,
            closed_for_s=round(self._outages.closed_for_s(group.name, now), 3),
        )

    def on_rejected(self, attempt: OpenAttempt, head: RunnerHead, now: float) -> None:
        """Record a rejection, which may name a rank at fault."""
        group = self._directory.group_of(attempt.runner_id)
        if group is None or not head.faulty_runner_id or head.status != _UNAVAILABLE:
            return
        usual_s = self._usual_s(group)
        if self._outages.on_rejected(group, usual_s, attempt.sent_at, now):
            self._on_closed(group, now, at_fault=head.faulty_runner_id)

    def on_cut(self, attempt: OpenAttempt, now: float) -> None:
        """Record an attempt whose answer was cut off."""
        group = self._directory.group_of(attempt.runner_id)
        if group is None:
            return
        usual_s = self._usual_s(group)
        if self._outages.on_cut(group, attempt.runner_id, usual_s, now):
            self._on_closed(group, now, cut_at=attempt.runner_id)

    def on_answer(self, attempt: OpenAttempt, now: float) -> None:
        """Record that a rank computes an answer."""
        if not self._outages:
            return
        group = self._directory.group_of(attempt.runner_id)
        if group is not None and self._outages.on_answer(
            group.name, attempt.sent_at, now
        ):
            self._on_opened(group, now, runner=attempt.runner_id)

    def on_completed(self, attempt: OpenAttempt, status: int, now: float) -> None:
        """Record a complete answer."""
        if self._directory.group_of(attempt.runner_id) is None:
            return
        if attempt.opened.route.kind is RequestKind.STREAM:
            answer_s = now - attempt.sent_at
            self._answer_s += _ANSWER_WEIGHT * (answer_s - self._answer_s)
        elif status < _SERVER_ERROR:
            self.on_answer(attempt, now)

    def on_report(self, report: RankReport, now: float) -> None:
        """Record the state of a group as one of its ranks reports it."""
        group = self._directory.group_of(report.runner_id)
        if group is None or group.name != report.group:
            return
        engine = self._engines.engine(group.service)
        observed_at = now - (0.0 if engine is None else engine.report_lag_s)
        is_open, usual_s = report.complete, self._usual_s(group)
        if not self._outages.on_report(
            group, report.epoch, is_open, usual_s, observed_at, now
        ):
            return
        note = self._on_opened if is_open else self._on_closed
        note(group, now, runner=report.runner_id, epoch=report.epoch)

    def receive(
        self, outages: Iterable[GroupOutage], entry_id: str, age_s: float, now: float
    ) -> None:
        """Apply what another entry knows.

        :param age_s: seconds since the other entry has sent it.
        """
        for news in outages:
            group = self._directory.group(news.group)
            if group is None:
                continue
            usual_s = self._usual_s(group)
            if self._outages.merge(news, group, usual_s, age_s, now):
                note = self._note_opened if news.is_open else self._note_closed
                note(group, now, entry=entry_id)

    def shared(self, now: float) -> tuple[GroupOutage, ...]:
        """Return what the other entries should know; forget what is outdated."""
        if not self._outages:
            return ()
        for name in self._outages.expire(self._directory.names(), now):
            self._log.note(Decision.GROUP_OPENED, group=name, reason="not confirmed")
        return self._outages.shared(now)

    def closed_groups(self, service: str, now: float) -> int:
        """Return the number of closed groups of a service."""
        return len(self._closed(service, now))

    def _closed(self, service: str, now: float) -> list[str]:
        """Return the closed groups of a service, the first to open first.

        Groups without usable ranks are left out: those in evacuated zones take no
        requests when they return.
        """
        if not self._outages:
            return []
        usable = self._runners.usable(service)
        names = {self._group_name(each) for each in usable}
        return [name for name in self._outages.closed(now) if name in names]

    def _group_name(self, runner: RegisteredRunner) -> str:
        group = self._directory.group_of(runner.runner_id)
        return "" if group is None else group.name

    def _usual_s(self, group: GroupMembers) -> float:
        engine = self._engines.engine(group.service)
        return self._stall_s + (0.0 if engine is None else engine.form_s)

    def _position(self, now: float) -> tuple[int, int]:
        """Return the position of this entry among the ready ones, and their number."""
        own_id = self._peers.own_id
        ready = {each.entry_id for each in self._peers.alive(now) if each.ready}
        ordered = sorted(ready | {own_id})
        return ordered.index(own_id), len(ordered)

    def _spread_s(self, opened: OpenDirectCall, width_s: float, now: float) -> float:
        service = opened.service
        nth = self._sent_away_by_service.get(service, 0)
        self._sent_away_by_service[service] = nth + 1
        index, entries = self._position(now)
        first = self._closed(service, now)[0]
        slots = sum(each.slots for each in self.ranks(first))
        return spread_s(nth, index, entries, slots, self._answer_s, width_s)

    def _on_closed(self, group: GroupMembers, now: float, **evidence: object) -> None:
        self._note_closed(group, now, **evidence)
        self._on_changed()

    def _on_opened(self, group: GroupMembers, now: float, **evidence: object) -> None:
        self._note_opened(group, now, **evidence)
        self._on_changed()

    def _note_closed(self, group: GroupMembers, now: float, **evidence: object) -> None:
        self._log.note(
            Decision.GROUP_CLOSED,
            group=group.name,
            opens_in_s=round(self._outages.opens_in_s(group.name, now), 3),
            **evidence,
        )

    def _note_opened(self, group: GroupMembers, now: float, **evidence: object) -> None:
        self._sent_away_by_service.pop(group.service, None)
        closed_for_s = round(self._outages.closed_for_s(group.name, now), 3)
        self._log.note(
            Decision.GROUP_OPENED,
            group=group.name,
            closed_for_s=closed_for_s,
            **evidence,
        )


__all__ = ["GroupWatch"]
