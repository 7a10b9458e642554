"""Simulation of a group in virtual time: lock-step engines, agents, network and log."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from twisted.internet.defer import Deferred

from corianderrelay.coordination.group_agent import GroupAgent
from corianderrelay.coordination.group_log import GroupLog
from corianderrelay.coordination.log_client import LogEntry, LogPage
from corianderrelay.coordination.map_coordinator import CoordinatorPeriods
from corianderrelay.coordination.map_rank import RankPeriods
from corianderrelay.protocol.group_messages import (
    decode_switch_message,
    encode_switch_message,
)
from corianderrelay.state.errors import (
    FencedError,
    LogAnswerLostError,
    LogUnavailableError,
    UnavailableError,
)
from corianderrelay.state.switch_participant import RankRules
from corianderrelay.state.switch_rules import SwitchReport, SwitchRules
from corianderrelay.state.switch_types import (
    EngineMapStatus,
    HoldOrder,
    ReleaseOrder,
    StageOrder,
    SwitchOrder,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from corianderrelay.state.switch_types import AnySwitchMessage, MapOrder

_T = TypeVar("_T")


@dataclass(slots=True)
class Faults:
    """The faults that are injected now; probabilities are per message or call."""

    loss_probability: float = 0.0
    duplication_probability: float = 0.0
    late_probability: float = 0.0
    engine_answer_loss_probability: float = 0.0
    log_available: bool = True
    log_answer_loss_probability: float = 0.0
    late_append_probability: float = 0.0
    partitioned_ranks: set[int] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Delays:
    """Delays of the simulated platform, in seconds.

    :param late_s: maximum delay of a late message or engine order.
    :param load_s: time in which an engine loads the weights of a map.
    :param blocked_poll_s: interval at which a blocked step is tried again.
    """

    message_s: float = 0.002
    order_s: float = 0.001
    log_s: float = 0.005
    load_s: float = 0.1
    step_s: float = 0.02
    blocked_poll_s: float = 0.02
    late_s: float = 2.0


class GroupSimulation:
    """Event loop in virtual time with the engines, agents, network and log of a group.

    :param fencing_ranks: ranks whose engine checks fencing numbers.
    """

    def __init__(
        self,
        random: Random,
        ranks: int,
        fencing_ranks: set[int],
        delays: Delays,
        rules: SwitchRules | None = None,
    ) -> None:
        self.rules = rules or SwitchRules()
        self.random = random
        self.delays = delays
        self.faults = Faults()
        self.now = 0.0
        self.ranks = ranks
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()
        self.nonces = itertools.count()
        self.log = SimulatedLog(self)
        self.engines = [
            SimulatedEngine(self, r, r in fencing_ranks) for r in range(ranks)
        ]
        self.group_step = 0
        self.last_step_digests: set[str] = set()
        self.digests_by_mixed_step: dict[int, set[str]] = {}
        self._digest_by_rank: dict[int, str] = {}
        self.started_s_by_step: dict[int, float] = {}
        self.agents: list[SimulatedAgent] = []
        self._incarnations = itertools.count(1)
        self.messages = 0
        self.message_bytes = 0
        for rank in range(ranks):
            self.start_agent(rank)
        self.call_later(delays.step_s, self._step)

    @property
    def current_step_digests(self) -> set[str]:
        """The maps with which engines have started the group's current step."""
        return set(self._digest_by_rank.values())

    def record_step_start(self, rank: int, digest: str) -> None:
        """Record that the engine of a rank has started the group's step."""
        self._digest_by_rank[rank] = digest
        if len(self.current_step_digests) > 1:
            self.digests_by_mixed_step[self.group_step] = self.current_step_digests

    def discard_step_start(self, rank: int) -> None:
        """Discard the step start of an engine that restarts during the step.

        The restarted engine starts the same step again, because no other rank can
        complete the step without it.
        """
        self._digest_by_rank.pop(rank, None)

    def call_later(self, delay_s: float, call: Callable[[], object]) -> None:
        """Call ``call`` after ``delay_s``."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence), call))

    def run_for(self, duration_s: float) -> None:
        """Run the events of the next ``duration_s`` of virtual time."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def start_agent(self, rank: int) -> SimulatedAgent:
        """Start an agent beside the engine of ``rank``."""
        agent = SimulatedAgent(self, rank, next(self._incarnations))
        self.agents.append(agent)
        agent.start()
        return agent

    def agents_of(self, rank: int) -> list[SimulatedAgent]:
        """Return the agents of a rank that are alive, newest last."""
        return [agent for agent in self.agents if agent.rank == rank and agent.alive]

    def send(
        self, sender: SimulatedAgent, rank: int, message: AnySwitchMessage
    ) -> None:
        """Deliver a message, subject to the current faults."""
        body = encode_switch_message(message)
        self.messages += 1
        self.message_bytes += len(body)
        if rank == sender.rank:
            self.call_later(0.0, lambda: sender.receive(sender.rank, body))
            return
        copies = 2 if self.fault_occurs(self.faults.duplication_probability) else 1
        for _ in range(copies):
            if not self.fault_occurs(self.faults.loss_probability):
                delay_s = self.random_delay_s(
                    self.delays.message_s, self.faults.late_probability
                )
                self.call_later(delay_s, lambda: self._deliver(sender.rank, rank, body))

    def _deliver(self, source: int, target: int, body: bytes) -> None:
        if {source, target} & self.faults.partitioned_ranks:
            return
        for agent in self.agents_of(target):
            agent.receive(source, body)

    def fault_occurs(self, probability: float) -> bool:
        """Decide at random whether a fault occurs."""
        return probability > 0.0 and self.random.random() < probability

    def random_delay_s(self, usual_s: float, late_probability: float) -> float:
        """Return a random delay.

        :param usual_s: mean of a usual delay.
        :param late_probability: probability of a delay of up to ``late_s``.
        """
        if self.fault_occurs(late_probability):
            return self.random.uniform(usual_s, self.delays.late_s)
        return self.random.uniform(0.5 * usual_s, 1.5 * usual_s)

    def _step(self) -> None:
        for engine in self.engines:
            engine.try_step()
        if all(engine.next_step > self.group_step for engine in self.engines):
            self.started_s_by_step[self.group_step] = self.now
            self.group_step += 1
            self.last_step_digests = self.current_step_digests
            self._digest_by_rank.clear()
            self.call_later(self.delays.step_s, self._step)
        else:
            self.call_later(self.delays.blocked_poll_s, self._step)


