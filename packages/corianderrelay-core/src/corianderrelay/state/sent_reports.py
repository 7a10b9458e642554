"""Record of the reports that a rank has sent to the coordinator, to send each once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .switch_types import Armed, ArmRefused, Settled, Staged

if TYPE_CHECKING:
    from .switch_types import SwitchAttemptId

RankReport = Staged | Armed | ArmRefused | Settled


class SentReports:
    """The kinds of reports sent for each switch attempt.

    When the coordinator resends a message, the report that answers it may be sent
    again.
    """

    __slots__ = ("_kinds_by_attempt",)

    def __init__(self) -> None:
        self._kinds_by_attempt: dict[SwitchAttemptId, set[type]] = {}

    def record_if_new(self, report: RankReport) -> bool:
        """Record the report as sent; return false if its kind was sent before."""
        kinds = self._kinds_by_attempt.setdefault(report.attempt, set())
        is_new = type(report) not in kinds
        kinds.add(type(report))
        return is_new

    def allow_resend(self, attempt_id: SwitchAttemptId, *kinds: type) -> None:
        """Allow reports of these kinds to be sent again for the attempt."""
        self._kinds_by_attempt.get(attempt_id, set()).difference_update(kinds)

    def retain_attempts(self, attempt_ids: set[SwitchAttemptId]) -> None:
        """Remove the records of all attempts except ``attempt_ids``."""
        self._kinds_by_attempt = {
            attempt_id: kinds
            for attempt_id, kinds in self._kinds_by_attempt.items()
            if attempt_id in attempt_ids
        }


__all__ = ["RankReport", "SentReports"]
