"""Tests draining an entry, whose callers use cached entry lists, and an agent."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from corianderrelay.state.drain import Drain, StopProcess

_TTL_S = 15.0
_LIST_LAG_S = 5.0
_DEADLINE_S = 600.0


@dataclass
class _Agent:
    drain: Drain
    running: int = 0
    stopped: StopProcess | None = None


class DrainMachine(RuleBasedStateMachine):
    """Drains one entry and one agent in any order while the list of entries lags."""

    @initialize()
    def start(self) -> None:
        """Start without open requests."""
        self.now = 0.0
        self.entry = Drain(_TTL_S + _LIST_LAG_S, _DEADLINE_S)
        self.entry_drain_started_at: float | None = None
        self.stopped: StopProcess | None = None
        self.agent = _Agent(Drain(0.0, _DEADLINE_S))
        self.list_times: list[float] = []
        self.open_at_entry = 0

    @rule(elapsed_s=st.sampled_from([0.1, 1.0, 5.0, 15.0, 100.0]))
    def time_passes(self, elapsed_s: float) -> None:
        """Advance the clock; both processes check whether they may exit."""
        self.now += elapsed_s
        if self.stopped is None:
            self._handle_entry_exit(self.entry.check_exit(self.open_at_entry, self.now))
        if self.agent.stopped is None:
            self._handle_agent_exit(
                self.agent.drain.check_exit(self.agent.running, self.now)
            )

    def _handle_entry_exit(self, stopped: StopProcess | None) -> None:
        if stopped is not None:
            _check_aborted_count(stopped, self.open_at_entry)
            self.stopped = stopped
            self.open_at_entry = self.agent.running = 0

    def _handle_agent_exit(self, stopped: StopProcess | None) -> None:
        if stopped is not None:
            _check_aborted_count(stopped, self.agent.running)
            self.agent.stopped = stopped
            self.agent.running = 0

    @rule()
    def caller_lists_from_entry(self) -> None:
        """A caller gets a list from the entry, which is in it until it drains."""
        if self.stopped is None and not self.entry.begun:
            self.list_times.append(self.now)

    @rule()
    def caller_lists_from_another_entry(self) -> None:
        """A caller gets a list from another entry, which still includes this entry."""
        drain_started_at = self.entry_drain_started_at
        if drain_started_at is None or self.now < drain_started_at + _LIST_LAG_S:
            self.list_times.append(self.now)

    @rule(index=st.integers(0, 20))
    def caller_connects(self, index: int) -> None:
        """A caller connects to the entry if one of the lists is still valid."""
        self.list_times = [at for at in self.list_times if self.now < at + _TTL_S]
        if self.list_times:
            forced = self.stopped is not None and self.stopped.reason != "drained"
            assert self.stopped is None or forced, "a valid list named a closed port"
            self.open_at_entry += self.stopped is None

    @rule()
    def entry_dispatches(self) -> None:
        """The entry sends a request to the agent, which refuses it while draining."""
        if self.open_at_entry > self.agent.running and not self.agent.drain.begun:
            self.agent.running += 1

    @rule()
    def request_ends(self) -> None:
        """Complete one request at the agent."""
        if self.agent.running and self.agent.stopped is None:
            self.agent.running -= 1
            self.open_at_entry -= 1

    @rule()
    def entry_receives_signal(self) -> None:
        """Send the entry a stop signal."""
        if self.stopped is None:
            order = self.entry.on_signal("SIGTERM", self.open_at_entry, self.now)
            if self.entry_drain_started_at is None:
                self.entry_drain_started_at = self.now
            self._handle_entry_exit(order if isinstance(order, StopProcess) else None)

    @rule()
    def agent_receives_signal(self) -> None:
        """Send the agent a stop signal."""
        if self.agent.stopped is None:
            running = self.agent.running
            order = self.agent.drain.on_signal("SIGTERM", running, self.now)
            self._handle_agent_exit(order if isinstance(order, StopProcess) else None)


def _check_aborted_count(stopped: StopProcess, open_requests: int) -> None:
    """Check that aborted requests are counted and a completed drain aborts none."""
    assert stopped.cut_off == open_requests, stopped
    assert not open_requests or stopped.reason != "drained", stopped


__all__ = ["DrainMachine"]