class SimulatedEngine:
    """An engine of the group; it starts a step only if it has a map and no hold."""

    def __init__(
        self, simulation: GroupSimulation, rank: int, checks_fencing: bool
    ) -> None:
        self._simulation = simulation
        self.rank = rank
        self.checks_fencing = checks_fencing
        self.incarnation = 0
        self.next_step = 0
        self._fence = -1
        self._held_steps: set[int] = set()
        self._staged_digests: list[str] = []
        self._digest_by_step: dict[int, str] = {}

    def restart(self) -> None:
        """Restart without state; the next step is the group's current one."""
        self.incarnation += 1
        self.next_step = self._simulation.group_step
        self._simulation.discard_step_start(self.rank)
        self._fence = -1
        self._held_steps = set()
        self._staged_digests = []
        self._digest_by_step = {}

    def digest_for(self, step: int) -> str | None:
        """Return the digest of the map ordered for a step, ``None`` without one."""
        start_steps = [start for start in self._digest_by_step if start <= step]
        return self._digest_by_step[max(start_steps)] if start_steps else None

    def try_step(self) -> None:
        """Start the group's step unless the engine has no map or holds before it."""
        step = self._simulation.group_step
        digest = self.digest_for(step)
        if self.next_step != step or digest is None:
            return
        if step in self._held_steps:
            return
        self._simulation.record_step_start(self.rank, digest)
        self.next_step = step + 1

    def status(self) -> EngineMapStatus:
        """Return the status that the engine reports."""
        return EngineMapStatus(
            self.incarnation,
            self.next_step,
            frozenset(self._held_steps),
            frozenset(self._staged_digests) | set(self._digest_by_step.values()),
            dict(self._digest_by_step),
        )

    def apply_order(self, order: MapOrder, fence: int) -> None:
        """Apply an order.

        :raises FencedError: the engine checks fencing and has seen a higher number.
        """
        if self.checks_fencing and fence < self._fence:
            raise FencedError("the fencing number is outdated", "read the log")
        self._fence = max(self._fence, fence)
        match order:
            case StageOrder():
                self._stage(order.group_map.digest)
            case HoldOrder() if order.step >= self.next_step:
                self._held_steps.add(order.step)
            case ReleaseOrder():
                self._held_steps.discard(order.step)
            case SwitchOrder():
                self._switch(order)

    def _stage(self, digest: str) -> None:
        incarnation = self.incarnation

        def mark_staged() -> None:
            if self.incarnation == incarnation and digest not in self._staged_digests:
                self._staged_digests = [*self._staged_digests[-1:], digest]

        self._simulation.call_later(self._simulation.delays.load_s, mark_staged)

    def _switch(self, order: SwitchOrder) -> None:
        already_started = order.step < self.next_step and self.digest_for(
            self.next_step
        )
        if already_started or order.digest not in self.status().staged_digests:
            return
        self._digest_by_step[order.step] = order.digest
        self._held_steps.discard(order.step)


