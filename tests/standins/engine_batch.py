"""Pure core of the engine stand-in: continuous batching, priorities, faults, records.

One step gives each running call one token. Calls wait by priority, then by arrival.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Any

from tests.standins.engine_model import model_answer, prompt_of


@dataclass(slots=True)
class EngineFaults:
    """What is wrong with the engine just now.

    :param stalled: no step is made.
    :param slow_factor: the step time is multiplied by it.
    """

    stalled: bool = False
    slow_factor: float = 1.0


@dataclass(slots=True)
class Execution:
    """One call that the engine took, for the oracle."""

    number: int
    request_id: str
    prompt: str
    resumed_from: int
    emitted: int = 0
    state: str = "queued"


@dataclass(slots=True)
class Call:
    """A chat call and the tokens that it still has to give.

    :param prefill_steps: steps that its prompt still takes before the first token.
    """

    execution: Execution
    priority: int
    tokens: list[str]
    prefill_steps: int = 0

    @property
    def remaining(self) -> int:
        """How many tokens are still to come."""
        return len(self.tokens) - self.execution.emitted


@dataclass(slots=True)
class Emission:
    """A token that a step gave to a call; ``None`` when the call has ended."""

    call: Call
    token: str | None


@dataclass(slots=True)
class EngineBatch:
    """The calls of one engine.

    :param slots: how many calls run at once.
    """

    slots: int
    step_s: float
    faults: EngineFaults = field(default_factory=EngineFaults)
    queued: list[Call] = field(default_factory=list)
    running: list[Call] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    steps: int = 0

    def submit(
        self,
        request_id: str,
        priority: int,
        body: dict[str, Any],
        prefill_steps: int = 0,
    ) -> Call:
        """Queue a chat call and record it."""
        resume_from = int(body.get("resume_from", 0))
        execution = Execution(
            len(self.executions), request_id, prompt_of(body), resume_from
        )
        tokens = model_answer(body)[resume_from:]
        call = Call(execution, priority, tokens, prefill_steps)
        self.executions.append(execution)
        self.queued.append(call)
        return call

    def cancel(self, call: Call) -> None:
        """Take a call out, wherever it is."""
        self.queued = [other for other in self.queued if other is not call]
        self.running = [other for other in self.running if other is not call]
        if call.execution.state != "done":
            call.execution.state = "cancelled"

    def step(self) -> list[Emission]:
        """Admit waiting calls to free slots and give each running call a token."""
        if self.faults.stalled:
            return []
        self._admit()
        self.steps += 1
        emissions = list(itertools.chain.from_iterable(map(_advance, self.running)))
        self.running = [
            call for call in self.running if call.execution.state == "running"
        ]
        return emissions

    @property
    def step_time_s(self) -> float:
        """How long a step takes just now, in seconds."""
        return self.step_s * self.faults.slow_factor

    @property
    def idle(self) -> bool:
        """Whether there is nothing to step for."""
        return not self.queued and not self.running

    def load(self) -> dict[str, float]:
        """Return the load as the engine reports it."""
        queued_tokens = sum(call.remaining for call in self.queued + self.running)
        return {
            "running": len(self.running),
            "queued": len(self.queued),
            "queued_tokens": queued_tokens,
            "tokens_per_s": len(self.running) / self.step_time_s,
        }

    def _admit(self) -> None:
        self.queued.sort(key=lambda call: (-call.priority, call.execution.number))
        free = max(0, self.slots - len(self.running))
        admitted, self.queued = self.queued[:free], self.queued[free:]
        for call in admitted:
            call.execution.state = "running"
        self.running += admitted


def _advance(call: Call) -> list[Emission]:
    execution = call.execution
    if call.prefill_steps:
        call.prefill_steps -= 1
        return []
    if not call.remaining:
        execution.state = "done"
        return [Emission(call, None)]
    token = call.tokens[execution.emitted]
    execution.emitted += 1
    if call.remaining:
        return [Emission(call, token)]
    execution.state = "done"
    return [Emission(call, token), Emission(call, None)]


__all__ = ["Call", "Emission", "EngineBatch", "EngineFaults", "Execution"]
