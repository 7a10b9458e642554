"""Drain of an entry under callers who keep old lists, and of an agent under entries."""

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
    """One entry and one agent leave, in any order; the list of entries lags."""

    @initialize()
    def start(self) -> None:
        """Start with nothing open."""
        self.now = 0.0
        self.entry = Drain(_TTL_S + _LIST_LAG_S, _DEADLINE_S)
        self.entry_left_at: float | None = None
        self.stopped: StopProcess | None = None
        self.agent = _Agent(Drain(0.0, _DEADLINE_S))
        self.lists: list[float] = []
        self.open = 0

    @rule(elapsed_s=st.sampled_from([0.1, 1.0, 5.0, 15.0, 100.0]))
    def time_passes(self, elapsed_s: float) -> None:
        """Advance the clock; both processes look whether they may exit."""
        self.now += elapsed_s
        if self.stopped is None:
            self._entry_stops(self.entry.check(self.open, self.now))
        if self.agent.stopped is None:
            self._agent_stops(self.agent.drain.check(self.agent.running, self.now))

    def _entry_stops(self, stopped: StopProcess | None) -> None:
        if stopped is not None:
            _check_reported(stopped, self.open)
            self.stopped = stopped
            self.open = self.agent.running = 0

    def _agent_stops(self, stopped: StopProcess | None) -> None:
        if stopped is not None:
            _check_reported(stopped, self.agent.running)
            self.agent.stopped = stopped
            self.agent.running = 0

    @rule()
    def caller_asks_the_entry(self) -> None:
        """The entry names itself only while it is not leaving."""
        if self.stopped is None and not self.entry.begun:
            self.lists.append(self.now)

    @rule()
    def caller_asks_another(self) -> None:
        """Another entry names it until the platform's list shows that it leaves."""
        left_at = self.entry_left_at
        if left_at is None or self.now < left_at + _LIST_LAG_S:
            self.lists.append(self.now)

    @rule(index=st.integers(0, 20))
    def caller_connects(self, index: int) -> None:
        """A caller uses a list that is still valid."""
        self.lists = [at for at in self.lists if self.now < at + _TTL_S]
        if self.lists:
            in_haste = self.stopped is not None and self.stopped.reason != "drained"
            assert self.stopped is None or in_haste, "a caller met a closed port"
            self.open += self.stopped is None

    @rule()
    def entry_dispatches(self) -> None:
        """The entry sends a request to the agent, which refuses it while it leaves."""
        if self.open > self.agent.running and not self.agent.drain.begun:
            self.agent.running += 1

    @rule()
    def request_ends(self) -> None:
        """A request ends."""
        if self.agent.running and self.agent.stopped is None:
            self.agent.running -= 1
            self.open -= 1

    @rule()
    def entry_gets_a_signal(self) -> None:
        """Tell the entry to leave."""
        if self.stopped is None:
            order = self.entry.on_signal("SIGTERM", self.open, self.now)
            if self.entry_left_at is None:
                self.entry_left_at = self.now
            self._entry_stops(order if isinstance(order, StopProcess) else None)

    @rule()
    def agent_gets_a_signal(self) -> None:
        """Tell the agent to leave."""
        if self.agent.stopped is None:
            running = self.agent.running
            order = self.agent.drain.on_signal("SIGTERM", running, self.now)
            self._agent_stops(order if isinstance(order, StopProcess) else None)


def _check_reported(stopped: StopProcess, open_requests: int) -> None:
    """Whatever is cut off is reported, and only haste cuts anything off."""
    assert stopped.cut_off == open_requests, stopped
    assert not open_requests or stopped.reason != "drained", stopped


__all__ = ["DrainMachine"]
