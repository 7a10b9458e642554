"""Requests that must not be repeated, under any pair of faults and any interleaving.

Entries and agents run the product's own decisions; log, network and clock are
simulated. The oracle counts the starts of each key and what each caller was told.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from corianderrelay.state.attempt_outcome import AttemptOutcome, RefusalReason
from corianderrelay.state.claim_keys import request_digest, scoped_key
from corianderrelay.state.claim_orders import StartOrder
from corianderrelay.state.claim_records import (
    ClaimRecord,
    OutcomeRecord,
    ReleaseRecord,
    RememberedKeysRecord,
)
from corianderrelay.state.claims import ClaimFold
from corianderrelay.state.errors import Ran
from corianderrelay_agent.state.key_guard import KeyGuard, KeyGuardLimits
from corianderrelay_entry.state.claim_settlement import SettlementLimits
from corianderrelay_entry.state.keyed_actions import (
    Action,
    AppendRecord,
    KeyedCall,
    RequestTicket,
    SendAnswer,
    SendDispatch,
    SendError,
    SendTombstone,
)
from corianderrelay_entry.state.keyed_limits import KeyedLimits
from corianderrelay_entry.state.keyed_requests import KeyedRequests

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.state.claim_orders import KeyTicket, StopOrder
    from corianderrelay.state.claim_records import AnyClaimRecord

RETENTION_S = 600.0
ENTRIES = 3
AGENTS = 2
KEYS = 4
LIMITS = KeyedLimits(
    window_s=RETENTION_S / 2,
    undated_keys_interval_s=RETENTION_S / 4,
    settlement=SettlementLimits(
        min_age_s=1.0, jitter_s=1.0, interval_s=2.0, unreachable_after_s=10.0
    ),
)
GUARD_LIMITS = KeyGuardLimits(ticket_lifetime_s=6.0, max_finished=1, max_tickets=64)
KINDS = (
    "ask_ticket",
    "ticket",
    "claim",
    "release",
    "outcome",
    "remembered",
    "dispatch",
    "refused",
    "ended",
    "tombstone",
    "tombstoned",
)
FAULTS = (
    "kill_entry",
    "freeze_entry",
    "wake_entry",
    "restart_agent",
    "freeze_agent",
    "wake_agent",
    "fill_agent",
    "empty_agent",
    "log_out",
    "log_back",
    "lose",
    "double",
    "hold",
    "hold_copy",
    "pass_retention",
)


@dataclass(slots=True)
class Mail:
    """A message under way; ``arrive`` is called when the receiver takes it."""

    kind: str
    receiver: Any
    arrive: Callable[[], None]


@dataclass(slots=True)
class Node:
    """A process that can be killed, and frozen with its messages piling up."""

    alive: bool = True
    frozen: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)

    def take(self, arrive: Callable[[], None]) -> None:
        if self.frozen:
            self.inbox.append(arrive)
        elif self.alive:
            arrive()

    def wake(self) -> None:
        self.frozen = False
        while self.inbox and self.alive:
            self.inbox.pop(0)()


@dataclass(slots=True)
class Entry(Node):
    """An entry process with its place in the log."""

    core: KeyedRequests = None  # type: ignore[assignment]
    position: int = 0
    wall_skew_s: float = 0.0


@dataclass(slots=True)
class Agent(Node):
    """An agent process and the work that it runs."""

    runner_id: str = ""
    guard: KeyGuard = None  # type: ignore[assignment]
    full: bool = False
    running: list[Callable[[], None]] = field(default_factory=list)


@dataclass(slots=True)
class Log:
    """One claims stream with retention."""

    up: bool = True
    first_offset: int = 0
    records: list[tuple[float, Any]] = field(default_factory=list)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def drop_before(self, time: float) -> None:
        while self.records and self.records[0][0] < time:
            self.records.pop(0)
            self.first_offset += 1


class ClaimsMachine(RuleBasedStateMachine):
    """Callers repeat keys at all entries while two faults at a time strike."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.log = Log()
        self.mails: list[Mail] = []
        self.held: list[Mail] = []
        self.copied_kind = ""
        self.delayed_kind = ""
        self.numbers = count(1)
        self.keys: list[tuple[str, float | None]] = []
        self.starts: Counter[str] = Counter()
        self.started_requests: set[str] = set()
        self.told_not_run: set[str] = set()
        self.submitted: dict[str, Entry] = {}
        self.calls: dict[str, KeyedCall] = {}
        self.told: set[str] = set()

    @initialize(skews=st.tuples(*[st.sampled_from([-100.0, 0.0, 100.0])] * ENTRIES))
    def start(self, skews: tuple[float, ...]) -> None:
        self.entries = [self._new_entry(skew) for skew in skews]
        self.agents = [Agent(runner_id=f"runner-{n}") for n in range(AGENTS)]
        for agent in self.agents:
            self._new_incarnation(agent)
        for entry in self.entries:
            self._read(entry)
        for dated in (True, False, True):
            self.make_key(dated)

    # What callers do.

    @rule(dated=st.booleans())
    def make_key(self, dated: bool) -> None:
        name = f"key-{next(self.numbers)}"
        self.keys.append((name, self.now if dated else None))
        self.keys = self.keys[-KEYS:]

    @rule(
        which=st.integers(0, KEYS - 1),
        entry=st.integers(0, ENTRIES - 1),
        agent=st.integers(0, AGENTS - 1),
        other_body=st.sampled_from([False, False, False, True]),
    )
    def call(self, which: int, entry: int, agent: int, other_body: bool) -> None:
        name, dated_s = self.keys[which % len(self.keys)]
        node = self.entries[entry]
        call = KeyedCall(
            request_id=f"request-{next(self.numbers)}",
            key=scoped_key("kits", "shop", name),
            digest=request_digest("POST", "/orders", b"other" if other_body else b""),
            workspace="kits",
            service="shop",
            runner_id=self.agents[agent].runner_id,
            deadline=self.now + 20.0,
            dated_s=dated_s,
        )
        self.submitted[call.request_id] = node
        self.calls[call.request_id] = call
        node.take(lambda: self._submit(node, call))

    @rule(which=st.integers(0, KEYS - 1), agent=st.integers(0, AGENTS - 1))
    def call_everywhere(self, which: int, agent: int) -> None:
        for entry in range(ENTRIES):
            self.call(which, entry, agent, False)

    def _submit(self, node: Entry, call: KeyedCall) -> None:
        self._act(node, node.core.submit(call, self.now, self._wall(node)))

    # How messages and time move.

    @rule(place=st.integers(0, 30))
    def deliver(self, place: int) -> None:
        if self.mails:
            mail = self.mails.pop(place % len(self.mails))
            mail.receiver(mail.arrive)

    @rule(place=st.integers(0, 30))
    def deliver_held(self, place: int) -> None:
        if self.held:
            mail = self.held.pop(place % len(self.held))
            mail.receiver(mail.arrive)

    @rule(steps=st.integers(1, 20), finish=st.booleans())
    def run_smoothly(self, steps: int, finish: bool) -> None:
        for _ in range(steps):
            if self.mails:
                mail = self.mails.pop(0)
                mail.receiver(mail.arrive)
            for entry in self.entries:
                self._read(entry)
            for agent in self.agents if finish else ():
                self._finish_oldest(agent)

    @rule()
    def heal(self) -> None:
        self.log.up = True
        for node in (*self.entries, *self.agents):
            node.wake()
        for agent in self.agents:
            agent.full = False

    @rule(entry=st.integers(0, ENTRIES - 1))
    def read(self, entry: int) -> None:
        self._read(self.entries[entry])

    @rule(agent=st.integers(0, AGENTS - 1))
    def finish_one(self, agent: int) -> None:
        self._finish_oldest(self.agents[agent])

    def _finish_oldest(self, node: Agent) -> None:
        if node.running and not node.frozen:
            node.running.pop(0)()

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0, 6.0, 15.0]))
    def pass_time(self, seconds: float) -> None:
        self._pass(seconds)
        for entry in self.entries:
            self._tick(entry)

    @rule(
        which=st.integers(0, KEYS - 1),
        node=st.integers(0, 30),
        progress=st.integers(0, 8),
        faults=st.tuples(st.sampled_from(FAULTS), st.sampled_from(FAULTS)),
        places=st.tuples(st.integers(0, 30), st.integers(0, 30)),
        kinds=st.tuples(st.sampled_from(KINDS), st.sampled_from(KINDS)),
        seconds=st.sampled_from([0.0, 1.0, 5.0, 30.0]),
        healed=st.booleans(),
    )
    def strike(
        self,
        which: int,
        node: int,
        progress: int,
        faults: tuple[str, str],
        places: tuple[int, int],
        kinds: tuple[str, str],
        seconds: float,
        healed: bool,
    ) -> None:
        """Let two faults strike a call at any step of its way; then it is repeated.

        Meanwhile the network copies one kind of message and delays another.
        """
        self.copied_kind, self.delayed_kind = kinds
        self.call(which, node % ENTRIES, node % AGENTS, False)
        if progress:
            self.run_smoothly(progress, finish=False)
        for fault, place in zip(faults, places):
            getattr(self, f"_{fault}")(place)
        if seconds:
            self.pass_time(seconds)
        if healed:
            self.heal()
        self.delayed_kind = ""
        self.call_everywhere(which, (node + 1) % AGENTS)
        self.run_smoothly(12, finish=healed)
        self.copied_kind = ""
        if healed:
            self.mails += self.held
            self.held = []
            self.run_smoothly(12, finish=True)
            self.call(which, (node + 1) % ENTRIES, node % AGENTS, False)
            self.run_smoothly(8, finish=True)

    @rule(
        which=st.integers(0, KEYS - 1),
        node=st.integers(0, 30),
        out=st.booleans(),
        replaced=st.booleans(),
        refreshed=st.booleans(),
    )
    def outlast_retention(
        self, which: int, node: int, out: bool, replaced: bool, refreshed: bool
    ) -> None:
        """Repeat a key that has run after its claim is gone from the log."""
        self.heal()
        self.call(which, node % ENTRIES, node % AGENTS, False)
        self.run_smoothly(12, finish=True)
        if refreshed:
            self._pass_retention(0)
        self.log.up = not out
        self._pass(RETENTION_S * 1.25)
        self.heal()
        self._restart_agent(node)
        if replaced:
            self._kill_entry(node + 1)
        if refreshed:
            self.pass_time(1.0)
        self.call(which, (node + 1) % ENTRIES, node % AGENTS, False)
        self.run_smoothly(12, finish=True)

    # The faults.

    def _kill_entry(self, place: int) -> None:
        index = place % ENTRIES
        self.entries[index].alive = False
        self.entries[index].frozen = False
        self.entries[index] = self._new_entry(self.entries[index].wall_skew_s)

    def _freeze_entry(self, place: int) -> None:
        self.entries[place % ENTRIES].frozen = True

    def _wake_entry(self, place: int) -> None:
        self.entries[place % ENTRIES].wake()

    def _restart_agent(self, place: int) -> None:
        self._new_incarnation(self.agents[place % AGENTS])

    def _freeze_agent(self, place: int) -> None:
        self.agents[place % AGENTS].frozen = True

    def _wake_agent(self, place: int) -> None:
        self.agents[place % AGENTS].wake()

    def _fill_agent(self, place: int) -> None:
        self.agents[place % AGENTS].full = True

    def _empty_agent(self, place: int) -> None:
        self.agents[place % AGENTS].full = False

    def _log_out(self, place: int) -> None:
        self.log.up = False

    def _log_back(self, place: int) -> None:
        self.log.up = True

    def _lose(self, place: int) -> None:
        if self.mails:
            self.mails.pop(place % len(self.mails))

    def _double(self, place: int) -> None:
        if self.mails:
            self.mails.append(self.mails[place % len(self.mails)])

    def _hold(self, place: int) -> None:
        if self.mails:
            self.held.append(self.mails.pop(place % len(self.mails)))

    def _hold_copy(self, place: int) -> None:
        if self.mails:
            self.held.append(self.mails[place % len(self.mails)])

    def _pass_retention(self, place: int) -> None:
        for _ in range(10 if place % 2 else 4):
            self._pass(RETENTION_S / 8)
            for entry in self.entries:
                self._read(entry)
                self._tick(entry)
            if place % 3:
                self.run_smoothly(4, finish=True)

    # How the processes act.

    def _new_entry(self, skew: float) -> Entry:
        entry_id = f"entry-{next(self.numbers)}"
        nonces = (f"{entry_id}/{number}" for number in count())
        fold = ClaimFold(self.log.first_offset)
        core = KeyedRequests(entry_id, LIMITS, fold, nonces)
        return Entry(core=core, position=self.log.first_offset, wall_skew_s=skew)

    def _new_incarnation(self, agent: Agent) -> None:
        agent.guard = KeyGuard(next(self.numbers), GUARD_LIMITS)
        agent.running = []
        agent.inbox = []
        agent.frozen = False

    def _wall(self, entry: Entry) -> float:
        return self.now + entry.wall_skew_s

    def _pass(self, seconds: float) -> None:
        self.now += seconds
        self.log.drop_before(self.now - RETENTION_S)

    def _read(self, entry: Entry) -> None:
        if entry.frozen or not entry.alive:
            return
        if not self.log.up:
            entry.core.on_log_unavailable()
            return
        if entry.position < self.log.first_offset:
            entry.position = self.log.first_offset
            entry.core.fold.skip_to(self.log.first_offset)
        entry.core.fold.forget_before(self.log.first_offset)
        start = entry.position - self.log.first_offset
        records = [
            (entry.position + index, 0, record)
            for index, (_, record) in enumerate(self.log.records[start:])
        ]
        entry.position = self.log.next_offset
        self._act(entry, entry.core.apply_records(records, self.now))

    def _tick(self, entry: Entry) -> None:
        if entry.alive and not entry.frozen:
            self._act(entry, entry.core.tick(self.now, self._wall(entry)))

    def _post(self, kind: str, node: Node, arrive: Callable[[], None]) -> None:
        self._send(Mail(kind, node.take, arrive))

    def _send(self, mail: Mail) -> None:
        if mail.kind == self.copied_kind:
            self.held.append(mail)
        to = self.held if mail.kind == self.delayed_kind else self.mails
        to.append(mail)

    def _act(self, entry: Entry, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case RequestTicket():
                    self._ask_ticket(entry, action)
                case AppendRecord():
                    self._append(entry, action)
                case SendDispatch():
                    self._dispatch(entry, action)
                case SendTombstone():
                    self._tombstone(entry, action.runner_id, action.order)
                case SendAnswer() | SendError():
                    self._tell(action)

    def _append(self, entry: Entry, action: AppendRecord) -> None:
        def arrive(append: Callable[[], None]) -> None:
            append()

        def append() -> None:
            if self.log.up:
                self.log.records.append((self.now, action.record))
                return
            self._post(
                "append_failed",
                entry,
                lambda: self._act(entry, entry.core.on_append_failed(action.record)),
            )

        self._send(Mail(_kind_of(action.record), arrive, append))

    def _agent(self, runner_id: str) -> Agent:
        return next(one for one in self.agents if one.runner_id == runner_id)

    def _ask_ticket(self, entry: Entry, action: RequestTicket) -> None:
        agent = self._agent(action.runner_id)

        def grant() -> None:
            answer = agent.guard.grant_ticket(action.key, self.now)
            ticket = answer.ok()
            self._post(
                "ticket", entry, lambda: self._granted(entry, action.request_id, ticket)
            )

        self._post("ask_ticket", agent, grant)

    def _granted(self, entry: Entry, request_id: str, ticket: KeyTicket | None) -> None:
        if ticket is None:
            self._act(entry, entry.core.on_ticket_refused(request_id))
            return
        wall = self._wall(entry)
        actions = entry.core.on_ticket_granted(request_id, ticket, self.now, wall)
        self._act(entry, actions)

    def _dispatch(self, entry: Entry, action: SendDispatch) -> None:
        agent = self._agent(action.runner_id)
        self._post("dispatch", agent, lambda: self._admit(entry, agent, action))

    def _admit(self, entry: Entry, agent: Agent, order: SendDispatch) -> None:
        busy = RefusalReason.OVERLOADED if agent.full else None
        start = StartOrder(
            order.key, order.claim_offset, order.incarnation, order.ticket_id
        )
        admitted = agent.guard.admit(start, self.now, busy)
        if admitted.is_err():
            reason = admitted.unwrap_err()
            self._post(
                "refused",
                entry,
                lambda: self._act(
                    entry, entry.core.on_dispatch_refused(order.nonce, reason, self.now)
                ),
            )
            return
        self.starts[order.key] += 1
        self.started_requests.add(order.request_id)
        agent.running.append(lambda: self._finish(entry, agent, order))

    def _finish(self, entry: Entry, agent: Agent, order: SendDispatch) -> None:
        body = _answer_to(self.calls[order.request_id])
        agent.guard.finish(order.key, 200, "text/plain", body)
        self._post(
            "ended",
            entry,
            lambda: self._act(
                entry,
                entry.core.on_attempt_ended(
                    order.nonce,
                    AttemptOutcome.DONE,
                    200,
                    "text/plain",
                    body,
                    self.now,
                ),
            ),
        )

    def _tombstone(self, entry: Entry, runner_id: str, order: StopOrder) -> None:
        agent = self._agent(runner_id)

        def ask() -> None:
            answer = agent.guard.tombstone(order, self.now)
            self._post(
                "tombstoned",
                entry,
                lambda: self._act(entry, entry.core.on_stop_answer(answer, self.now)),
            )

        self._post("tombstone", agent, ask)

    def _tell(self, action: SendAnswer | SendError) -> None:
        assert action.request_id not in self.told, "a caller was answered twice"
        self.told.add(action.request_id)
        if isinstance(action, SendAnswer):
            expected = _answer_to(self.calls[action.request_id])
            assert action.body == expected, "a caller got the answer to another request"
        if isinstance(action, SendError) and action.error.ran is Ran.NO:
            self.told_not_run.add(action.request_id)

    # The oracle.

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert all(starts <= 1 for starts in self.starts.values()), self.starts

    @invariant()
    def not_run_is_the_truth(self) -> None:
        lied = self.told_not_run & self.started_requests
        assert not lied, f"told that it was not run, but it was: {lied}"

    def teardown(self) -> None:
        if not hasattr(self, "entries"):
            return
        self.heal()
        self.mails += self.held
        for _ in range(80):
            self._pass(1.0)
            mails, self.mails = self.mails, []
            for mail in mails:
                mail.receiver(mail.arrive)
            for agent in self.agents:
                while agent.running:
                    agent.running.pop(0)()
            for entry in self.entries:
                self._read(entry)
                self._tick(entry)
        self.no_key_runs_twice()
        self.not_run_is_the_truth()
        self._check_all_is_final()

    def _check_all_is_final(self) -> None:
        for entry in self.entries:
            stuck = [state.claim for state in entry.core.fold.open_claims()]
            assert not stuck, f"claims without outcome: {stuck}"
            assert entry.core.is_idle, "a request or a record is still open"
        waiting = {
            request_id
            for request_id, entry in self.submitted.items()
            if entry.alive and request_id not in self.told
        }
        assert not waiting, f"callers without an answer: {waiting}"


def _answer_to(call: KeyedCall) -> bytes:
    return f"{call.key} {call.digest}".encode()


def _kind_of(record: AnyClaimRecord) -> str:
    kinds_by_type: dict[type, str] = {
        ClaimRecord: "claim",
        ReleaseRecord: "release",
        OutcomeRecord: "outcome",
        RememberedKeysRecord: "remembered",
    }
    return kinds_by_type[type(record)]


__all__ = ["ClaimsMachine"]
