"""Tests requests that crash engines, sent to several entries over a faulty network.

An agent notifies all entries at once when its engine dies. The machine assumes that the
notice reaches the live entries before a caller whose entry died retries its request.
All other messages may be delayed, and at most two copies of a crashing request are open
at a time.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from corianderrelay.state.suspect_case import (
    AppendSuspectRecord,
    CaseAction,
    RefuseQuarantined,
    ReleaseAndRun,
    RequestHold,
    RunAlone,
    SuspectCase,
)
from corianderrelay.state.suspect_guard import SuspectGuard
from corianderrelay.state.suspect_records import (
    AnySuspectRecord,
    DeathRecord,
    TrialEndRecord,
    TrialOutcome,
    TrialRecord,
    decode_suspect_record,
    encode_suspect_record,
)
from corianderrelay.state.suspects import SuspectLedger, SuspectStatus

_AGENTS = ("runner-0", "runner-1", "runner-2")
_ENTRIES = ("entry-0", "entry-1", "entry-2")
_CRASHERS = ("crash-a", "crash-b")
_INNOCENTS = ("kit", "wax", "letter")
_MAX_OPEN_COPIES = 2
_MAX_DEATHS = 2


@dataclass
class _Run:
    entry: str
    incarnation: int
    request: str
    nonce: str = ""


@dataclass
class _Agent:
    agent_id: str
    guard: SuspectGuard
    running: list[_Run] = field(default_factory=list)


@dataclass
class _Entry:
    incarnation: int = 0
    ledger: SuspectLedger = field(default_factory=SuspectLedger)
    next_offset: int = 0
    cases_by_request: dict[str, SuspectCase] = field(default_factory=dict)
    trials_by_nonce: dict[str, SuspectCase] = field(default_factory=dict)
    outbox: list[AnySuspectRecord] = field(default_factory=list)
    suspected: set[str] = field(default_factory=set)


class SuspectsMachine(RuleBasedStateMachine):
    """Three entries, three agents, two crashing requests and three innocent ones."""

    @initialize()
    def start(self) -> None:
        """Start with an empty log."""
        self.ids = (f"nonce-{number}" for number in itertools.count())
        self.log: list[bytes] = []
        self.agents = {
            name: _Agent(name, SuspectGuard(f"{name}/1")) for name in _AGENTS
        }
        self.entries = {name: _Entry() for name in _ENTRIES}
        self.packets: list[Callable[[], None]] = []
        self.delayed_packets: list[Callable[[], None]] = []
        self.pending_death_notices: set[str] = set()
        self.in_flight: Counter[str] = Counter()
        self.deaths: Counter[str] = Counter()
        self.deaths_while_running: Counter[str] = Counter()
        self.rejected: list[str] = []

    def _open_copies(self, request: str) -> int:
        return self.in_flight[request] + sum(
            request in entry.cases_by_request for entry in self.entries.values()
        )

    @rule(
        entry=st.sampled_from(_ENTRIES),
        request=st.sampled_from(_CRASHERS + _INNOCENTS),
        agent=st.sampled_from(_AGENTS),
        delayed=st.booleans(),
    )
    def caller_sends(self, entry: str, request: str, agent: str, delayed: bool) -> None:
        """Send a request that may already be open at another entry."""
        max_copies = _MAX_OPEN_COPIES if request in _CRASHERS else 1
        target = self.entries[entry]
        if (
            self._open_copies(request) >= max_copies
            or request in target.cases_by_request
        ):
            return
        for other in self.entries.values():
            other.suspected |= self.pending_death_notices
        self.pending_death_notices.clear()
        is_suspect = target.ledger.status(request) is not SuspectStatus.CLEAR
        if is_suspect or request in target.suspected:
            self._open_case(entry, request)
        else:
            self._dispatch_as_usual(entry, request, agent, delayed=delayed)

    def _dispatch_as_usual(
        self, entry: str, request: str, agent: str, *, delayed: bool = False
    ) -> None:
        target = self.entries[entry]
        self.in_flight[request] += 1
        run = _Run(entry, target.incarnation, request)
        packets = self.delayed_packets if delayed else self.packets
        packets.append(lambda: self._deliver_dispatch(agent, run))

    def _open_case(self, entry: str, request: str) -> None:
        case = SuspectCase(request, entry, self.ids.__next__, held_by_agent=True)
        self.entries[entry].cases_by_request[request] = case

    def _deliver_dispatch(self, name: str, run: _Run) -> None:
        agent = self.agents[name]
        trial_running = any(other.nonce for other in agent.running)
        if (run.nonce and agent.running) or trial_running:
            self.packets.append(lambda: self._deliver_dispatch(name, run))
        elif agent.guard.admit(run.request, alone=bool(run.nonce)):
            agent.running.append(run)
        else:
            self.packets.append(lambda: self._on_rejected(run))

    def _is_entry_alive(self, run: _Run) -> bool:
        return self.entries[run.entry].incarnation == run.incarnation

    def _on_rejected(self, run: _Run) -> None:
        self.in_flight[run.request] -= 1
        if self._is_entry_alive(run):
            self._open_case(run.entry, run.request)

    @rule(name=st.sampled_from(_AGENTS), index=st.integers(0, 5))
    def engine_processes_request(self, name: str, index: int) -> None:
        """A request ends, or crashes the engine together with all running requests."""
        agent = self.agents[name]
        if not agent.running:
            return
        run = agent.running[index % len(agent.running)]
        if run.request in _CRASHERS:
            self._crash(agent, run.request)
            return
        agent.running.remove(run)
        self.in_flight[run.request] -= 1
        agent.guard.on_request_ended(run.request)
        if run.nonce:
            agent.guard.on_trial_done(run.request, run.nonce)
        self.packets.append(lambda: self._on_finished(run, TrialOutcome.DONE, ""))

    def _crash(self, agent: _Agent, crasher: str) -> None:
        crashed_runs = list(agent.running)
        agent.running.clear()
        self.deaths[crasher] += 1
        self.deaths_while_running.update({run.request for run in crashed_runs})
        self.in_flight.subtract(run.request for run in crashed_runs)
        self.pending_death_notices |= {run.request for run in crashed_runs}
        death_id = agent.guard.on_engine_died([run.request for run in crashed_runs])
        self.packets += [self._death_packet(run, death_id) for run in crashed_runs]

    def _death_packet(self, run: _Run, death_id: str) -> Callable[[], None]:
        return lambda: self._on_finished(run, TrialOutcome.DIED, death_id)

    def _on_finished(self, run: _Run, outcome: TrialOutcome, death_id: str) -> None:
        if not self._is_entry_alive(run):
            return
        entry = self.entries[run.entry]
        if run.nonce:
            case = entry.trials_by_nonce.pop(run.nonce)
            entry.outbox.append(case.build_trial_end(outcome, death_id).record)
            return
        if outcome is TrialOutcome.DIED:
            entry.outbox.append(DeathRecord(run.request, death_id))
            self._open_case(run.entry, run.request)

    @rule(name=st.sampled_from(_ENTRIES), agent=st.sampled_from(_AGENTS))
    def case_advances(self, name: str, agent: str) -> None:
        """An entry executes the actions of its suspect cases."""
        entry = self.entries[name]
        for request, case in list(entry.cases_by_request.items()):
            for action in case.advance(entry.ledger, _AGENTS):
                self._execute(name, request, case, agent, action)
            if case.finished:
                del entry.cases_by_request[request]

    def _execute(
        self, name: str, request: str, case: SuspectCase, agent: str, action: CaseAction
    ) -> None:
        entry = self.entries[name]
        match action:
            case AppendSuspectRecord():
                if action.record not in entry.outbox:
                    entry.outbox.append(action.record)
            case RequestHold():
                self.packets.append(
                    lambda: self._request_hold(name, request, case, action)
                )
            case RunAlone():
                entry.trials_by_nonce[action.nonce] = case
                self.in_flight[request] += 1
                run = _Run(name, entry.incarnation, request, action.nonce)
                self.packets.append(lambda: self._deliver_dispatch(agent, run))
            case ReleaseAndRun():
                entry.suspected.discard(request)
                self._release(request, action)
                self._dispatch_as_usual(name, request, agent)
            case RefuseQuarantined():
                self.rejected.append(request)

    def _request_hold(
        self, name: str, request: str, case: SuspectCase, action: RequestHold
    ) -> None:
        reply = self.agents[action.agent_id].guard.hold(request, action.number)
        self.packets.append(
            lambda: case.on_hold_reply(action.agent_id, action.number, reply)
        )

    def _release(self, request: str, action: ReleaseAndRun) -> None:
        for agent in self.agents.values():
            self.packets.append(
                lambda guard=agent.guard: guard.release(  # type: ignore[misc]
                    request, action.cleared_at, action.settled
                )
            )

    @rule(index=st.integers(0, 30))
    def packet_arrives(self, index: int) -> None:
        """A packet arrives, in any order."""
        if self.packets:
            self.packets.pop(index % len(self.packets))()

    @rule(request=st.sampled_from(_CRASHERS), entries=st.permutations(_ENTRIES))
    def crashes_while_a_copy_is_delayed(self, request: str, entries: list[str]) -> None:
        """One copy crashes its engine while the dispatch of another is delayed."""
        if self._open_copies(request):
            return
        self.caller_sends(entries[0], request, _AGENTS[1], False)
        self.caller_sends(entries[1], request, _AGENTS[2], True)
        self.packets_arrive()
        running = [run.request for run in self.agents[_AGENTS[1]].running]
        if request in running:
            self.engine_processes_request(_AGENTS[1], running.index(request))

    @rule(index=st.integers(0, 30))
    def delayed_packet_arrives(self, index: int) -> None:
        """A delayed dispatch arrives."""
        if self.delayed_packets:
            self.delayed_packets.pop(index % len(self.delayed_packets))()

    @rule()
    def packets_arrive(self) -> None:
        """All packets arrive in order."""
        packets = self.packets
        self.packets = []
        for packet in packets:
            packet()

    @rule(name=st.sampled_from(_ENTRIES), answer_lost=st.booleans())
    def log_appends(self, name: str, answer_lost: bool) -> None:
        """The log appends an entry's records; after a lost answer they are retried."""
        entry = self.entries[name]
        self.log += [encode_suspect_record(record) for record in entry.outbox]
        if not answer_lost:
            entry.outbox.clear()

    @rule(name=st.sampled_from(_ENTRIES), records=st.integers(1, 20))
    def entry_reads(self, name: str, records: int) -> None:
        """An entry reads part of the log and ends its own trials that have no case."""
        entry = self.entries[name]
        for offset in range(
            entry.next_offset, min(entry.next_offset + records, len(self.log))
        ):
            record = decode_suspect_record(self.log[offset])
            assert record is not None
            entry.ledger.apply(offset, record)
            entry.next_offset = offset + 1
            if isinstance(record, TrialRecord):
                self._end_orphaned_trial(name, record)

    def _end_orphaned_trial(self, name: str, record: TrialRecord) -> None:
        entry = self.entries[name]
        if name == record.entry_id and record.fingerprint not in entry.cases_by_request:
            if record.nonce not in entry.trials_by_nonce and entry.incarnation == 0:
                entry.outbox.append(
                    TrialEndRecord(
                        record.fingerprint, record.nonce, TrialOutcome.NOT_RUN
                    )
                )

    @rule()
    def run_without_faults(self) -> None:
        """Let all entries and packets make progress without faults."""
        for _ in range(4):
            for name in _ENTRIES:
                self.log_appends(name, False)
                self.entry_reads(name, 100)
                self.case_advances(name, _AGENTS[0])
            self.packets_arrive()

    @rule(name=st.sampled_from(_ENTRIES))
    def entry_dies(self, name: str) -> None:
        """An entry restarts without its state."""
        incarnation = self.entries[name].incarnation + 1
        suspected = set(self.deaths_while_running)
        self.entries[name] = _Entry(incarnation=incarnation, suspected=suspected)

    @invariant()
    def crashes_are_limited(self) -> None:
        """No request crashes more than two engines, wherever it is sent."""
        for request, deaths in self.deaths.items():
            assert deaths <= _MAX_DEATHS, (request, deaths)

    @invariant()
    def innocents_are_not_rejected(self) -> None:
        """An innocent request is rejected only if two engines died while it ran."""
        for request in self.rejected:
            innocent = request in _INNOCENTS
            assert (
                not innocent or self.deaths_while_running[request] >= _MAX_DEATHS
            ), request


__all__ = ["SuspectsMachine"]