class SimulatedLog:
    """A simulated log service with the records of one stream."""

    def __init__(self, simulation: GroupSimulation) -> None:
        self._simulation = simulation
        self.payloads: list[bytes] = []
        self.appends = 0

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append a record, subject to the log faults.

        The append fails, loses its answer, or takes effect late.
        """
        simulation = self._simulation
        answer: Deferred[int] = Deferred()

        def execute() -> None:
            if not simulation.faults.log_available:
                self._fail_as_unavailable(answer)
            elif simulation.fault_occurs(simulation.faults.late_append_probability):
                self._fail_as_answer_lost(answer)
                simulation.call_later(
                    simulation.random.uniform(0.0, 3.0), lambda: self._store(payload)
                )
            else:
                offset = self._store(payload)
                if simulation.fault_occurs(
                    simulation.faults.log_answer_loss_probability
                ):
                    self._fail_as_answer_lost(answer)
                else:
                    self._call_later(lambda: answer.callback(offset))

        self._call_later(execute)
        return answer

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read from ``offset`` to the end; fail while the log is unavailable."""
        answer: Deferred[LogPage] = Deferred()

        def execute() -> None:
            if not self._simulation.faults.log_available:
                self._fail_as_unavailable(answer)
                return
            entries = tuple(
                LogEntry(position, payload)
                for position, payload in enumerate(self.payloads)
                if position >= offset
            )
            page = LogPage(0, len(self.payloads), entries)
            self._call_later(lambda: answer.callback(page))

        self._call_later(execute)
        return answer

    def _store(self, payload: bytes) -> int:
        self.appends += 1
        self.payloads.append(payload)
        return len(self.payloads) - 1

    def _call_later(self, call: Callable[[], object]) -> None:
        self._simulation.call_later(
            self._simulation.random_delay_s(self._simulation.delays.log_s, 0.0), call
        )

    def _fail_as_unavailable(self, answer: Deferred[int] | Deferred[LogPage]) -> None:
        error = LogUnavailableError("the log is unavailable", "wait")
        self._call_later(lambda: answer.errback(error))

    def _fail_as_answer_lost(self, answer: Deferred[int]) -> None:
        error = LogAnswerLostError("the answer to the append was lost", "read the log")
        self._call_later(lambda: answer.errback(error))


