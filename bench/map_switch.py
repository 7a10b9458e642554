"""Measures the cost of switching a group's expert map, in virtual time.

Held time is the total delay of the group's step starts that the switch causes. The
baseline holds the group at a step, loads the weights and resumes, with the same
message delays. Processor time is that of rank 0's agent, which runs the coordinator
and its own rank. ``flat`` sends each message directly to each rank. ``tree`` sends it
to the first rank of each block, which forwards it and collects the block's reports.

Run with ``python -m bench.map_switch``.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from corianderrelay.protocol.group_messages import encode_switch_message
from corianderrelay.state.switch_rules import SwitchRules
from corianderrelay.state.switch_types import (
    GroupMap,
    HoldOrder,
    StageOrder,
    SwitchOrder,
)

from tests.machines.map_switch_simulation import Delays, GroupSimulation, SimulatedAgent

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.state.switch_types import AnySwitchMessage

_SEED = 1
_RANKS = (8, 64, 256)
_LEAD_STEPS = (2, 8)
_SWITCHES = 4
_LOAD_S = 2.0
_BODY_BYTES = 1024
_BLOCK_RANKS = 16
_DELAYS = Delays(
    message_s=0.002,
    order_s=0.001,
    log_s=0.010,
    load_s=_LOAD_S,
    step_s=0.02,
    blocked_poll_s=0.0005,
)


class TreeSimulation(GroupSimulation):
    """Routes the messages of rank 0 through the first rank of each block.

    A bundle counts as one message on each hop. Reports from a block that are sent
    within one message delay share a bundle.
    """

    def __init__(self, ranks: int, rules: SwitchRules) -> None:
        self._bundles_from_rank_0: dict[int, list[Callable[[], None]]] = {}
        self._bundles_to_rank_0: dict[int, list[Callable[[], None]]] = {}
        super().__init__(Random(_SEED), ranks, set(), _DELAYS, rules)

    def send(
        self, sender: SimulatedAgent, rank: int, message: AnySwitchMessage
    ) -> None:
        """Send a message through the tree, or directly if the tree does not apply."""
        other = rank if sender.rank == 0 else sender.rank
        if rank == sender.rank or 0 not in (rank, sender.rank) or other < _BLOCK_RANKS:
            super().send(sender, rank, message)
            return
        body = encode_switch_message(message)
        bundles = (
            self._bundles_from_rank_0 if sender.rank == 0 else self._bundles_to_rank_0
        )
        block_head = other - other % _BLOCK_RANKS
        if block_head not in bundles:
            bundles[block_head] = []
            self.messages += 1
            self.message_bytes += len(body)
            wait_s = 0.0 if sender.rank == 0 else self.delays.message_s
            self.call_later(
                wait_s, lambda: self._deliver_bundle(bundles.pop(block_head))
            )
        bundles[block_head].append(lambda: self._deliver(sender.rank, rank, body))

    def _deliver_bundle(self, bundle: list[Callable[[], None]]) -> None:
        hop_s = 2 * self.random_delay_s(self.delays.message_s, 0.0)
        self.call_later(hop_s, lambda: [deliver() for deliver in bundle])


@dataclass(slots=True)
class CpuMeter:
    """Accumulates the processor time of one agent, in seconds."""

    cpu_s: float = 0.0

    def attach(self, agent: SimulatedAgent) -> None:
        """Measure all further calls of the agent."""
        run_in_process = agent.run_in_process

        def timed(call: Callable[[], object]) -> None:
            started_s = time.process_time()
            run_in_process(call)
            self.cpu_s += time.process_time() - started_s

        agent.run_in_process = timed  # type: ignore[method-assign]


@dataclass(slots=True, frozen=True)
class SwitchCost:
    """Mean cost of one switch; ``committed`` counts all committed switches."""

    held_ms: float
    held_steps: float
    messages: float
    kilobytes: float
    cpu_ms: float
    committed: int


def measure_switch(simulation: GroupSimulation) -> SwitchCost:
    """Run several switches and return the mean cost of one."""
    agent = simulation.agents[0]
    assert agent.coordinator is not None
    simulation.run_for(1.0)
    agent.coordinator.propose(GroupMap(0, "first", b"\0" * _BODY_BYTES))
    simulation.run_for(_LOAD_S + 2.0)
    simulation.messages, simulation.message_bytes = 0, 0
    agent.reports.clear()
    meter = CpuMeter()
    meter.attach(agent)
    idle_s = _idle_cpu_s(simulation, meter)
    first_step = simulation.group_step
    for number in range(_SWITCHES):
        group_map = GroupMap(0, f"map-{number}", b"\0" * _BODY_BYTES)
        agent.coordinator.propose(group_map)
        simulation.run_for(_LOAD_S + 2.0)
    held_s = sum(
        _step_delay_s(simulation, step)
        for step in range(first_step, simulation.group_step)
    )
    return SwitchCost(
        held_ms=1000 * held_s / _SWITCHES,
        held_steps=held_s / _DELAYS.step_s / _SWITCHES,
        messages=simulation.messages / _SWITCHES,
        kilobytes=simulation.message_bytes / 1024 / _SWITCHES,
        cpu_ms=1000 * (meter.cpu_s - 2 * idle_s * _SWITCHES) / _SWITCHES,
        committed=sum(report.committed for report in agent.reports),
    )


def _idle_cpu_s(simulation: GroupSimulation, meter: CpuMeter) -> float:
    """Return the processor time that half of a switch's period takes while idle."""
    simulation.run_for((_LOAD_S + 2.0) / 2)
    idle_s, meter.cpu_s = meter.cpu_s, 0.0
    return idle_s


