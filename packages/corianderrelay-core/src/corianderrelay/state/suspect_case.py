"""What an entry does with a suspect: hold it everywhere, then run it alone, or refuse.

First all agents hold the fingerprint back and say that it is not in flight with them;
what they know of deaths is recorded. Only then is a trial asked for in the log, and
only the entry whose record the log accepted runs it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .suspect_records import DeathRecord, TrialEndRecord, TrialOutcome, TrialRecord
from .suspects import SuspectStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .suspect_guard import HoldReply
    from .suspect_records import AnySuspectRecord
    from .suspects import SuspectLedger


@dataclass(frozen=True, slots=True)
class AppendSuspectRecord:
    """Order: append the record; repeating it does no harm."""

    record: AnySuspectRecord


@dataclass(frozen=True, slots=True)
class RequestHold:
    """Order: ask the agent to hold the fingerprint back."""

    agent_id: str
    number: int


@dataclass(frozen=True, slots=True)
class RunAlone:
    """Order: run the request alone on a runner as this trial."""

    nonce: str


@dataclass(frozen=True, slots=True)
class ReleaseAndRun:
    """Order: release the holds below this offset and run the request as usual."""

    cleared_at: int
    settled: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RefuseQuarantined:
    """Order: tell the caller that the request is quarantined."""


CaseAction = (
    AppendSuspectRecord | RequestHold | RunAlone | ReleaseAndRun | RefuseQuarantined
)


class SuspectCase:
    """One suspect request at one entry.

    :param entry_id: names the entry in the log.
    :param new_id: returns a new unique identifier at each call.
    :param refused: an agent holds it back although this entry knows of nothing.
    """

    __slots__ = (
        "_fingerprint",
        "_entry_id",
        "_new_id",
        "_held_by_agent",
        "_replied",
        "_held_number_by_agent",
        "_reported_deaths",
        "_reported_trials",
        "_nonce",
        "finished",
    )

    def __init__(
        self,
        fingerprint: str,
        entry_id: str,
        new_id: Callable[[], str],
        *,
        held_by_agent: bool = False,
    ) -> None:
        self._fingerprint = fingerprint
        self._entry_id = entry_id
        self._new_id = new_id
        self._held_by_agent = held_by_agent
        self._replied: set[str] = set()
        self._held_number_by_agent: dict[str, int] = {}
        self._reported_deaths: set[str] = set()
        self._reported_trials: set[str] = set()
        self._nonce = ""
        self.finished = False

    def on_hold_reply(self, agent_id: str, number: int, reply: HoldReply) -> None:
        """Take an agent's answer to the question with this number."""
        self._replied.add(agent_id)
        self._reported_deaths |= set(reply.death_ids)
        self._reported_trials |= set(reply.done_trials)
        if number >= 0 and not reply.in_flight:
            self._held_number_by_agent[agent_id] = number

    def advance(
        self, ledger: SuspectLedger, agent_ids: Iterable[str]
    ) -> list[CaseAction]:
        """Return what to do next; call it again on any news and from time to time.

        :param agent_ids: all agents of the service that may run anything.
        """
        if self.finished:
            return []
        status = ledger.status(self._fingerprint)
        if status is SuspectStatus.QUARANTINED:
            self.finished = True
            return [RefuseQuarantined()]
        reports = self._append_reported(ledger)
        if reports:
            return reports
        names = list(agent_ids)
        match status:
            case SuspectStatus.CLEAR:
                return self._release_and_run(ledger, names)
            case SuspectStatus.ON_TRIAL:
                return self._run_or_hold(ledger, names)
            case _:
                return self._hold_or_request_trial(ledger, names)

    def build_trial_end(
        self, outcome: TrialOutcome, death_id: str
    ) -> AppendSuspectRecord:
        """Return the record of the end of this case's trial."""
        return AppendSuspectRecord(
            TrialEndRecord(self._fingerprint, self._nonce, outcome, death_id)
        )

    def _append_reported(self, ledger: SuspectLedger) -> list[CaseAction]:
        """Record what agents told before anything is concluded without it."""
        deaths = [
            AppendSuspectRecord(DeathRecord(self._fingerprint, death_id))
            for death_id in sorted(self._reported_deaths)
            if not ledger.has_recorded_death(self._fingerprint, death_id)
        ]
        suspicion = ledger.suspicion(self._fingerprint)
        open_nonce = suspicion.trial_nonce if suspicion is not None else ""
        done = TrialEndRecord(self._fingerprint, open_nonce, TrialOutcome.DONE)
        if open_nonce in self._reported_trials:
            return [*deaths, AppendSuspectRecord(done)]
        return [*deaths]

    def _release_and_run(
        self, ledger: SuspectLedger, agent_ids: list[str]
    ) -> list[CaseAction]:
        if self._held_by_agent:
            unasked = [name for name in agent_ids if name not in self._replied]
            if unasked:
                return [RequestHold(agent_id, -1) for agent_id in unasked]
        self.finished = True
        cleared_at = ledger.cleared_at(self._fingerprint)
        return [ReleaseAndRun(cleared_at, ledger.settled_deaths(self._fingerprint))]

    def _run_or_hold(
        self, ledger: SuspectLedger, agent_ids: list[str]
    ) -> list[CaseAction]:
        suspicion = ledger.suspicion(self._fingerprint)
        assert suspicion is not None
        if suspicion.trial_nonce == self._nonce:
            self.finished = True
            return [RunAlone(self._nonce)]
        return [RequestHold(agent_id, suspicion.number) for agent_id in agent_ids]

    def _hold_or_request_trial(
        self, ledger: SuspectLedger, agent_ids: list[str]
    ) -> list[CaseAction]:
        suspicion = ledger.suspicion(self._fingerprint)
        assert suspicion is not None
        missing = [
            name
            for name in agent_ids
            if self._held_number_by_agent.get(name, -1) < suspicion.number
        ]
        if missing or not agent_ids:
            return [RequestHold(agent_id, suspicion.number) for agent_id in missing]
        if not self._nonce or self._nonce in suspicion.nonces:
            self._nonce = self._new_id()
        record = TrialRecord(self._fingerprint, self._nonce, self._entry_id)
        return [AppendSuspectRecord(record)]


__all__ = [
    "AppendSuspectRecord",
    "RequestHold",
    "CaseAction",
    "RefuseQuarantined",
    "RunAlone",
    "ReleaseAndRun",
    "SuspectCase",
]
