"""Tests membership with packets that are delayed, lost, duplicated and reordered."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from corianderrelay.state.members import (
    Connect,
    DropStream,
    ListedInstance,
    MemberOrder,
    Members,
    SendHeartbeat,
)

_LEAVING_BOUND_S = 3.0
_AGENTS = st.sampled_from(["runner-0", "runner-1", "runner-2"])


@dataclass
class _Agent:
    incarnation: int = 1
    leaving_since: float | None = None
    received_sequence: int = 0
    sequence: int = 0
    silent_streams: set[int] = field(default_factory=set)


@dataclass
class _Packet:
    agent_id: str
    stream_id: int
    incarnation: int
    sequence: int
    echo: int = 0
    leaving: bool = False
    to_agent: bool = False


class MembersMachine(RuleBasedStateMachine):
    """One observer tracks three agents with faulty packets and a stale list."""

    @initialize()
    def start(self) -> None:
        """Seed the observer with all agents."""
        self.now = 0.0
        self.next_stream = 0
        self.members = Members()
        self.agents = {f"runner-{i}": _Agent() for i in range(3)}
        self.packets: list[_Packet] = []
        self._seed(False)

    def _seed(self, leaving: bool) -> None:
        rows = [
            ListedInstance(agent_id, "127.0.0.1", 1, "zone-a", leaving)
            for agent_id in self.agents
        ]
        self.members.seed(rows, self.now)

    def _execute(self, order: MemberOrder) -> None:
        agent = self.agents[order.instance_id]
        match order:
            case Connect():
                self.next_stream += 1
                self.members.stream_opened(
                    order.instance_id, self.next_stream, agent.incarnation, self.now
                )
            case DropStream():
                agent.silent_streams.discard(order.stream_id)
            case SendHeartbeat():
                self.packets.append(
                    _Packet(
                        order.instance_id,
                        order.stream_id,
                        agent.incarnation,
                        order.sequence,
                        to_agent=True,
                    )
                )

    def _deliver(self, packet: _Packet) -> None:
        agent = self.agents[packet.agent_id]
        if packet.stream_id in agent.silent_streams:
            return
        if not packet.to_agent:
            self.members.heartbeat_received(
                packet.agent_id,
                packet.stream_id,
                packet.sequence,
                packet.echo,
                packet.leaving,
                self.now,
            )
        elif packet.incarnation == agent.incarnation:
            agent.received_sequence = max(agent.received_sequence, packet.sequence)
            self._agent_heartbeat(packet.agent_id, packet.stream_id)

    def _agent_heartbeat(self, agent_id: str, stream_id: int) -> None:
        agent = self.agents[agent_id]
        agent.sequence += 1
        self.packets.append(
            _Packet(
                agent_id,
                stream_id,
                agent.incarnation,
                agent.sequence,
                echo=agent.received_sequence,
                leaving=agent.leaving_since is not None,
            )
        )

    @rule(elapsed_s=st.sampled_from([0.1, 0.5, 1.0, 2.9]))
    def time_passes(self, elapsed_s: float) -> None:
        """Advance the clock and carry out the observer's orders."""
        self.now += elapsed_s
        for order in self.members.tick(self.now):
            self._execute(order)

    @rule(index=st.integers(0, 50), keep=st.booleans())
    def packet_arrives(self, index: int, keep: bool) -> None:
        """Deliver one packet in flight; with ``keep`` it may be delivered again."""
        if self.packets:
            packet = self.packets[index % len(self.packets)]
            if not keep:
                self.packets.remove(packet)
            self._deliver(packet)

    @rule()
    def all_packets_arrive(self) -> None:
        """Deliver the packets in flight in order, so that exchanges complete."""
        for packet in list(self.packets):
            self.packets.remove(packet)
            self._deliver(packet)

    @rule(agent_id=_AGENTS, late_s=st.sampled_from([1.0, 2.0, 2.9]))
    def last_heartbeat_is_late(self, agent_id: str, late_s: float) -> None:
        """Begin to leave while earlier heartbeats without ``leaving`` are in flight."""
        late = [p for p in self.packets if p.agent_id == agent_id and not p.to_agent]
        self.agent_leaves(agent_id, False)
        self.time_passes(late_s)
        for packet in late:
            self._deliver(packet)

    @rule(index=st.integers(0, 50))
    def packet_is_lost(self, index: int) -> None:
        """Drop one packet."""
        if self.packets:
            del self.packets[index % len(self.packets)]

    @rule(agent_id=_AGENTS, notified=st.booleans())
    def agent_leaves(self, agent_id: str, notified: bool) -> None:
        """Begin to leave; the leaving message arrives only if ``notified``."""
        agent = self.agents[agent_id]
        if agent.leaving_since is None:
            agent.leaving_since = self.now
        if notified:
            self.members.leaving_received(agent_id, agent.incarnation)

    @rule(agent_id=_AGENTS)
    def agent_restarts(self, agent_id: str) -> None:
        """Restart the agent as a new incarnation and close its stream."""
        agent = self.agents[agent_id]
        agent.incarnation += 1
        agent.leaving_since = None
        agent.received_sequence = 0
        member = self.members.member(agent_id)
        assert member is not None, "a listed member expired"
        self.members.stream_closed(agent_id, member.stream_id, self.now)

    @rule(agent_id=_AGENTS)
    def stream_goes_silent(self, agent_id: str) -> None:
        """Discard all later packets on the agent's current stream."""
        member = self.members.member(agent_id)
        if member is not None and member.stream_id is not None:
            self.agents[agent_id].silent_streams.add(member.stream_id)

    @rule(leaving=st.booleans())
    def stale_list_arrives(self, leaving: bool) -> None:
        """Deliver a list with the same ``leaving`` flag for all agents."""
        self._seed(leaving)

    @rule()
    def faults_stop(self) -> None:
        """After 6 s without faults, exactly the agents that do not leave are usable."""
        self.packets.clear()
        for _ in range(12):
            self.time_passes(0.5)
            self.all_packets_arrive()
            self.all_packets_arrive()
        alive = {
            agent_id
            for agent_id, agent in self.agents.items()
            if agent.leaving_since is None
        }
        assert set(self.members.usable(self.now)) == alive

    @invariant()
    def leaving_gets_no_work(self) -> None:
        """No agent is usable 3 s or more after it began to leave."""
        for agent_id in self.members.usable(self.now):
            since = self.agents[agent_id].leaving_since
            assert since is None or self.now < since + _LEAVING_BOUND_S, agent_id


__all__ = ["MembersMachine"]
