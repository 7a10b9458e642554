"""Stateful test of the switches of a group's expert map under faults.

All engines that start a step must start it with the same map. Once all faults have
ended, the group must continue to step, the current switch must end, and a further
switch must succeed.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from twisted.logger import ILogObserver, globalLogPublisher
from zope.interface import implementer

from corianderrelay.state.switch_rules import Phase
from corianderrelay.state.switch_types import GroupMap

from tests.machines.map_switch_simulation import Delays, Faults, GroupSimulation

if TYPE_CHECKING:
    from twisted.logger import LogEvent

    from corianderrelay.coordination.map_coordinator import MapCoordinator

_RECOVERY_TIMEOUT_S = 100.0
_PHASE_TIMEOUT_S = 2.0
_FAULT_KINDS = [
    "kill agent",
    "restart agent",
    "freeze agent",
    "resume agents",
    "replace coordinator",
    "restart engine",
    "replace instance",
    "partition rank",
    "heal partitions",
    "lossy network",
    "network delays",
    "engine answers lost",
    "log unavailable",
    "log available",
    "log answers lost",
    "log appends delayed",
]
_PHASES = [
    Phase.STAGING,
    Phase.BEGINNING,
    Phase.ARMING,
    Phase.DECIDING,
    Phase.SETTLING,
]


@implementer(ILogObserver)
class _TaskFailures:
    """Log observer that collects the failures of background tasks."""

    def __init__(self) -> None:
        self.events: list[LogEvent] = []

    def __call__(self, event: LogEvent) -> None:
        if "log_failure" in event:
            self.events.append(event)


class MapSwitchMachine(RuleBasedStateMachine):
    """Proposes maps and injects faults, one or two at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation: GroupSimulation | None = None
        self.proposals = 0
        self._task_failures = _TaskFailures()
        globalLogPublisher.addObserver(self._task_failures)  # type: ignore[arg-type]

    @initialize(
        seed=st.integers(0, 2**32 - 1),
        ranks=st.integers(3, 5),
        fencing_ranks=st.sets(st.integers(0, 4)),
        with_first_map=st.booleans(),
    )
    def build(
        self, seed: int, ranks: int, fencing_ranks: set[int], with_first_map: bool
    ) -> None:
        """Start a group, with or without a first map."""
        self.simulation = GroupSimulation(Random(seed), ranks, fencing_ranks, Delays())
        self.simulation.run_for(0.5)
        if with_first_map:
            self.propose_map()
            self.simulation.run_for(1.0)

    @property
    def _simulation(self) -> GroupSimulation:
        assert self.simulation is not None
        return self.simulation

    def _coordinators(self) -> list[MapCoordinator]:
        agents = self._simulation.agents_of(0)
        return [agent.coordinator for agent in agents if agent.coordinator is not None]

    @rule()
    def propose_map(self) -> None:
        """Propose a new map to every running coordinator, including superseded ones."""
        self.proposals += 1
        for agent in self._simulation.agents_of(0):
            if agent.coordinator is not None and not agent.frozen:
                digest = f"map-{self.proposals}-{agent.number}"
                agent.coordinator.propose(GroupMap(0, digest, b"placement"))

    @rule(milliseconds=st.sampled_from([1, 3, 10, 30, 100, 300, 1500]))
    def run(self, milliseconds: int) -> None:
        """Run the simulation for some virtual time."""
        self._simulation.run_for(milliseconds / 1000)

    @rule()
    def clear_faults(self) -> None:
        """End all faults and give the group time to recover."""
        self._end_faults()
        self._simulation.run_for(1.5)

    @rule(
        clear_faults=st.booleans(),
        initial_fault=st.sampled_from(_FAULT_KINDS),
        phase=st.sampled_from(_PHASES),
        second_fault=st.sampled_from(_FAULT_KINDS),
        ranks=st.tuples(st.integers(0, 4), st.integers(0, 4)),
    )
    def fault_in_phase(
        self,
        clear_faults: bool,
        initial_fault: str,
        phase: Phase,
        second_fault: str,
        ranks: tuple[int, int],
    ) -> None:
        """Inject a fault during staging and a second one when ``phase`` is reached."""
        if clear_faults:
            self.clear_faults()
        self.propose_map()
        self._run_to(Phase.STAGING)
        self.fault(initial_fault, ranks[0])
        self._run_to(phase)
        self.fault(second_fault, ranks[1])
        self._simulation.run_for(0.3)

    @rule(rank=st.integers(0, 4), late_rank=st.integers(0, 4))
    def replace_armed_rank(self, rank: int, late_rank: int) -> None:
        """Replace the instance of an armed rank while another rank is not armed yet."""
        self.clear_faults()
        self.propose_map()
        self._run_to(Phase.ARMING)
        self.fault("partition rank", late_rank)
        self._simulation.run_for(0.02)
        self.fault("replace instance", rank)
        self.fault("heal partitions", late_rank)
        self._simulation.run_for(0.5)

    @rule(rank=st.integers(0, 4), milliseconds=st.integers(0, 80))
    def restart_engine_after_decision(self, rank: int, milliseconds: int) -> None:
        """Restart an engine between the decision and the switch step."""
        self.clear_faults()
        self.propose_map()
        self._run_to(Phase.SETTLING)
        self._simulation.run_for(milliseconds / 1000)
        self.fault("restart engine", rank)
        self._simulation.run_for(0.5)

    def _run_to(self, phase: Phase) -> None:
        simulation = self._simulation
        end = simulation.now + _PHASE_TIMEOUT_S
        while simulation.now < end and not any(
            coordinator.switch.phase is phase for coordinator in self._coordinators()
        ):
            simulation.run_for(0.001)

    @rule(kind=st.sampled_from(_FAULT_KINDS), rank=st.integers(0, 4))
    def fault(self, kind: str, rank: int) -> None:
        """Inject a fault, or end one for a kind that ends faults."""
        simulation = self._simulation
        rank %= simulation.ranks
        faults = simulation.faults
        agents = simulation.agents_of(rank)
        match kind:
            case "kill agent":
                for agent in agents[-1:]:
                    agent.alive = False
            case "restart agent":
                for agent in agents:
                    agent.alive = False
                simulation.start_agent(rank)
            case "freeze agent":
                for agent in agents[-1:]:
                    agent.frozen = True
            case "resume agents":
                for agent in simulation.agents:
                    agent.resume()
            case "replace coordinator":
                for agent in simulation.agents_of(0)[:-1]:
                    agent.alive = False
                for agent in simulation.agents_of(0):
                    agent.frozen = True
                simulation.start_agent(0)
            case "restart engine":
                simulation.engines[rank].restart()
            case "replace instance":
                for agent in agents:
                    agent.alive = False
                simulation.engines[rank].restart()
                simulation.start_agent(rank)
            case "partition rank":
                faults.partitioned_ranks.add(rank)
            case "heal partitions":
                faults.partitioned_ranks.clear()
            case "lossy network":
                faults.loss_probability, faults.duplication_probability = 0.2, 0.2
            case "network delays":
                faults.late_probability = 0.2
            case "engine answers lost":
                faults.engine_answer_loss_probability = 0.1
            case "log unavailable" | "log available":
                faults.log_available = kind == "log available"
            case "log answers lost":
                faults.log_answer_loss_probability = 0.5
            case "log appends delayed":
                faults.late_append_probability = 0.5

    @rule(
        first=st.sampled_from(_FAULT_KINDS),
        second=st.sampled_from(_FAULT_KINDS),
        ranks=st.tuples(st.integers(0, 4), st.integers(0, 4)),
        gap_ms=st.sampled_from([0, 1, 5, 20]),
    )
    def two_faults(
        self, first: str, second: str, ranks: tuple[int, int], gap_ms: int
    ) -> None:
        """Inject two faults within a few milliseconds."""
        self.fault(first, ranks[0])
        self._simulation.run_for(gap_ms / 1000)
        self.fault(second, ranks[1])

    @precondition(lambda self: self.simulation is not None)
    @invariant()
    def one_map_per_step(self) -> None:
        """Check that no step was started with two maps."""
        mixed = self._simulation.digests_by_mixed_step
        assert not mixed, f"steps started with several maps: {mixed}"

    def teardown(self) -> None:
        """End all faults; check that the group steps and that a switch succeeds."""
        globalLogPublisher.removeObserver(self._task_failures)  # type: ignore[arg-type]
        if self.simulation is None:
            return
        self._end_faults()
        self._recover()
        self.one_map_per_step()
        assert not self._task_failures.events, self._task_failures.events[0]

    def _end_faults(self) -> None:
        simulation = self._simulation
        simulation.faults = Faults()
        for agent in simulation.agents:
            agent.resume()
        for rank in range(simulation.ranks):
            if not simulation.agents_of(rank):
                simulation.start_agent(rank)

    def _recover(self) -> None:
        simulation = self._simulation
        end = simulation.now + _RECOVERY_TIMEOUT_S
        target_digest = f"after-{self.proposals}"
        while simulation.now < end:
            simulation.run_for(0.1)
            for coordinator in self._coordinators():
                if target_digest not in self._current_digests():
                    coordinator.propose(GroupMap(0, target_digest, b"placement"))
            if simulation.last_step_digests == {target_digest}:
                return
        raise AssertionError(
            f"no switch succeeds after all faults have ended: {self._describe_state()}"
        )

    def _current_digests(self) -> set[str]:
        engines = self._simulation.engines
        return {str(engine.digest_for(engine.next_step)) for engine in engines}

    def _describe_state(self) -> str:
        simulation = self._simulation
        coordinators = [
            (agent.number, agent.coordinator.switch.phase.value)
            for agent in simulation.agents_of(0)
            if agent.coordinator is not None
        ]
        ranks = [
            (agent.rank, agent.number, agent.map_rank.switch.joined)
            for agent in simulation.agents
            if agent.alive and not agent.map_rank.switch.superseded
        ]
        engines = [engine.status() for engine in simulation.engines]
        return f"step {simulation.group_step}, {coordinators}, {ranks}, {engines}"


__all__ = ["MapSwitchMachine"]
