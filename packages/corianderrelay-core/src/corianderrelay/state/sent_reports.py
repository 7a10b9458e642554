"""Which reports a rank has made to the coordinator, so that each is made once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .switch_types import Armed, ArmRefused, Settled, Staged

if TYPE_CHECKING:
    from .switch_types import AttemptId

RankReport = Staged | Armed | ArmRefused | Settled


class SentReports:
    """Remembers the kinds of reports made, by attempt.

    A message that the coordinator repeats asks for the report again.
    """

    __slots__ = ("_kinds_by_attempt",)

    def __init__(self) -> None:
        self._kinds_by_attempt: dict[AttemptId, set[type]] = {}

    def record_if_new(self, report: RankReport) -> bool:
        """Return whether the report was not made yet, and note that it is."""
        kinds = self._kinds_by_attempt.setdefault(report.attempt, set())
        is_new = type(report) not in kinds
        kinds.add(type(report))
        return is_new

    def allow_resend(self, attempt_id: AttemptId, *kinds: type) -> None:
        """Let reports of these kinds be made again."""
        self._kinds_by_attempt.get(attempt_id, set()).difference_update(kinds)

    def retain_attempts(self, attempt_ids: set[AttemptId]) -> None:
        """Forget all other attempts."""
        self._kinds_by_attempt = {
            attempt_id: kinds
            for attempt_id, kinds in self._kinds_by_attempt.items()
            if attempt_id in attempt_ids
        }


__all__ = ["RankReport", "SentReports"]
