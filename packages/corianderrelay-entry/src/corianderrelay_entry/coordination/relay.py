"""Relays calls that may be retried to runners, and their answers to callers.

:class:`RequestAttempts` and :class:`Router` make the decisions; this module executes
their orders on the agents' streams and the callers' sinks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

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
from corianderrelay.state.retry_budget import RetryBudget

from ..state.direct.held_bytes import HeldBytes
from ..state.open_request import OpenRequest, RequestPhase
from ..state.runner_progress import RunnerProgress
from .runner_choice import RunnerChoice, ServiceRouters

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from corianderrelay.state.call import Call
    from corianderrelay.state.members import Members

    from .agent_port import AgentPort
    from .answer_sink import AnswerSink
    from .request_metrics import RequestMetrics

_MAX_HELD_BYTES = 20_971_520  # of all answers that are not passed on as they arrive
_MIN_HELD_BYTES = 8192  # shorter answers are not worth an account
_REATTACH_TIMEOUT_S = 1.0  # for a disconnected agent to reconnect


class _OpenCall:
    """An open request with its sink, runner choice and attempts.

    :ivar attempt_ids: all attempts that were dispatched.
    :ivar unsent_bytes: what the sink keeps until the answer is complete.
    """

    __slots__ = (
        "request",
        "sink",
        "choice",
        "attempts",
        "attempt_ids",
        "unsent_bytes",
    )

    def __init__(
        self,
        request: OpenRequest,
        sink: AnswerSink,
        choice: RunnerChoice,
        attempts: RequestAttempts,
    ) -> None:
        self.request = request
        self.sink = sink
        self.choice = choice
        self.attempts = attempts
        self.attempt_ids: list[str] = []
        self.unsent_bytes = 0

    @property
    def runner_ids(self) -> tuple[str, str]:
        """The runners of the current attempt and of its takeover; empty if none."""
        return self.attempts.runner_id, self.attempts.takeover_runner_id


class Relay:
    """Holds the open requests of this entry and the connected agents.

    :param new_id: returns a new unique identifier at each call.
    :param seconds: returns the monotonic time in seconds.
    :param random: source of randomness for the choice of runners.
    :param zone: this entry's availability zone.
    :param members: tracks which agents accept new work.
    """

    def __init__(
        self,
        new_id: Callable[[], str],
        seconds: Callable[[], float],
        random: Random,
        zone: str,
        metrics: RequestMetrics,
        members: Members,
    ) -> None:
        self._new_id = new_id
        self._seconds = seconds
        self._metrics = metrics
        self.agents_by_id: dict[str, AgentPort] = {}
        self.routers = ServiceRouters(self.agents_by_id, members, zone, random)
        self._budget = RetryBudget()
        self._open_by_id: dict[str, _OpenCall] = {}
        self._open_by_attempt: dict[str, _OpenCall] = {}
        self._disconnected_since_by_agent: dict[str, float] = {}
        self._progress = RunnerProgress()
        self._held: HeldBytes[_OpenCall] = HeldBytes(_MAX_HELD_BYTES)

    @property
    def open_requests(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._open_by_id)

    def submit(self, call: Call, sink: AnswerSink, now: float) -> OpenRequest:
        """Run the call on a runner and send its answer to ``sink``."""
        request = OpenRequest(call, now)
        choice = self.routers.create_choice(call)
        attempts = RequestAttempts(call.deadline_s, choice, self._budget, self._new_id)
        opened = _OpenCall(request, sink, choice, attempts)
        self._open_by_id[call.request_id] = opened
        self._execute(opened, attempts.start(now))
        return request

    def abandon(self, request: OpenRequest) -> None:
        """Cancel the attempt of a request whose caller disconnected."""
        opened = self._open_by_id.get(request.call.request_id)
        if opened is None:
            return
        request.end(RequestPhase.ABANDONED)
        self._execute(opened, opened.attempts.on_client_disconnected())
        self._close(opened)

    def end_all(self) -> None:
        """Fail all open requests, as this process exits."""
        for opened in list(self._open_by_id.values()):
            self._execute(opened, opened.attempts.fail_as_stopping())

    def on_refused(self, attempt_id: str, retry_after_s: float) -> None:
        """Process an agent's report that it refused the attempt or no longer has it."""
        opened = self._open_by_attempt.get(attempt_id)
        if opened is not None:
            opened.choice.record_end(attempt_id, self._seconds(), failed=False)
            orders = opened.attempts.on_attempt_refused(
                attempt_id, retry_after_s, self._seconds()
            )
            self._execute(opened, orders)

    def on_chunk(
        self, attempt_id: str, sequence: int, data: bytes, tokens: int, head: AnswerHead
    ) -> None:
        """Process a chunk of an answer; a late one or a duplicate is ignored."""
        opened = self._open_by_attempt.get(attempt_id)
        if opened is None:
            return
        orders = opened.attempts.on_attempt_chunk(
            attempt_id, sequence, data, tokens, head
        )
        now = self._seconds()
        if opened.attempts.attempt_id == attempt_id:
            self._progress.record_chunk(opened.attempts.runner_id, now)
        opened.choice.record_progress(attempt_id, tokens, now)
        opened.request.tokens = opened.attempts.tokens
        self._execute(opened, orders)
        self._hold_bytes(opened)

    def _hold_bytes(self, opened: _OpenCall) -> None:
        """Account for what is held of an answer; cut the largest if it is too much."""
        held_bytes = opened.attempts.buffered_bytes + opened.unsent_bytes
        if opened.attempts.is_finished or held_bytes < _MIN_HELD_BYTES:
            return
        self._held.set_growing(opened, held_bytes)
        for largest, size in self._held.take_excess():
            eliot.log_message(
                message_type="answer:cut",
                request=largest.request.call.request_id,
                size_bytes=size,
                held_bytes=self._held.held_bytes,
                limit_bytes=self._held.limit_bytes,
            )
            self._execute(largest, largest.attempts.fail_as_too_long())

    def on_end(self, attempt_id: str, chunks: int, digest: int) -> None:
        """Process the end of an attempt.

        The answer is complete if the number of chunks and the digest match.
        """
        opened = self._open_by_attempt.get(attempt_id)
        if opened is not None:
            now = self._seconds()
            orders = opened.attempts.on_attempt_ended(attempt_id, chunks, digest, now)
            self._execute(opened, orders)

    def on_failed(self, attempt_id: str, detail: str) -> None:
        """Process the failure of an attempt that was started."""
        opened = self._open_by_attempt.get(attempt_id)
        if opened is not None:
            opened.choice.record_end(attempt_id, self._seconds(), failed=True)
            orders = opened.attempts.on_attempt_failed(
                attempt_id, detail, self._seconds()
            )
            self._execute(opened, orders)

    def on_agent_ready(self, agent: AgentPort) -> None:
        """Register an agent's new stream, and resume attempts of an earlier one."""
        runner = agent.runner
        previous_agent = self.agents_by_id.get(runner.instance_id)
        self.agents_by_id[runner.instance_id] = agent
        self.routers.add(runner)
        disconnected_since = self._disconnected_since_by_agent.pop(
            runner.instance_id, None
        )
        if previous_agent is None and disconnected_since is None:
            return
        for opened in self._calls_at(runner.instance_id):
            orders = opened.attempts.on_stream_replaced(runner.instance_id)
            self._execute(opened, orders)

    def on_agent_disconnected(self, runner_id: str) -> None:
        """Remove a disconnected agent; its attempts wait for it to reconnect."""
        self.agents_by_id.pop(runner_id, None)
        self._disconnected_since_by_agent[runner_id] = self._seconds()

    def tick(self) -> None:
        """Process stalls, reconnect timeouts and deadlines, and update the metrics."""
        now = self._seconds()
        self._retry_stalled(now)
        disconnected = [
            agent_id
            for agent_id, since in self._disconnected_since_by_agent.items()
            if now - since >= _REATTACH_TIMEOUT_S
        ]
        for agent_id in disconnected:
            del self._disconnected_since_by_agent[agent_id]
            for opened in self._calls_at(agent_id):
                orders = opened.attempts.on_runner_unavailable(agent_id, now)
                self._execute(opened, orders, cancelled_failed=True)
        for opened in list(self._open_by_id.values()):
            self._execute(opened, opened.attempts.fail_if_deadline_passed(now))
        self._metrics.open_requests.set({}, self.open_requests)
        self._metrics.agents.set({}, len(self.agents_by_id))
        self._metrics.retries_denied.set({}, self._budget.denied)
        self._metrics.usable_agents.set({}, self.routers.count_usable_agents(now))

    def _retry_stalled(self, now: float) -> None:
        answering = (
            opened.attempts.runner_id
            for opened in self._open_by_id.values()
            if opened.attempts.has_current_chunks
        )
        occupied = (
            runner_id
            for opened in self._open_by_id.values()
            for runner_id in opened.runner_ids
        )
        blocked = self.routers.blocked_runners()
        stalled = self._progress.find_stalled(answering, occupied, blocked, now)
        for runner_id in stalled:
            for opened in self._calls_at(runner_id):
                orders = opened.attempts.on_runner_stalled(runner_id, now)
                if orders:
                    silent_attempt = opened.attempts.attempt_id
                    opened.choice.record_end(silent_attempt, now, failed=True)
                self._execute(opened, orders)

    def _calls_at(self, runner_id: str) -> list[_OpenCall]:
        return [
            opened
            for opened in self._open_by_id.values()
            if runner_id in opened.runner_ids
        ]

    def _execute(
        self,
        opened: _OpenCall,
        orders: list[AttemptOrder],
        *,
        cancelled_failed: bool = False,
    ) -> None:
        """Execute orders.

        :param cancelled_failed: whether attempts are cancelled as their runner failed.
        """
        for order in orders:
            match order:
                case StartAnswer():
                    opened.request.phase = RequestPhase.STREAMING
                    opened.sink.start(order.status, order.content_type)
                case WriteAnswer():
                    if not opened.request.call.streamed:
                        opened.unsent_bytes += len(order.data)
                    opened.sink.write(order.data)
                case FinishAnswer():
                    opened.request.end(RequestPhase.DONE)
                    self._close(opened)
                    opened.sink.finish()
                case FailAnswer():
                    opened.request.end(RequestPhase.FAILED)
                    self._close(opened)
                    opened.sink.fail(order.error)
                case CancelAttempt():
                    self._cancel_attempt(opened, order, failed=cancelled_failed)
                case _:
                    self._send_to_agent(opened, order)

    def _send_to_agent(self, opened: _OpenCall, order: AttemptOrder) -> None:
        match order:
            case BeginAttempt():
                self._begin_attempt(opened, order)
            case AttachAttempt():
                agent = self.agents_by_id.get(order.runner_id)
                if agent is not None:
                    self._metrics.attaches.inc({})
                    agent.attach(order.attempt_id, order.after_sequence)
            case AcknowledgeAttempt():
                agent = self.agents_by_id.get(order.runner_id)
                if agent is not None:
                    agent.acknowledge(order.attempt_id, order.sequence)

    def _cancel_attempt(
        self, opened: _OpenCall, order: CancelAttempt, *, failed: bool
    ) -> None:
        opened.choice.record_end(order.attempt_id, self._seconds(), failed=failed)
        self._open_by_attempt.pop(order.attempt_id, None)
        agent = self.agents_by_id.get(order.runner_id)
        if agent is not None:
            agent.cancel(order.attempt_id)

    def _begin_attempt(self, opened: _OpenCall, order: BeginAttempt) -> None:
        request = opened.request
        kind = "first" if opened.attempts.attempts == 1 else "further"
        labels = {"service": request.call.service, "kind": kind}
        self._metrics.attempts.inc(labels)
        request.begin_attempt(order.attempt_id, order.runner_id)
        self._open_by_attempt[order.attempt_id] = opened
        opened.attempt_ids.append(order.attempt_id)
        opened.choice.record_dispatch(
            order.attempt_id, order.runner_id, self._seconds()
        )
        agent = self.agents_by_id[order.runner_id]
        agent.runner.dispatched += 1
        agent.dispatch(order.attempt_id, request.call, order.resume_from)

    def _close(self, opened: _OpenCall) -> None:
        opened.choice.record_all_ended(self._seconds())
        self._held.release(opened)
        for attempt_id in opened.attempt_ids:
            self._open_by_attempt.pop(attempt_id, None)
        self._open_by_id.pop(opened.request.call.request_id, None)


__all__ = ["Relay"]
