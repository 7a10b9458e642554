"""Stateful machine: switches of a group's expert map under faults.

The oracle: in every step, all engines that started it used one map. Once the faults
stop, the group steps again, the switch under way has ended and another one succeeds.
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

from tests.machines.map_switch_world import Delays, Faults, World

if TYPE_CHECKING:
    from twisted.logger import LogEvent

    from corianderrelay.coordination.map_coordinator import MapCoordinator

_RECOVERY_S = 100.0
_PHASE_WAIT_S = 2.0
_FAULTS = [
    "kill agent",
    "restart agent",
    "freeze agent",
    "wake agents",
    "replace coordinator",
    "restart engine",
    "replace instance",
    "cut rank",
    "heal cuts",
    "lossy network",
    "late network",
    "engine answers lost",
    "log down",
    "log up",
    "log answers lost",
    "log late",
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
    """Keeps the failures of tasks that nobody waits for."""

    def __init__(self) -> None:
        self.events: list[LogEvent] = []

    def __call__(self, event: LogEvent) -> None:
        if "log_failure" in event:
            self.events.append(event)


class MapSwitchMachine(RuleBasedStateMachine):
    """Proposes maps and brings about faults, one or two at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.world: World | None = None
        self.proposals = 0
        self._task_failures = _TaskFailures()
        globalLogPublisher.addObserver(self._task_failures)  # type: ignore[arg-type]

    @initialize(
        seed=st.integers(0, 2**32 - 1),
        ranks=st.integers(3, 5),
        checking=st.sets(st.integers(0, 4)),
        founded=st.booleans(),
    )
    def build(self, seed: int, ranks: int, checking: set[int], founded: bool) -> None:
        """Start a group, with a first map in force or without."""
        self.world = World(Random(seed), ranks, checking, Delays())
        self.world.run_for(0.5)
        if founded:
            self.propose()
            self.world.run_for(1.0)

    @property
    def _world(self) -> World:
        assert self.world is not None
        return self.world

    def _coordinators(self) -> list[MapCoordinator]:
        agents = self._world.agents_of(0)
        return [agent.coordinator for agent in agents if agent.coordinator is not None]

    @rule()
    def propose(self) -> None:
        """Propose another map to every coordinator that lives, old ones as well."""
        self.proposals += 1
        for agent in self._world.agents_of(0):
            if agent.coordinator is not None and not agent.frozen:
                digest = f"map-{self.proposals}-{agent.number}"
                agent.coordinator.propose(GroupMap(0, digest, b"placement"))

    @rule(milliseconds=st.sampled_from([1, 3, 10, 30, 100, 300, 1500]))
    def run(self, milliseconds: int) -> None:
        """Let some time pass."""
        self._world.run_for(milliseconds / 1000)

    @rule()
    def calm(self) -> None:
        """End all faults and let the group come to rest."""
        self._end_faults()
        self._world.run_for(1.5)

    @rule(
        calm=st.booleans(),
        before=st.sampled_from(_FAULTS),
        phase=st.sampled_from(_PHASES),
        first=st.sampled_from(_FAULTS),
        ranks=st.tuples(st.integers(0, 4), st.integers(0, 4)),
    )
    def fault_in_phase(
        self, calm: bool, before: str, phase: Phase, first: str, ranks: tuple[int, int]
    ) -> None:
        """Run until a coordinator is in ``phase``, then bring about a second fault."""
        if calm:
            self.calm()
        self.propose()
        self._run_to(Phase.STAGING)
        self.fault(before, ranks[0])
        self._run_to(phase)
        self.fault(first, ranks[1])
        self._world.run_for(0.3)

    @rule(rank=st.integers(0, 4), late=st.integers(0, 4))
    def replace_armed_rank(self, rank: int, late: int) -> None:
        """Replace the instance of a rank that holds while another does not yet."""
        self.calm()
        self.propose()
        self._run_to(Phase.ARMING)
        self.fault("cut rank", late)
        self._world.run_for(0.02)
        self.fault("replace instance", rank)
        self.fault("heal cuts", late)
        self._world.run_for(0.5)

    @rule(rank=st.integers(0, 4), milliseconds=st.integers(0, 80))
    def restart_engine_after_decision(self, rank: int, milliseconds: int) -> None:
        """Restart an engine between the decision and its step."""
        self.calm()
        self.propose()
        self._run_to(Phase.SETTLING)
        self._world.run_for(milliseconds / 1000)
        self.fault("restart engine", rank)
        self._world.run_for(0.5)

    def _run_to(self, phase: Phase) -> None:
        world = self._world
        end = world.now + _PHASE_WAIT_S
        while world.now < end and not any(
            coordinator.switch.phase is phase for coordinator in self._coordinators()
        ):
            world.run_for(0.001)

    @rule(kind=st.sampled_from(_FAULTS), rank=st.integers(0, 4))
    def fault(self, kind: str, rank: int) -> None:
        """Bring about a fault or end one."""
        world = self._world
        rank %= world.ranks
        faults = world.faults
        agents = world.agents_of(rank)
        match kind:
            case "kill agent":
                for agent in agents[-1:]:
                    agent.alive = False
            case "restart agent":
                for agent in agents:
                    agent.alive = False
                world.start_agent(rank)
            case "freeze agent":
                for agent in agents[-1:]:
                    agent.frozen = True
            case "wake agents":
                for agent in world.agents:
                    agent.wake()
            case "replace coordinator":
                for agent in world.agents_of(0)[:-1]:
                    agent.alive = False
                for agent in world.agents_of(0):
                    agent.frozen = True
                world.start_agent(0)
            case "restart engine":
                world.engines[rank].restart()
            case "replace instance":
                for agent in agents:
                    agent.alive = False
                world.engines[rank].restart()
                world.start_agent(rank)
            case "cut rank":
                faults.cut_ranks.add(rank)
            case "heal cuts":
                faults.cut_ranks.clear()
            case "lossy network":
                faults.loss, faults.double = 0.2, 0.2
            case "late network":
                faults.late = 0.2
            case "engine answers lost":
                faults.engine_answer_lost = 0.1
            case "log down" | "log up":
                faults.log_up = kind == "log up"
            case "log answers lost":
                faults.log_answer_lost = 0.5
            case "log late":
                faults.log_late = 0.5

    @rule(
        first=st.sampled_from(_FAULTS),
        second=st.sampled_from(_FAULTS),
        ranks=st.tuples(st.integers(0, 4), st.integers(0, 4)),
        gap_ms=st.sampled_from([0, 1, 5, 20]),
    )
    def two_faults(
        self, first: str, second: str, ranks: tuple[int, int], gap_ms: int
    ) -> None:
        """Bring about two faults within a few milliseconds."""
        self.fault(first, ranks[0])
        self._world.run_for(gap_ms / 1000)
        self.fault(second, ranks[1])

    @precondition(lambda self: self.world is not None)
    @invariant()
    def one_map_a_step(self) -> None:
        """No step was started with two maps."""
        mixed = self._world.mixed_by_step
        assert not mixed, f"steps with several maps: {mixed}"

    def teardown(self) -> None:
        """End all faults; the group must step and switch again."""
        globalLogPublisher.removeObserver(self._task_failures)  # type: ignore[arg-type]
        if self.world is None:
            return
        self._end_faults()
        self._recover()
        self.one_map_a_step()
        assert not self._task_failures.events, self._task_failures.events[0]

    def _end_faults(self) -> None:
        world = self._world
        world.faults = Faults()
        for agent in world.agents:
            agent.wake()
        for rank in range(world.ranks):
            if not world.agents_of(rank):
                world.start_agent(rank)

    def _recover(self) -> None:
        world = self._world
        end = world.now + _RECOVERY_S
        wanted = f"after-{self.proposals}"
        while world.now < end:
            world.run_for(0.1)
            for coordinator in self._coordinators():
                if wanted not in self._digests_in_force():
                    coordinator.propose(GroupMap(0, wanted, b"placement"))
            if world.last_digests == {wanted}:
                return
        raise AssertionError(f"the group does not switch again: {self._picture()}")

    def _digests_in_force(self) -> set[str]:
        engines = self._world.engines
        return {str(engine.digest_for(engine.next_step)) for engine in engines}

    def _picture(self) -> str:
        world = self._world
        coordinators = [
            (agent.number, agent.coordinator.switch.phase.value)
            for agent in world.agents_of(0)
            if agent.coordinator is not None
        ]
        ranks = [
            (agent.rank, agent.number, agent.map_rank.switch.joined)
            for agent in world.agents
            if agent.alive and not agent.map_rank.switch.superseded
        ]
        engines = [engine.status() for engine in world.engines]
        return f"step {world.group_step}, {coordinators}, {ranks}, {engines}"


__all__ = ["MapSwitchMachine"]
