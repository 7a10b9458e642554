"""State machine test of request attempts with failing runners and a faulty network.

Frames and orders are lost, duplicated, delayed and reordered.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from corianderrelay.state.answer_assembly import AnswerHead
from corianderrelay.state.attempt_orders import (
    AcknowledgeAttempt,
    AttachAttempt,
    AttemptOrder,
    BeginAttempt,
    CancelAttempt,
    FailAnswer,
    FinishAnswer,
    StartAnswer,
    WriteAnswer,
)
from corianderrelay.state.attempts import RequestAttempts
from corianderrelay.state.errors import Ran, RelayError
from corianderrelay.state.retry_budget import RetryBudget

from tests.machines.simulated_runner import (
    ChunkFrame,
    EndFrame,
    Frame,
    RefusedFrame,
    SimulatedRunner,
    complete_answer,
)

_DEADLINE_S = 30.0
_RUNNERS = ("runner-0", "runner-1", "runner-2")


@dataclass
class _Caller:
    prompt: str
    attempts: RequestAttempts
    received: bytes = b""
    start_count: int = 0
    complete: bool = False
    error: RelayError | None = None
    reported_not_run_at: list[str] = field(default_factory=list)


class _RoundRobinChooser:
    def __init__(self) -> None:
        self.next_index = 0

    def choose(self, excluded: frozenset[str], now: float) -> str | None:
        self.next_index += 1
        order = _RUNNERS[self.next_index % 3 :] + _RUNNERS[: self.next_index % 3]
        return next((name for name in order if name not in excluded), None)


class AttemptsMachine(RuleBasedStateMachine):
    """Two callers and three runners; frames and faults interleave at random."""

    @initialize(retries=st.sampled_from([1.0, 10.0]))
    def start(self, retries: float) -> None:
        """Start one request for each caller."""
        self.now = 0.0
        self.ids = (f"attempt-{number}" for number in itertools.count())
        self.runners = {name: SimulatedRunner(name) for name in _RUNNERS}
        self.frames: list[Frame] = []
        self.orders: list[tuple[_Caller, AttemptOrder]] = []
        budget = RetryBudget(burst_retries=retries)
        chooser = _RoundRobinChooser()
        self.callers = [
            _Caller(
                prompt,
                RequestAttempts(_DEADLINE_S, chooser, budget, self.ids.__next__),
            )
            for prompt in ("kit", "wax")
        ]
        for caller in self.callers:
            self._apply_orders(caller, caller.attempts.start(self.now))

    def _apply_orders(self, caller: _Caller, orders: list[AttemptOrder]) -> None:
        for order in orders:
            match order:
                case StartAnswer():
                    caller.start_count += 1
                case WriteAnswer():
                    assert (
                        caller.start_count == 1
                    ), "data was written before the answer was started"
                    caller.received += order.data
                case FinishAnswer():
                    assert (
                        not caller.complete and caller.error is None
                    ), "a second result"
                    caller.complete = True
                case FailAnswer():
                    assert (
                        not caller.complete and caller.error is None
                    ), "a second result"
                    caller.error = order.error
                case _:
                    self.orders.append((caller, order))

    def _deliver_to_runner(self, caller: _Caller, order: AttemptOrder) -> None:
        match order:
            case BeginAttempt():
                runner = self.runners[order.runner_id]
                self.frames += runner.dispatch(
                    order.attempt_id, caller.prompt, order.resume_from
                )
            case AttachAttempt():
                runner = self.runners[order.runner_id]
                self.frames += runner.attach(order.attempt_id, order.after_sequence)
            case CancelAttempt():
                self.runners[order.runner_id].cancel(order.attempt_id)
            case AcknowledgeAttempt():
                runner = self.runners[order.runner_id]
                runner.acknowledge(order.attempt_id, order.sequence)

    def _receive(self, frame: Frame) -> None:
        for caller in self.callers:
            attempts = caller.attempts
            match frame:
                case RefusedFrame():
                    orders = attempts.on_attempt_refused(
                        frame.attempt_id, 1.0, self.now
                    )
                case ChunkFrame():
                    chunk = frame.chunk
                    orders = attempts.on_attempt_chunk(
                        frame.attempt_id,
                        chunk.sequence,
                        chunk.data,
                        chunk.tokens,
                        AnswerHead(chunk.status, chunk.content_type),
                    )
                case EndFrame(died=True):
                    orders = attempts.on_attempt_failed(
                        frame.attempt_id, "it died", self.now
                    )
                case EndFrame():
                    orders = attempts.on_attempt_ended(
                        frame.attempt_id, frame.chunks, frame.digest, self.now
                    )
            self._apply_orders(caller, orders)

    @rule(index=st.integers(0, 20), keep_in_flight=st.booleans())
    def deliver_order(self, index: int, keep_in_flight: bool) -> None:
        """Deliver an order to its runner; one kept in flight can be delivered again."""
        if self.orders:
            item = self.orders[index % len(self.orders)]
            if not keep_in_flight:
                self.orders.remove(item)
            self._deliver_to_runner(*item)

    @rule(index=st.integers(0, 20), keep_in_flight=st.booleans())
    def deliver_frame(self, index: int, keep_in_flight: bool) -> None:
        """Deliver a frame to the entry; one kept in flight can be delivered again."""
        if self.frames:
            frame = self.frames[index % len(self.frames)]
            if not keep_in_flight:
                self.frames.remove(frame)
            self._receive(frame)

    @rule(index=st.integers(0, 20), drop_frame=st.booleans())
    def drop_message(self, index: int, drop_frame: bool) -> None:
        """Drop one frame or order."""
        if drop_frame and self.frames:
            del self.frames[index % len(self.frames)]
        elif not drop_frame and self.orders:
            del self.orders[index % len(self.orders)]

    @rule(index=st.integers(0, 20), pieces=st.integers(1, 5))
    def runner_computes(self, index: int, pieces: int) -> None:
        """Let a runner produce the next chunk or the end frame of one attempt."""
        running = [
            (runner, attempt_id)
            for runner in self.runners.values()
            for attempt_id in runner.runs_by_attempt
        ]
        if running:
            runner, attempt_id = running[index % len(running)]
            self.frames += runner.advance(attempt_id, pieces)

    @rule(pieces=st.integers(0, 3))
    def deliver_all(self, pieces: int) -> None:
        """Deliver all orders, let attempts produce chunks, then deliver all frames."""
        for item in list(self.orders):
            self.orders.remove(item)
            self._deliver_to_runner(*item)
        for runner in self.runners.values():
            for attempt_id in list(runner.runs_by_attempt) if pieces else []:
                self.frames += runner.advance(attempt_id, pieces)
        for frame in list(self.frames):
            self.frames.remove(frame)
            self._receive(frame)

    @rule()
    def deliver_without_faults(self) -> None:
        """Deliver orders, chunks and frames six times without a fault."""
        for _ in range(6):
            self.deliver_all(3)

    @rule(name=st.sampled_from(_RUNNERS))
    def engine_dies(self, name: str) -> None:
        """An engine dies and its agent reports the failed attempts."""
        self.frames += self.runners[name].die()

    @rule(name=st.sampled_from(_RUNNERS))
    def agent_restarts(self, name: str) -> None:
        """An agent restarts without its state before the entry detects the failure."""
        self.runners[name].die()
        self.replace_silent_stream(name)

    @rule(name=st.sampled_from(_RUNNERS))
    def instance_dies(self, name: str) -> None:
        """An instance dies and the entry detects that its stream is closed."""
        self.runners[name].die()
        for caller in self.callers:
            self._apply_orders(
                caller, caller.attempts.on_runner_unavailable(name, self.now)
            )

    @rule(name=st.sampled_from(_RUNNERS))
    def detect_stalled_runner(self, name: str) -> None:
        """The entry considers a runner stalled, whose frames may still arrive."""
        for caller in self.callers:
            self._apply_orders(
                caller, caller.attempts.on_runner_stalled(name, self.now)
            )

    @rule(name=st.sampled_from(_RUNNERS), refuses=st.booleans())
    def runner_refuses(self, name: str, refuses: bool) -> None:
        """A runner starts or stops refusing new attempts."""
        self.runners[name].refuses = refuses

    @rule(name=st.sampled_from(_RUNNERS))
    def replace_silent_stream(self, name: str) -> None:
        """Drop all frames and orders of a silent stream and replace the stream."""
        self.frames = [frame for frame in self.frames if frame.runner_id != name]
        self.orders = [
            item for item in self.orders if getattr(item[1], "runner_id", "") != name
        ]
        for caller in self.callers:
            self._apply_orders(caller, caller.attempts.on_stream_replaced(name))

    @rule()
    def deadline(self) -> None:
        """Pass the deadline; check that each caller has an answer or an error."""
        self.now = _DEADLINE_S
        for caller in self.callers:
            self._apply_orders(
                caller, caller.attempts.fail_if_deadline_passed(self.now)
            )
            assert (
                caller.complete or caller.error is not None
            ), "neither a complete answer nor an error"

    @invariant()
    def answers_are_correct_prefixes(self) -> None:
        """Each caller has received a prefix of its own answer, without duplicates."""
        for caller in self.callers:
            expected = complete_answer(caller.prompt)
            assert expected.startswith(caller.received), caller.received
            assert (
                not caller.complete or caller.received == expected
            ), "an incomplete answer was finished"

    @invariant()
    def reported_as_not_run_was_not_started(self) -> None:
        """No runner started a request that was reported to its caller as not run."""
        started_prompts = [
            name for r in self.runners.values() for name in r.started_prompts
        ]
        for caller in self.callers:
            if caller.error is not None and caller.error.ran is Ran.NO:
                assert (
                    caller.prompt not in started_prompts
                ), "reported as not run, but a runner started it"


__all__ = ["AttemptsMachine"]
