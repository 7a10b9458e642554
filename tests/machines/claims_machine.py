"""Tests keyed requests, which must run at most once, under pairs of faults.

Entries and agents run the production state machines; the log, the network and the clock
are simulated. The oracle counts the starts of each key and records each caller's
answer. It catches a key that runs twice, a caller that is wrongly answered "not run",
and claims or callers that are left without an outcome.
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
from corianderrelay.state.claim_messages import StartOrder
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

    from corianderrelay.state.claim_messages import KeyTicket, TombstoneRequest
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
    "request_ticket",
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
    "resume_entry",
    "restart_agent",
    "freeze_agent",
    "resume_agent",
    "fill_agent",
    "empty_agent",
    "stop_log",
    "restore_log",
    "drop_message",
    "duplicate_message",
    "delay_message",
    "delay_copy",
    "pass_retention",
)


@dataclass(slots=True)
class Message:
    """A message in flight; ``on_arrival`` runs when the receiver processes it."""

    kind: str
    receiver: Any
    on_arrival: Callable[[], None]


@dataclass(slots=True)
class Node:
    """A process that can be killed or frozen; while frozen, it queues messages."""

    alive: bool = True
    frozen: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)

    def receive(self, on_arrival: Callable[[], None]) -> None:
        if self.frozen:
            self.inbox.append(on_arrival)
        elif self.alive:
            on_arrival()

    def resume(self) -> None:
        self.frozen = False
        while self.inbox and self.alive:
            self.inbox.pop(0)()


@dataclass(slots=True)
class Entry(Node):
    """An entry process with its read position in the log."""

    requests: KeyedRequests = None  # type: ignore[assignment]
    position: int = 0
    wall_skew_s: float = 0.0


@dataclass(slots=True)
class Agent(Node):
    """An agent process; ``running`` holds a callback that ends each running request."""

    runner_id: str = ""
    guard: KeyGuard = None  # type: ignore[assignment]
    full: bool = False
    running: list[Callable[[], None]] = field(default_factory=list)


@dataclass(slots=True)
class Log:
    """One claims stream with retention; ``records`` holds (time, record) pairs."""

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
    """Callers reuse keys at all entries while up to two faults occur at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.log = Log()
        self.messages: list[Message] = []
        self.delayed: list[Message] = []
        self.duplicated_kind = ""
        self.delayed_kind = ""
        self.unique_numbers = count(1)
        self.keys: list[tuple[str, float | None]] = []
        self.starts: Counter[str] = Counter()
        self.started_requests: set[str] = set()
        self.answered_not_run: set[str] = set()
        self.submitted: dict[str, Entry] = {}
        self.calls: dict[str, KeyedCall] = {}
        self.answered: set[str] = set()

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

    # Callers.

    @rule(dated=st.booleans())
    def make_key(self, dated: bool) -> None:
        name = f"key-{next(self.unique_numbers)}"
        self.keys.append((name, self.now if dated else None))
        self.keys = self.keys[-KEYS:]

    @rule(
        key_index=st.integers(0, KEYS - 1),
        entry=st.integers(0, ENTRIES - 1),
        agent=st.integers(0, AGENTS - 1),
        other_body=st.sampled_from([False, False, False, True]),
    )
    def call(self, key_index: int, entry: int, agent: int, other_body: bool) -> None:
        name, dated_s = self.keys[key_index % len(self.keys)]
        node = self.entries[entry]
        call = KeyedCall(
            request_id=f"request-{next(self.unique_numbers)}",
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
        node.receive(lambda: self._submit(node, call))

    @rule(key_index=st.integers(0, KEYS - 1), agent=st.integers(0, AGENTS - 1))
    def call_at_all_entries(self, key_index: int, agent: int) -> None:
        for entry in range(ENTRIES):
            self.call(key_index, entry, agent, False)

    def _submit(self, node: Entry, call: KeyedCall) -> None:
        self._execute(
            node, node.requests.submit(call, self.now, self._wall_clock(node))
        )

    # Message delivery and time.

    @rule(choice=st.integers(0, 30))
    def deliver(self, choice: int) -> None:
        if self.messages:
            message = self.messages.pop(choice % len(self.messages))
            message.receiver(message.on_arrival)

    @rule(choice=st.integers(0, 30))
    def deliver_delayed(self, choice: int) -> None:
        if self.delayed:
            message = self.delayed.pop(choice % len(self.delayed))
            message.receiver(message.on_arrival)

    @rule(steps=st.integers(1, 20), finish=st.booleans())
    def run_without_faults(self, steps: int, finish: bool) -> None:
        for _ in range(steps):
            if self.messages:
                message = self.messages.pop(0)
                message.receiver(message.on_arrival)
            for entry in self.entries:
                self._read(entry)
            for agent in self.agents if finish else ():
                self._finish_oldest(agent)

    @rule()
    def recover(self) -> None:
        self.log.up = True
        for node in (*self.entries, *self.agents):
            node.resume()
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
        self._advance_time(seconds)
        for entry in self.entries:
            self._tick(entry)

    @rule(
        key_index=st.integers(0, KEYS - 1),
        node=st.integers(0, 30),
        progress=st.integers(0, 8),
        faults=st.tuples(st.sampled_from(FAULTS), st.sampled_from(FAULTS)),
        choices=st.tuples(st.integers(0, 30), st.integers(0, 30)),
        kinds=st.tuples(st.sampled_from(KINDS), st.sampled_from(KINDS)),
        seconds=st.sampled_from([0.0, 1.0, 5.0, 30.0]),
        recovered=st.booleans(),
    )
    def inject_two_faults(
        self,
        key_index: int,
        node: int,
        progress: int,
        faults: tuple[str, str],
        choices: tuple[int, int],
        kinds: tuple[str, str],
        seconds: float,
        recovered: bool,
    ) -> None:
        """Inject two faults while a call is at any step, then call at all entries.

        Meanwhile the network duplicates one kind of message and delays another.
        """
        self.duplicated_kind, self.delayed_kind = kinds
        self.call(key_index, node % ENTRIES, node % AGENTS, False)
        if progress:
            self.run_without_faults(progress, finish=False)
        for fault, choice in zip(faults, choices):
            getattr(self, f"_{fault}")(choice)
        if seconds:
            self.pass_time(seconds)
        if recovered:
            self.recover()
        self.delayed_kind = ""
        self.call_at_all_entries(key_index, (node + 1) % AGENTS)
        self.run_without_faults(12, finish=recovered)
        self.duplicated_kind = ""
        if recovered:
            self.messages += self.delayed
            self.delayed = []
            self.run_without_faults(12, finish=True)
            self.call(key_index, (node + 1) % ENTRIES, node % AGENTS, False)
            self.run_without_faults(8, finish=True)

    @rule(
        key_index=st.integers(0, KEYS - 1),
        node=st.integers(0, 30),
        log_down=st.booleans(),
        entry_replaced=st.booleans(),
        refreshed=st.booleans(),
    )
    def reuse_key_after_retention(
        self,
        key_index: int,
        node: int,
        log_down: bool,
        entry_replaced: bool,
        refreshed: bool,
    ) -> None:
        """Reuse a key that has run, after retention dropped its claim from the log."""
        self.recover()
        self.call(key_index, node % ENTRIES, node % AGENTS, False)
        self.run_without_faults(12, finish=True)
        if refreshed:
            self._pass_retention(0)
        self.log.up = not log_down
        self._advance_time(RETENTION_S * 1.25)
        self.recover()
        self._restart_agent(node)
        if entry_replaced:
            self._kill_entry(node + 1)
        if refreshed:
            self.pass_time(1.0)
        self.call(key_index, (node + 1) % ENTRIES, node % AGENTS, False)
        self.run_without_faults(12, finish=True)

    # Faults; each name in FAULTS is a method name without the underscore.

    def _kill_entry(self, choice: int) -> None:
        index = choice % ENTRIES
        self.entries[index].alive = False
        self.entries[index].frozen = False
        self.entries[index] = self._new_entry(self.entries[index].wall_skew_s)

    def _freeze_entry(self, choice: int) -> None:
        self.entries[choice % ENTRIES].frozen = True

    def _resume_entry(self, choice: int) -> None:
        self.entries[choice % ENTRIES].resume()

    def _restart_agent(self, choice: int) -> None:
        self._new_incarnation(self.agents[choice % AGENTS])

    def _freeze_agent(self, choice: int) -> None:
        self.agents[choice % AGENTS].frozen = True

    def _resume_agent(self, choice: int) -> None:
        self.agents[choice % AGENTS].resume()

    def _fill_agent(self, choice: int) -> None:
        self.agents[choice % AGENTS].full = True

    def _empty_agent(self, choice: int) -> None:
        self.agents[choice % AGENTS].full = False

    def _stop_log(self, choice: int) -> None:
        self.log.up = False

    def _restore_log(self, choice: int) -> None:
        self.log.up = True

    def _drop_message(self, choice: int) -> None:
        if self.messages:
            self.messages.pop(choice % len(self.messages))

    def _duplicate_message(self, choice: int) -> None:
        if self.messages:
            self.messages.append(self.messages[choice % len(self.messages)])

    def _delay_message(self, choice: int) -> None:
        if self.messages:
            self.delayed.append(self.messages.pop(choice % len(self.messages)))

    def _delay_copy(self, choice: int) -> None:
        if self.messages:
            self.delayed.append(self.messages[choice % len(self.messages)])

    def _pass_retention(self, choice: int) -> None:
        for _ in range(10 if choice % 2 else 4):
            self._advance_time(RETENTION_S / 8)
            for entry in self.entries:
                self._read(entry)
                self._tick(entry)
            if choice % 3:
                self.run_without_faults(4, finish=True)

    # Simulated processes and network.

    def _new_entry(self, skew: float) -> Entry:
        entry_id = f"entry-{next(self.unique_numbers)}"
        nonces = (f"{entry_id}/{number}" for number in count())
        fold = ClaimFold(self.log.first_offset)
        requests = KeyedRequests(entry_id, LIMITS, fold, nonces)
        return Entry(
            requests=requests, position=self.log.first_offset, wall_skew_s=skew
        )

    def _new_incarnation(self, agent: Agent) -> None:
        agent.guard = KeyGuard(next(self.unique_numbers), GUARD_LIMITS)
        agent.running = []
        agent.inbox = []
        agent.frozen = False

    def _wall_clock(self, entry: Entry) -> float:
        return self.now + entry.wall_skew_s

    def _advance_time(self, seconds: float) -> None:
        self.now += seconds
        self.log.drop_before(self.now - RETENTION_S)

    def _read(self, entry: Entry) -> None:
        if entry.frozen or not entry.alive:
            return
        if not self.log.up:
            entry.requests.on_log_unavailable()
            return
        if entry.position < self.log.first_offset:
            entry.position = self.log.first_offset
            entry.requests.fold.skip_to(self.log.first_offset)
        entry.requests.fold.evict_before(self.log.first_offset)
        start = entry.position - self.log.first_offset
        records = [
            (entry.position + index, 0, record)
            for index, (_, record) in enumerate(self.log.records[start:])
        ]
        entry.position = self.log.next_offset
        self._execute(entry, entry.requests.apply_records(records, self.now))

    def _tick(self, entry: Entry) -> None:
        if entry.alive and not entry.frozen:
            self._execute(entry, entry.requests.tick(self.now, self._wall_clock(entry)))

    def _post(self, kind: str, node: Node, on_arrival: Callable[[], None]) -> None:
        self._send(Message(kind, node.receive, on_arrival))

    def _send(self, message: Message) -> None:
        if message.kind == self.duplicated_kind:
            self.delayed.append(message)
        queue = self.delayed if message.kind == self.delayed_kind else self.messages
        queue.append(message)

    def _execute(self, entry: Entry, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case RequestTicket():
                    self._request_ticket(entry, action)
                case AppendRecord():
                    self._append(entry, action)
                case SendDispatch():
                    self._dispatch(entry, action)
                case SendTombstone():
                    self._tombstone(entry, action.runner_id, action.order)
                case SendAnswer() | SendError():
                    self._answer_caller(action)

    def _append(self, entry: Entry, action: AppendRecord) -> None:
        def on_arrival(append: Callable[[], None]) -> None:
            append()

        def append() -> None:
            if self.log.up:
                self.log.records.append((self.now, action.record))
                return
            self._post(
                "append_failed",
                entry,
                lambda: self._execute(
                    entry, entry.requests.on_append_failed(action.record)
                ),
            )

        self._send(Message(_message_kind(action.record), on_arrival, append))

    def _agent(self, runner_id: str) -> Agent:
        return next(
            candidate for candidate in self.agents if candidate.runner_id == runner_id
        )

    def _request_ticket(self, entry: Entry, action: RequestTicket) -> None:
        agent = self._agent(action.runner_id)

        def grant() -> None:
            answer = agent.guard.grant_ticket(action.key, self.now)
            ticket = answer.ok()
            self._post(
                "ticket",
                entry,
                lambda: self._on_ticket_reply(entry, action.request_id, ticket),
            )

        self._post("request_ticket", agent, grant)

    def _on_ticket_reply(
        self, entry: Entry, request_id: str, ticket: KeyTicket | None
    ) -> None:
        if ticket is None:
            self._execute(entry, entry.requests.on_ticket_refused(request_id))
            return
        wall = self._wall_clock(entry)
        actions = entry.requests.on_ticket_granted(request_id, ticket, self.now, wall)
        self._execute(entry, actions)

    def _dispatch(self, entry: Entry, action: SendDispatch) -> None:
        agent = self._agent(action.runner_id)
        self._post("dispatch", agent, lambda: self._admit(entry, agent, action))

    def _admit(self, entry: Entry, agent: Agent, order: SendDispatch) -> None:
        refusal = RefusalReason.OVERLOADED if agent.full else None
        start = StartOrder(
            order.key, order.claim_offset, order.incarnation, order.ticket_id
        )
        admitted = agent.guard.admit(start, self.now, refusal)
        if admitted.is_err():
            reason = admitted.unwrap_err()
            self._post(
                "refused",
                entry,
                lambda: self._execute(
                    entry,
                    entry.requests.on_dispatch_refused(order.nonce, reason, self.now),
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
            lambda: self._execute(
                entry,
                entry.requests.on_attempt_ended(
                    order.nonce,
                    AttemptOutcome.DONE,
                    200,
                    "text/plain",
                    body,
                    self.now,
                ),
            ),
        )

    def _tombstone(self, entry: Entry, runner_id: str, order: TombstoneRequest) -> None:
        agent = self._agent(runner_id)

        def place_tombstone() -> None:
            answer = agent.guard.tombstone(order, self.now)
            self._post(
                "tombstoned",
                entry,
                lambda: self._execute(
                    entry, entry.requests.on_tombstone_reply(answer, self.now)
                ),
            )

        self._post("tombstone", agent, place_tombstone)

    def _answer_caller(self, action: SendAnswer | SendError) -> None:
        assert action.request_id not in self.answered, "a caller was answered twice"
        self.answered.add(action.request_id)
        if isinstance(action, SendAnswer):
            expected = _answer_to(self.calls[action.request_id])
            assert action.body == expected, "a caller got the answer of another request"
        if isinstance(action, SendError) and action.error.ran is Ran.NO:
            self.answered_not_run.add(action.request_id)

    # The oracle.

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert all(starts <= 1 for starts in self.starts.values()), self.starts

    @invariant()
    def not_run_answers_are_true(self) -> None:
        wrong = self.answered_not_run & self.started_requests
        assert (
            not wrong
        ), f"answered as not run, but these requests were started: {wrong}"

    def teardown(self) -> None:
        if not hasattr(self, "entries"):
            return
        self.recover()
        self.messages += self.delayed
        for _ in range(80):
            self._advance_time(1.0)
            messages, self.messages = self.messages, []
            for message in messages:
                message.receiver(message.on_arrival)
            for agent in self.agents:
                while agent.running:
                    agent.running.pop(0)()
            for entry in self.entries:
                self._read(entry)
                self._tick(entry)
        self.no_key_runs_twice()
        self.not_run_answers_are_true()
        self._check_nothing_is_open()

    def _check_nothing_is_open(self) -> None:
        for entry in self.entries:
            stuck = [state.claim for state in entry.requests.fold.open_claims()]
            assert not stuck, f"claims without an outcome: {stuck}"
            assert (
                entry.requests.is_idle
            ), "the entry still has an open request or record"
        waiting = {
            request_id
            for request_id, entry in self.submitted.items()
            if entry.alive and request_id not in self.answered
        }
        assert not waiting, f"callers without an answer: {waiting}"


def _answer_to(call: KeyedCall) -> bytes:
    return f"{call.key} {call.digest}".encode()


def _message_kind(record: AnyClaimRecord) -> str:
    kinds_by_type: dict[type, str] = {
        ClaimRecord: "claim",
        ReleaseRecord: "release",
        OutcomeRecord: "outcome",
        RememberedKeysRecord: "remembered",
    }
    return kinds_by_type[type(record)]


__all__ = ["ClaimsMachine"]
