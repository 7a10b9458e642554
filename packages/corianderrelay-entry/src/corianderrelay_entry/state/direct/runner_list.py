"""Runners as they register themselves in the platform's log.

Entries may lapse while the log is out, though their runners live. A removal that is
seen within a moment of the log's return is therefore held back for that moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_REMOVAL_DELAY_S = 2.2  # live runners are listed again about 2 s after an outage


@dataclass(frozen=True, slots=True)
class RegisteredRunner:
    """One runner's own record.

    :param started_ms: Unix milliseconds of its start; a new start is a new life.
    :param slots: requests that it runs at once.
    :param leaving: whether it has said that it will stop.
    """

    runner_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool = False
    started_ms: int = 0


class RunnerList:
    """The runners that may get new work."""

    __slots__ = (
        "_runners_by_id",
        "_removal_due_by_id",
        "_delay_removals_until",
        "_log_unavailable",
    )

    def __init__(self) -> None:
        self._runners_by_id: dict[str, RegisteredRunner] = {}
        self._removal_due_by_id: dict[str, float] = {}
        self._delay_removals_until = float("-inf")
        self._log_unavailable = False

    def __len__(self) -> int:
        return len(self._runners_by_id)

    def get(self, runner_id: str) -> RegisteredRunner | None:
        """Return what is known of a runner."""
        return self._runners_by_id.get(runner_id)

    def on_log_unavailable(self) -> None:
        """The log did not answer."""
        self._log_unavailable = True

    def on_log_available(self, now: float) -> None:
        """The log has answered; after an outage, lapsed records are held a while."""
        if self._log_unavailable:
            self._log_unavailable = False
            self._delay_removals_until = now + _REMOVAL_DELAY_S

    def put(self, runner: RegisteredRunner) -> RegisteredRunner | None:
        """Take a runner's newest record and return the one before it."""
        previous = self._runners_by_id.get(runner.runner_id)
        self._runners_by_id[runner.runner_id] = runner
        self._removal_due_by_id.pop(runner.runner_id, None)
        return previous

    def remove(self, runner_id: str, now: float) -> None:
        """Take a runner's removal."""
        if runner_id not in self._runners_by_id:
            return
        if now < self._delay_removals_until:
            self._removal_due_by_id.setdefault(runner_id, self._delay_removals_until)
        else:
            self._delete(runner_id)

    def replace(
        self, runners_by_id: Mapping[str, RegisteredRunner | None], now: float
    ) -> None:
        """Take the newest records of all runners, as after dropped history.

        :param runners_by_id: ``None`` for a record that cannot be read; what was known
            of its runner holds.
        """
        for runner in runners_by_id.values():
            if runner is not None:
                self.put(runner)
        missing = [name for name in self._runners_by_id if name not in runners_by_id]
        for runner_id in missing:
            self.remove(runner_id, now)

    def expire(self, now: float) -> list[str]:
        """Forget the runners whose hold is over, and return them."""
        over = [name for name, until in self._removal_due_by_id.items() if now >= until]
        for runner_id in over:
            self._delete(runner_id)
        return over

    def usable(self, service: str) -> list[RegisteredRunner]:
        """Return the service's runners that may get new work."""
        return [
            runner
            for runner in self._runners_by_id.values()
            if runner.service == service and not runner.leaving
        ]

    def all(self) -> list[RegisteredRunner]:
        """Return every runner that is known."""
        return list(self._runners_by_id.values())

    def _delete(self, runner_id: str) -> None:
        self._runners_by_id.pop(runner_id, None)
        self._removal_due_by_id.pop(runner_id, None)


__all__ = ["RegisteredRunner", "RunnerList"]
