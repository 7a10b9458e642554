"""Handles a suspect at one entry: hold it at all agents, then run or reject it.

First, every agent holds the fingerprint back and confirms that no request with it is in
flight there; the engine deaths that agents report are recorded in the log. Only then
does the entry request a trial in the log, and only the entry whose trial record comes
first runs the request.
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
    """Action: append the record; a duplicate has no effect."""

    record: AnySuspectRecord


@dataclass(frozen=True, slots=True)
class RequestHold:
    """Action: ask the agent to hold the fingerprint back.

    :param number: number of the suspicion; below 0 the agent only reports.
    """

    agent_id: str
    number: int


@dataclass(frozen=True, slots=True)
class RunAlone:
    """Action: run the request alone on a runner, as the trial with this nonce."""

    nonce: str


@dataclass(frozen=True, slots=True)
class ReleaseAndRun:
    """Action: release the agents' holds and run the request as usual.

    :param cleared_at: offset at which the fingerprint was cleared; only older holds are
        released.
    :param settled: ids of the engine deaths of which the fingerprint was cleared.
    """

    cleared_at: int
    settled: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RefuseQuarantined:
    """Action: reject the request with the error that it is quarantined."""


CaseAction = (
    AppendSuspectRecord | RequestHold | RunAlone | ReleaseAndRun | RefuseQuarantined
)


class SuspectCase:
    """One suspect request at one entry.

    :param entry_id: identifies the entry in the log.
    :param new_id: returns a new unique identifier at each call.
    :param held_by_agent: whether an agent rejected the request because it holds the
        fingerprint, although it may be clear in this entry's ledger.
    """

    __slots__ = (
        "_fingerprint",
        "_entry_id",
        "_new_id",
        "_held_by_agent",
        "_replied_agents",
        "_confirmed_number_by_agent",
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
        self._replied_agents: set[str] = set()
        self._confirmed_number_by_agent: dict[str, int] = {}
        self._reported_deaths: set[str] = set()
        self._reported_trials: set[str] = set()
        self._nonce = ""
        self.finished = False

    def on_hold_reply(self, agent_id: str, number: int, reply: HoldReply) -> None:
        """Handle an agent's reply to a :class:`RequestHold` with this number."""
        self._replied_agents.add(agent_id)
        self._reported_deaths |= set(reply.death_ids)
        self._reported_trials |= set(reply.done_trials)
        if number >= 0 and not reply.in_flight:
            self._confirmed_number_by_agent[agent_id] = number

    def advance(
        self, ledger: SuspectLedger, agent_ids: Iterable[str]
    ) -> list[CaseAction]:
        """Return the next actions.

        To be called after each new record or hold reply, and periodically.

        :param agent_ids: all agents of the service that may run requests.
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
        agent_names = list(agent_ids)
        match status:
            case SuspectStatus.CLEAR:
                return self._release_and_run(ledger, agent_names)
            case SuspectStatus.ON_TRIAL:
                return self._run_or_hold(ledger, agent_names)
            case _:
                return self._hold_or_request_trial(ledger, agent_names)

    def build_trial_end(
        self, outcome: TrialOutcome, death_id: str
    ) -> AppendSuspectRecord:
        """Return the action that records the end of this case's trial."""
        return AppendSuspectRecord(
            TrialEndRecord(self._fingerprint, self._nonce, outcome, death_id)
        )

    def _append_reported(self, ledger: SuspectLedger) -> list[CaseAction]:
        """Return the actions that record the agents' reports missing in the ledger.

        They come before any decision, so that none is made without these reports.
        """
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
            pending = [name for name in agent_ids if name not in self._replied_agents]
            if pending:
                return [RequestHold(agent_id, -1) for agent_id in pending]
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
            if self._confirmed_number_by_agent.get(name, -1) < suspicion.number
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