def _step_delay_s(simulation: GroupSimulation, step: int) -> float:
    started = simulation.started_s_by_step
    return max(0.0, started[step] - started[step - 1] - _DELAYS.step_s)


def baseline_held_s(ranks: int) -> float:
    """Return how long a stop, load and restart holds the group, in seconds."""
    simulation = GroupSimulation(Random(_SEED), ranks, set(), _DELAYS)
    agent = simulation.agents[0]
    assert agent.coordinator is not None
    simulation.run_for(1.0)
    agent.coordinator.propose(GroupMap(0, "first"))
    simulation.run_for(_LOAD_S + 2.0)
    for each in simulation.agents:
        each.alive = False
    step = simulation.group_step + 2
    group_map = GroupMap(2, "second")
    loaded_ranks: list[int] = []

    def stop(rank: int) -> None:
        simulation.engines[rank].apply_order(HoldOrder(step), 1)
        simulation.engines[rank].apply_order(StageOrder(group_map), 1)
        simulation.call_later(
            _LOAD_S + _draw_message_and_order_delay_s(simulation),
            lambda: on_loaded(rank),
        )

    def on_loaded(rank: int) -> None:
        loaded_ranks.append(rank)
        if len(loaded_ranks) == ranks:
            for each in range(ranks):
                simulation.call_later(
                    _draw_message_and_order_delay_s(simulation), partial(start, each)
                )

    def start(rank: int) -> None:
        simulation.engines[rank].apply_order(SwitchOrder(step, group_map.digest), 1)

    for rank in range(ranks):
        simulation.call_later(
            _draw_message_and_order_delay_s(simulation), partial(stop, rank)
        )
    simulation.run_for(_LOAD_S + 2.0)
    return _step_delay_s(simulation, step)


def _draw_message_and_order_delay_s(simulation: GroupSimulation) -> float:
    message_s = simulation.random_delay_s(simulation.delays.message_s, 0.0)
    return message_s + simulation.random_delay_s(simulation.delays.order_s, 0.0)


def main() -> None:
    """Print the table of costs."""
    print(
        f"message {_DELAYS.message_s * 1000:g} ms, "
        f"order {_DELAYS.order_s * 1000:g} ms, "
        f"log {_DELAYS.log_s * 1000:g} ms each way, "
        f"step {_DELAYS.step_s * 1000:g} ms, "
        f"load {_LOAD_S:g} s, map {_BODY_BYTES} bytes, seed {_SEED}, "
        f"{_SWITCHES} switches each"
    )
    print(
        "ranks topo lead held_ms held_steps baseline_ms ratio msgs KiB cpu_ms commits"
    )
    for ranks in _RANKS:
        baseline_ms = 1000 * baseline_held_s(ranks)
        for lead in _LEAD_STEPS:
            rules = SwitchRules(lead_steps=lead)
            flat = GroupSimulation(Random(_SEED), ranks, set(), _DELAYS, rules)
            _print_row(ranks, "flat", lead, measure_switch(flat), baseline_ms)
            if ranks > _BLOCK_RANKS:
                tree = measure_switch(TreeSimulation(ranks, rules))
                _print_row(ranks, "tree", lead, tree, baseline_ms)


def _print_row(
    ranks: int, topology: str, lead: int, cost: SwitchCost, baseline_ms: float
) -> None:
    print(
        f"{ranks:5} {topology:4} {lead:4} {cost.held_ms:7.1f} {cost.held_steps:10.2f} "
        f"{baseline_ms:11.1f} {cost.held_ms / baseline_ms:5.3f} "
        f"{cost.messages:5.0f} {cost.kilobytes:5.0f} {cost.cpu_ms:6.1f} "
        f"{cost.committed}/{_SWITCHES}"
    )


if __name__ == "__main__":
    main()
