"""Limits the streams of each known group by the measurements of all entries.

Everything is computed once per measuring period; a request only reads the results.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from ...state.direct.group_pace import (
    HIGH_QUANTILE,
    GroupPace,
    GroupRoom,
    choose_group,
    combine_pauses,
)
from ...state.direct.pass_timing import PassTiming
from ...state.direct.peer_news import GroupPauses
from ...state.direct.start_allowance import StartAllowance

if TYPE_CHECKING:
    from random import Random

    from ...state.direct.catalog import EngineModel
    from ...state.direct.entry_peers import EntryPeers, PeerUpdate
    from ...state.direct.group_directory import GroupDirectory
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from ...state.direct.runner_placement import RunnerPlacement

_INITIAL_STREAM_S = 2.0  # usual duration of a stream, until one has ended
_STREAM_WEIGHT = 0.05  # of the newest duration; an entry has few streams a second
_UNGROUPED_SHARE = 0.5  # of the slots of runners whose group is not known yet


class _Group:
    """One group as this entry sees it.

    :ivar ranks: its usable runners at the latest measurement.
    :ivar present: these and those in evacuated zones, which still run streams.
    :ivar limit: maximum number of streams of this entry and those that it hears.
    """

    __slots__ = ("pace", "timing", "ranks", "present", "limit", "running", "fixed_s")

    def __init__(self) -> None:
        self.pace = GroupPace()
        self.timing = PassTiming()
        self.ranks: list[RegisteredRunner] = []
        self.present: list[RegisteredRunner] = []
        self.limit = 0
        self.running = 0
        self.fixed_s = 0.0


class _GroupedService:
    """A service whose groups are known.

    :ivar entries: entries that share the slots; 1 while others' updates arrive, as
        their streams are counted then.
    :ivar usable: number of usable runners for which the limits were computed.
    :ivar ungrouped_slots: slots of usable runners in no known group.
    :ivar stream_s: mean duration of a stream, in seconds.
    :ivar waiting: requests that wait at this entry, and at all entries.
    :ivar open_to: closed groups and number of usable runners as of the allowance.
    """

    __slots__ = (
        "groups_by_name",
        "allowance",
        "own_pauses",
        "objective_s",
        "entries",
        "usable",
        "ungrouped_slots",
        "stream_s",
        "waiting",
        "open_to",
    )

    def __init__(self) -> None:
        self.groups_by_name: dict[str, _Group] = {}
        self.allowance = StartAllowance()
        self.own_pauses: list[GroupPauses] = []
        self.objective_s = 0.0
        self.entries = 1
        self.usable = 0
        self.ungrouped_slots = 0
        self.stream_s = _INITIAL_STREAM_S
        self.waiting = (0, 0)
        self.open_to: tuple[frozenset[str], int] = (frozenset(), 0)


class GroupPacing:
    """The limits of all groups that this entry knows.

    :param directory: the groups that entries have told each other of.
    """

    def __init__(
        self,
        runners: RunnerList,
        placement: RunnerPlacement,
        peers: EntryPeers,
        directory: GroupDirectory,
    ) -> None:
        self._runners = runners
        self._placement = placement
        self._peers = peers
        self._directory = directory
        self._grouped_by_service: dict[str, _GroupedService] = {}

    def knows(self, service: str) -> bool:
        """Whether the groups of a service are known, so that each has its limit."""
        return service in self._grouped_by_service

    def allowance(
        self, service: str, closed: frozenset[str], now: float
    ) -> StartAllowance:
        """Return the allowance of a service whose groups are known.

        It follows groups and zones at once: until the next measurement, the rate of
        closed groups would refuse requests that an opened one can take.

        :param closed: names of the groups that take no requests.
        """
        grouped = self._grouped_by_service[service]
        if grouped.open_to != self._open_to(service, grouped, closed):
            self._update_allowance(service, grouped, closed, now)
        return grouped.allowance

    def startable(
        self, service: str, free: int, closed: frozenset[str], now: float
    ) -> int:
        """Return how many requests of a service this entry may start now.

        :param free: free slots, as far as this entry knows.
        :param closed: names of the groups that take no requests.
        """
        allowance = self.allowance(service, closed, now)
        return min(allowance.available(now), free + allowance.unseen)

    def shared_pauses(self) -> tuple[GroupPauses, ...]:
        """Return the pauses that this entry has measured, for the other entries."""
        return tuple(
            pauses
            for grouped in self._grouped_by_service.values()
            for pauses in grouped.own_pauses
            if pauses.count
        )

    def loads(self) -> list[tuple[str, int, int]]:
        """Return name, limit and running streams of each group, as last measured."""
        return [
            (name, group.limit, group.running)
            for grouped in self._grouped_by_service.values()
            for name, group in grouped.groups_by_name.items()
        ]

    def record_pause(
        self, service: str, runner_id: str, pause_s: float, now: float
    ) -> None:
        """Record the time between two events of a stream at a runner."""
        grouped = self._grouped_by_service.get(service)
        members = self._directory.group_of(runner_id)
        group = grouped and members and grouped.groups_by_name.get(members.name)
        if group:
            group.timing.record_pause(pause_s, now)

    def record_stream(self, service: str, duration_s: float) -> None:
        """Record the duration of a stream that has ended."""
        grouped = self._grouped_by_service.get(service)
        if grouped is not None:
            grouped.stream_s += _STREAM_WEIGHT * (duration_s - grouped.stream_s)

    def max_streams(self, service: str, closed: frozenset[str] = frozenset()) -> int:
        """Return the sum of the limits of a service's open groups, which are known.

        :param closed: names of the groups that take no requests.
        """
        grouped = self._grouped_by_service[service]
        usable = self._runners.usable(service)
        if len(usable) != grouped.usable:
            self._assign_ranks(grouped, service)
            self._set_limits(grouped)
        ungrouped = int(_UNGROUPED_SHARE * grouped.ungrouped_slots)
        return ungrouped + sum(
            group.limit
            for name, group in grouped.groups_by_name.items()
            if name not in closed
        )

    def measure(
        self,
        service: str,
        objective_s: float,
        engine: EngineModel | None,
        waiting: tuple[int, int],
        now: float,
        closed: frozenset[str] = frozenset(),
    ) -> dict[str, object]:
        """Update the limits of a service; return log fields, none if it has no groups.

        :param objective_s: longest pause that meets the objective; 0 without one.
        :param waiting: requests that wait at this entry, and at all entries.
        :param closed: names of the groups that take no requests.
        """
        members = self._directory.groups(service)
        if not members:
            return {}
        grouped = self._grouped_by_service.setdefault(service, _GroupedService())
        grouped.objective_s = objective_s
        known = grouped.groups_by_name
        grouped.groups_by_name = {
            each.name: known.get(each.name) or _Group() for each in members
        }
        self._assign_ranks(grouped, service)
        alive = self._peers.alive(now)
        # An entry that hears nobody can't tell whether the others are gone or cut off.
        grouped.entries = 1 if alive else 1 + len(self._peers.addresses())
        self._measure_groups(grouped, engine, alive, now)
        self._set_limits(grouped)
        grouped.waiting = waiting
        self._update_allowance(service, grouped, closed, now)
        return {
            "groups": {
                name: {
                    "limit": group.limit,
                    "running": group.running,
                    "cost_ms": round(1000 * group.pace.cost_s, 3),
                    "steady_ms": round(1000 * group.pace.steady_s, 3),
                }
                for name, group in grouped.groups_by_name.items()
            }
        }

    def choose(
        self, service: str, candidates: list[RegisteredRunner], random: Random
    ) -> list[RegisteredRunner]:
        """Return the candidates of the group that takes the next stream."""
        grouped = self._grouped_by_service.get(service)
        if grouped is None:
            return candidates
        candidates_by_group: defaultdict[str, list[RegisteredRunner]] = defaultdict(
            list
        )
        for runner in candidates:
            members = self._directory.group_of(runner.runner_id)
            candidates_by_group[members.name if members else ""].append(runner)
        if len(candidates_by_group) < 2:
            return candidates
        rooms = {
            name: self._room(grouped.groups_by_name.get(name), ranks)
            for name, ranks in candidates_by_group.items()
        }
        return candidates_by_group[choose_group(rooms, random)]

    def _room(
        self, group: _Group | None, candidates: list[RegisteredRunner]
    ) -> GroupRoom:
        if group is None:
            ranks = candidates
            limit = int(_UNGROUPED_SHARE * sum(each.slots for each in ranks))
        else:
            ranks, limit = group.present, group.limit
        running = self._placement.running_sum(ranks)
        return GroupRoom(limit, running, self._placement.own_sum(ranks))

    def _assign_ranks(self, grouped: _GroupedService, service: str) -> None:
        usable = self._runners.usable(service)
        usable_ids = {each.runner_id for each in usable}
        grouped.usable = len(usable)
        grouped.ungrouped_slots = 0
        for group in grouped.groups_by_name.values():
            group.ranks, group.present = [], []
        for runner in self._runners.present(service):
            members = self._directory.group_of(runner.runner_id)
            found = members and grouped.groups_by_name.get(members.name)
            if found:
                found.present.append(runner)
                if runner.runner_id in usable_ids:
                    found.ranks.append(runner)
            elif runner.runner_id in usable_ids:
                grouped.ungrouped_slots += runner.slots

    def _measure_groups(
        self,
        grouped: _GroupedService,
        engine: EngineModel | None,
        alive: list[PeerUpdate],
        now: float,
    ) -> None:
        pauses_by_group: defaultdict[str, list[GroupPauses]] = defaultdict(list)
        for peer_update in alive:
            for pauses in peer_update.pauses:
                pauses_by_group[pauses.group].append(pauses)
        grouped.own_pauses = [
            _own_pauses(name, group.timing, now)
            for name, group in grouped.groups_by_name.items()
        ]
        groups = grouped.groups_by_name.values()
        for pauses, group in zip(grouped.own_pauses, groups):
            group.running = self._placement.running_sum(group.present)
            group.fixed_s = self._fixed_pass_s(engine, group.present)
            group.pace.set_slowness(self._max_slowness(group.present))
            group.pace.add_measurement(
                combine_pauses([pauses, *pauses_by_group[pauses.group]]),
                group.running,
                group.fixed_s,
                now,
                ranks=len(group.present),
                alone=not alive,
            )

    def _set_limits(self, grouped: _GroupedService) -> None:
        for group in grouped.groups_by_name.values():
            slots = sum(each.slots for each in group.ranks)
            group.limit = group.pace.max_streams(
                grouped.objective_s,
                group.fixed_s,
                math.ceil(slots / grouped.entries),
                math.ceil(len(group.ranks) / grouped.entries),
            )

    def _open_to(
        self, service: str, grouped: _GroupedService, closed: frozenset[str]
    ) -> tuple[frozenset[str], int]:
        own_closed = closed.intersection(grouped.groups_by_name)
        return own_closed, len(self._runners.usable(service))

    def _update_allowance(
        self,
        service: str,
        grouped: _GroupedService,
        closed: frozenset[str],
        now: float,
    ) -> None:
        grouped.open_to = self._open_to(service, grouped, closed)
        open_ranks = [
            each
            for name, group in grouped.groups_by_name.items()
            if name not in closed
            for each in group.present
        ]
        running = self._placement.running_sum(open_ranks)
        own = self._placement.own_sum(open_ranks)
        own_waiting, all_waiting = grouped.waiting
        peers = len(self._peers.alive(now))
        grouped.allowance.update(
            self.max_streams(service, closed) - running,
            running / grouped.stream_s,
            (own + own_waiting + 1) / (running + all_waiting + 1 + peers),
            1 + peers,
            self._peers.update_age_s,
            now,
        )

    def _fixed_pass_s(
        self, engine: EngineModel | None, ranks: list[RegisteredRunner]
    ) -> float:
        if engine is None:
            return 0.0
        # A rank without streams adds no fixed time.
        busy = [each for each in ranks if self._placement.running(each.runner_id)]
        return engine.step_s * engine.steps_per_pass * self._max_slowness(busy)

    def _max_slowness(self, ranks: list[RegisteredRunner]) -> float:
        if self._placement.none_slow:
            return 1.0
        slowness = (self._placement.slowness(each.runner_id) for each in ranks)
        return max(slowness, default=1.0)


def _own_pauses(name: str, timing: PassTiming, now: float) -> GroupPauses:
    return GroupPauses(
        name,
        timing.quantile_s(HIGH_QUANTILE, now),
        timing.quantile_s(0.5, now),
        timing.pause_count(now),
    )


__all__ = ["GroupPacing"]