class SimulatedAgent:
    """A simulated agent process, which serves as its own link, clock and clients."""

    def __init__(
        self, simulation: GroupSimulation, rank: int, incarnation: int
    ) -> None:
        self.simulation = simulation
        self.rank = rank
        self.number = incarnation
        self.alive = True
        self.frozen = False
        self.reports: list[SwitchReport] = []
        self._deferred_calls: list[Callable[[], object]] = []
        log = GroupLog(self, "kits", lambda: str(next(simulation.nonces)))
        self.group_agent = GroupAgent(
            "kits", rank, simulation.ranks, f"agent-{incarnation}", incarnation,
            log, self, self, self, self,
            simulation.rules, RankRules(), CoordinatorPeriods(), RankPeriods(),
        )  # fmt: skip
        self.coordinator = self.group_agent.coordinator
        self.map_rank = self.group_agent.map_rank

    def start(self) -> None:
        """Start the agent."""
        self.group_agent.start()

    def run_in_process(self, call: Callable[[], object]) -> None:
        """Run ``call`` now, or after a freeze ends, or never if the process is dead."""
        if self.alive and self.frozen:
            self._deferred_calls.append(call)
        elif self.alive:
            call()

    def resume(self) -> None:
        """Resume after a freeze and run the deferred calls."""
        self.frozen = False
        waiting, self._deferred_calls = self._deferred_calls, []
        for call in waiting:
            self.run_in_process(call)

    def receive(self, source: int, body: bytes) -> None:
        """Handle a message from the network."""
        self.run_in_process(
            lambda: self.group_agent.on_message(source, decode_switch_message(body))
        )

    def on_switch(self, report: SwitchReport) -> None:
        """Record the report."""
        self.reports.append(report)

    # Methods of the link, clock, log client and engine client that the agent uses.

    def send(self, rank: int, message: AnySwitchMessage) -> None:
        """Send a message through the simulated network."""
        self.simulation.send(self, rank, message)

    def seconds(self) -> float:
        """Return the virtual time."""
        return self.simulation.now

    def callLater(self, delay: float, call: Callable[[], object]) -> None:
        """Schedule ``call`` to run in this process."""
        self.simulation.call_later(delay, lambda: self.run_in_process(call))

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append to the simulated log."""
        return self._answer_in_process(self.simulation.log.append(stream, payload))

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read the simulated log."""
        return self._answer_in_process(self.simulation.log.read(stream, offset, wait_s))

    def map_status(self) -> Deferred[EngineMapStatus]:
        """Read the engine's status."""
        return self._call_engine(lambda engine: engine.status())

    def order_map(self, order: MapOrder, fence: int) -> Deferred[EngineMapStatus]:
        """Send an order to the engine; it arrives even if this process has died."""

        def apply_order(engine: SimulatedEngine) -> EngineMapStatus:
            engine.apply_order(order, fence)
            return engine.status()

        return self._call_engine(apply_order)

    def _call_engine(
        self, handle: Callable[[SimulatedEngine], EngineMapStatus]
    ) -> Deferred[EngineMapStatus]:
        simulation = self.simulation
        answer: Deferred[EngineMapStatus] = Deferred()
        lost = simulation.fault_occurs(simulation.faults.engine_answer_loss_probability)
        unavailable = UnavailableError(
            "the engine did not answer", "query the engine again"
        )

        def arrive() -> None:
            try:
                status = handle(simulation.engines[self.rank])
            except FencedError as error:
                rejection = error
                deliver(lambda: answer.errback(rejection))
            else:
                deliver(lambda: answer.callback(status))

        def deliver(call: Callable[[], object]) -> None:
            if not lost:
                simulation.call_later(simulation.delays.order_s, call)

        late_probability = 1.0 if lost else simulation.faults.late_probability
        simulation.call_later(
            simulation.random_delay_s(simulation.delays.order_s, late_probability),
            arrive,
        )
        if lost:
            simulation.call_later(
                simulation.delays.order_s, lambda: answer.errback(unavailable)
            )
        return self._answer_in_process(answer)

    def _answer_in_process(self, answer: Deferred[_T]) -> Deferred[_T]:
        """Return a deferred that fires with the answer in this process."""
        delivered: Deferred[_T] = Deferred()
        answer.addCallbacks(
            lambda result: self.run_in_process(lambda: delivered.callback(result)),
            lambda failure: self.run_in_process(lambda: delivered.errback(failure)),
        )
        return delivered


__all__ = ["SimulatedAgent", "Delays", "Faults", "GroupSimulation"]
