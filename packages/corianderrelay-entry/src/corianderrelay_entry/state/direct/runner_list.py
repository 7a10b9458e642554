"""Runners that are registered in the platform's log.

Records can expire during an outage of the log although their runners are alive. A
removal that is read shortly after an outage is therefore delayed, so that a live runner
can register again first.

A log that was restored from an older copy lists runners as they were before. What this
entry knows of those that have left meanwhile stays valid until they write again.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_REMOVED = 1024  # the runners that leave within the age of a copy
_MAX_LEAVING = 1024  # bounds memory; a runner is gone seconds after it said so
_MAX_ZONES = 1024  # bounds memory
_REMOVAL_DELAY_S = 2.2  # live runners re-register about 2 s after an outage


@dataclass(frozen=True, slots=True)
class RegisteredRunner:
    """Registration record of one runner.

    :param started_ms: start time in Unix milliseconds; changes with each restart.
    :param slots: maximum number of concurrent requests.
    :param leaving: whether the runner announced its shutdown.
    :param cold_left_s: seconds for which the runner is cold, when the record was read.
        It counts down with each heartbeat, so it does not count as a change.
    """

    runner_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    cold_left_s: float = field(default=0.0, compare=False)


class RunnerList:
    """All registered runners.

    :ivar known_zones: zones in which a runner is or was.
    """

    __slots__ = (
        "_runners_by_id",
        "_removal_due_by_id",
        "_delay_removals_until",
        "_log_unavailable",
        "_leaving_lives",
        "_removed_lives",
        "_present_by_service",
        "_usable_by_service",
        "_evacuated",
        "known_zones",
    )

    def __init__(self) -> None:
        self._runners_by_id: dict[str, RegisteredRunner] = {}
        self._removal_due_by_id: dict[str, float] = {}
        self._delay_removals_until = float("-inf")
        self._log_unavailable = False
        # In the order in which they were learned; the values have no meaning.
        self._leaving_lives: dict[tuple[str, int], None] = {}
        self._removed_lives: dict[tuple[str, int], None] = {}
        self._present_by_service: dict[str, list[RegisteredRunner]] = {}
        self._usable_by_service: dict[str, list[RegisteredRunner]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.known_zones: set[str] = set()

    def __len__(self) -> int:
        return len(self._runners_by_id)

    def get(self, runner_id: str) -> RegisteredRunner | None:
        """Return a runner's record; ``None`` if it is not registered."""
        return self._runners_by_id.get(runner_id)

    def is_registered(self, runner: RegisteredRunner) -> bool:
        """Return whether a record is the current one, and is not to be removed."""
        known = self._runners_by_id.get(runner.runner_id)
        return known == runner and runner.runner_id not in self._removal_due_by_id

    @property
    def current(self) -> bool:
        """Whether a runner that has ended would be removed within seconds."""
        return not self._log_unavailable and not self._removal_due_by_id

    def on_log_unavailable(self) -> None:
        """Record that a request to the log failed."""
        self._log_unavailable = True

    def on_log_available(self, now: float) -> None:
        """Record that the log responded; delay removals if this ends an outage."""
        if self._log_unavailable:
            self._log_unavailable = False
            self._delay_removals_until = now + _REMOVAL_DELAY_S

    def on_log_restored(self, now: float) -> None:
        """Record that the log was restored from an older copy."""
        self.delay_removals(now + _REMOVAL_DELAY_S)

    @property
    def removals_pending(self) -> bool:
        """Whether records have expired that may still be renewed."""
        return bool(self._removal_due_by_id)

    def removal_delay_s(self, now: float) -> float:
        """Return the seconds for which removals are still delayed."""
        return max(self._delay_removals_until - now, 0.0)

    def delay_removals(self, until: float) -> None:
        """Delay removals at least until a time, as an outage has just ended."""
        self._delay_removals_until = max(self._delay_removals_until, until)

    def put(self, runner: RegisteredRunner) -> RegisteredRunner | None:
        """Store a runner's newest record and return the previous one."""
        previous = self._runners_by_id.get(runner.runner_id)
        self._runners_by_id[runner.runner_id] = runner
        if len(self.known_zones) < _MAX_ZONES:
            self.known_zones.add(runner.zone)
        self._forget_lists()
        self._removal_due_by_id.pop(runner.runner_id, None)
        self._removed_lives.pop((runner.runner_id, runner.started_ms), None)
        return previous

    def remove(self, runner_id: str, now: float) -> None:
        """Remove a runner, after a delay if an outage of the log has just ended."""
        if runner_id not in self._runners_by_id:
            return
        if now < self._delay_removals_until:
            self._removal_due_by_id.setdefault(runner_id, self._delay_removals_until)
        else:
            self._delete(runner_id)

    def replace(
        self,
        runners_by_id: Mapping[str, RegisteredRunner | None],
        now: float,
        *,
        restored: bool = False,
    ) -> None:
        """Replace all records by a snapshot, after the log dropped unread history.

        :param runners_by_id: ``None`` for a record that cannot be decoded; the previous
            record of that runner is kept.
        :param restored: whether the log was restored from an older copy.
        """
        for runner in runners_by_id.values():
            newest = self._undo_restore(runner) if restored and runner else runner
            if newest is not None:
                self.put(newest)
        missing = [each for each in self._runners_by_id if each not in runners_by_id]
        for runner_id in missing:
            self.remove(runner_id, now)

    def expire(self, read_at: float) -> list[str]:
        """Remove the runners whose delayed removal is due and return their ids.

        :param read_at: when the log was last read.
        """
        due = [
            each
            for each, due_at in self._removal_due_by_id.items()
            if read_at >= due_at
        ]
        for runner_id in due:
            self._delete(runner_id)
        return due

    def present(self, service: str) -> list[RegisteredRunner]:
        """Return the service's runners that are not shutting down.

        Those in evacuated zones are included: they finish their requests, and ranks
        take part in the passes of their group. The list is kept until a record changes;
        callers must not change it.
        """
        present = self._present_by_service.get(service)
        if present is None:
            present = self._present_by_service[service] = [
                runner
                for runner in self._runners_by_id.values()
                if runner.service == service and not self._is_leaving(runner)
            ]
        return present

    def usable(self, service: str) -> list[RegisteredRunner]:
        """Return the service's runners that may get new requests.

        The list is kept until a record changes; callers must not change it.
        """
        if not self._evacuated:
            return self.present(service)
        usable = self._usable_by_service.get(service)
        if usable is None:
            usable = self._usable_by_service[service] = [
                runner
                for runner in self.present(service)
                if runner.zone not in self._evacuated
            ]
        return usable

    def is_evacuated(self, runner: RegisteredRunner) -> bool:
        """Return whether a runner is in an evacuated zone."""
        return runner.zone in self._evacuated

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Set the zones whose runners get no new requests."""
        self._evacuated = zones
        self._forget_lists()

    def mark_leaving(self, runner_id: str, started_ms: int) -> bool:
        """Record that a runner itself states that it is shutting down.

        It holds for this lifetime of the runner, whatever its record says.

        :return: whether this was not known.
        """
        life = (runner_id, started_ms)
        if life in self._leaving_lives:
            return False
        if len(self._leaving_lives) >= _MAX_LEAVING:
            del self._leaving_lives[next(iter(self._leaving_lives))]
        self._leaving_lives[life] = None
        self._forget_lists()
        return True

    def recently_leaving(self, count: int) -> list[tuple[str, int]]:
        """Return the ids and start times of the last runners marked as leaving."""
        return list(self._leaving_lives)[-count:]

    def all(self) -> list[RegisteredRunner]:
        """Return all registered runners."""
        return list(self._runners_by_id.values())

    def _undo_restore(self, runner: RegisteredRunner) -> RegisteredRunner | None:
        """Return a restored record as it was last known; ``None`` if it was removed."""
        if (runner.runner_id, runner.started_ms) in self._removed_lives:
            return None
        known = self._runners_by_id.get(runner.runner_id)
        if known is None or known.started_ms != runner.started_ms or not known.leaving:
            return runner
        return replace(runner, leaving=True)

    def _forget_lists(self) -> None:
        self._present_by_service.clear()
        self._usable_by_service.clear()

    def _is_leaving(self, runner: RegisteredRunner) -> bool:
        life = (runner.runner_id, runner.started_ms)
        return runner.leaving or life in self._leaving_lives

    def _delete(self, runner_id: str) -> None:
        removed = self._runners_by_id.pop(runner_id, None)
        if removed is not None:
            if len(self._removed_lives) >= _MAX_REMOVED:
                del self._removed_lives[next(iter(self._removed_lives))]
            self._removed_lives[(runner_id, removed.started_ms)] = None
        self._forget_lists()
        self._removal_due_by_id.pop(runner_id, None)


__all__ = ["RegisteredRunner", "RunnerList"]
