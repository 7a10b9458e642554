"""Combines the runners' slots with what they state of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.direct.runner_list import RegisteredRunner, RunnerList
    from ...state.direct.runner_placement import RunnerPlacement
    from .evacuation_watch import EvacuationWatch
    from .group_watch import GroupWatch
    from .statement_watch import StatementWatch


class RunnerCapacity:
    """Which runners take requests now, and how many.

    :param groups: excludes the ranks of closed groups.
    """

    def __init__(
        self,
        runners: RunnerList,
        placement: RunnerPlacement,
        statements: StatementWatch,
        groups: GroupWatch,
        zones: EvacuationWatch,
    ) -> None:
        self._runners = runners
        self._placement = placement
        self._statements = statements
        self._groups = groups
        self._zones = zones

    def candidates(
        self, service: str, excluded: frozenset[str], now: float
    ) -> list[RegisteredRunner]:
        """Return the service's runners that take a request of this entry now."""
        return self._sendable(self._usable(service, now), excluded, now)

    def probe_candidates(
        self, group: str, excluded: frozenset[str], now: float
    ) -> list[RegisteredRunner]:
        """Return the ranks of a closed group that may be tried now."""
        return self._sendable(self._groups.ranks(group), excluded, now)

    def announce_demand(self, service: str, now: float) -> None:
        """Let the other entries know that this one has requests for limited runners."""
        if self._statements.nothing_known:
            return
        for runner in self._usable(service, now):
            self._statements.may_send(runner, now)

    def limited_ids(self, runners: list[RegisteredRunner]) -> frozenset[str]:
        """Return the ids of the runners that state a limit."""
        if self._statements.nothing_known:
            return frozenset()
        return frozenset(
            runner.runner_id
            for runner in runners
            if self._statements.is_limited(runner)
        )

    def cold_ids(self, runners: list[RegisteredRunner], now: float) -> frozenset[str]:
        """Return the ids of the runners that are cold."""
        if self._statements.nothing_known:
            return frozenset()
        return frozenset(
            runner.runner_id
            for runner in runners
            if self._statements.is_cold(runner, now)
        )

    def slots(self, service: str, now: float) -> int:
        """Return the slots that are occupied or can be occupied now."""
        usable = self._usable(service, now)
        if self._statements.nothing_known:
            return sum(each.slots for each in usable)
        return sum(self._slots(each, now) for each in usable)

    def open_share(self, service: str, now: float) -> float:
        """Return the share of the service's slots whose groups are open."""
        return self._groups.open_share(service, now)

    def evacuated_slots(self, service: str, now: float) -> int:
        """Return the slots in evacuated zones, without those of closed groups."""
        present, usable = self._runners.present(service), self._runners.usable(service)
        if len(present) == len(usable):
            return 0
        return sum(each.slots for each in self._groups.open_runners(present, now)) - (
            sum(each.slots for each in self._groups.open_runners(usable, now))
        )

    def running(self, service: str, now: float) -> int:
        """Return the requests in flight at the runners that take requests."""
        return self._placement.running_sum(self._usable(service, now))

    def load(self, service: str, now: float) -> int:
        """Return the requests in flight at these runners and in evacuated zones.

        Streams that still run in an evacuated zone are load of their group.
        """
        present = self._runners.present(service)
        return self._placement.running_sum(self._groups.open_runners(present, now))

    def wait_s(self, service: str, waiting: int, now: float) -> float:
        """Return the seconds until the runners take a request; 0 if one does now.

        :param waiting: requests of all entries that wait before it.
        """
        if self._statements.nothing_known:
            return 0.0
        usable = self._usable(service, now)
        due_at = [self._statements.due_at(runner, now) for runner in usable]
        if not due_at:
            return 0.0
        rates_per_s = [self._statements.rate_per_s(runner, now) for runner in usable]
        if None in rates_per_s:
            return max(min(due_at) - now, 0.0)
        queued_s = waiting / sum(per_s or 0.0 for per_s in rates_per_s)
        return max(min(due_at) - now + queued_s, 0.0)

    def _usable(self, service: str, now: float) -> list[RegisteredRunner]:
        return self._groups.open_runners(self._runners.usable(service), now)

    def _sendable(
        self, runners: list[RegisteredRunner], excluded: frozenset[str], now: float
    ) -> list[RegisteredRunner]:
        if not self._zones.knows():
            return []
        if excluded:
            runners = [each for each in runners if each.runner_id not in excluded]
        if self._statements.nothing_known:
            return runners
        return [each for each in runners if self._statements.may_send(each, now)]

    def _slots(self, runner: RegisteredRunner, now: float) -> int:
        free_requests = self._statements.free_requests(runner, now)
        if free_requests is None:
            return runner.slots
        running = self._placement.running(runner.runner_id)
        return min(runner.slots, running + free_requests)


__all__ = ["RunnerCapacity"]
