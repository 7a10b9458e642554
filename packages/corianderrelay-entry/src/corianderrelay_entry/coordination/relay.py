"""Relays calls to runners and answers back to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.errors import (
    EndpointFailedError,
    OverloadedError,
    Ran,
    RelayError,
    UnavailableError,
)

from ..state.open_request import OpenRequest, RequestPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from corianderrelay.state.call import Call

    from .agent_port import AgentPort
    from .answer_sink import AnswerSink

_RETRY_AFTER_S = 1.0
_ACKNOWLEDGE_EVERY = 32


class Relay:
    """Keeps the open requests of this entry and the agents that run them.

    :param new_id: returns a new unique identifier at each call.
    """

    def __init__(self, new_id: Callable[[], str]) -> None:
        self._new_id = new_id
        self.agents_by_id: dict[str, AgentPort] = {}
        self._open_by_attempt: dict[str, OpenRequest] = {}
        self._sinks_by_attempt: dict[str, AnswerSink] = {}

    @property
    def open_requests(self) -> int:
        """Number of requests that have no final answer yet."""
        return len(self._open_by_attempt)

    def submit(self, call: Call, sink: AnswerSink, now: float) -> OpenRequest:
        """Run the call on a runner and send its answer to ``sink``."""
        request = OpenRequest(call, now)
        self._try_next(request, sink)
        return request

    def abandon(self, request: OpenRequest) -> None:
        """The caller is gone: stop the request's attempt."""
        attempt_id = request.attempt_id
        if attempt_id not in self._open_by_attempt:
            return
        self._forget(attempt_id)
        request.phase = RequestPhase.ABANDONED
        agent = self.agents_by_id.get(request.runner_id)
        if agent is not None:
            agent.cancel(attempt_id)

    def on_refused(self, attempt_id: str, retry_after_s: float) -> None:
        """The agent did not take the attempt: nothing was run, try another."""
        request = self._open_by_attempt.get(attempt_id)
        if request is None:
            return
        sink = self._forget(attempt_id)
        request.refused_by.add(request.runner_id)
        request.retry_after_s = max(request.retry_after_s, retry_after_s)
        self._try_next(request, sink)

    def on_chunk(
        self,
        attempt_id: str,
        sequence: int,
        data: bytes,
        tokens: int,
        status: int,
        content_type: str,
    ) -> None:
        """A piece of an answer has arrived; a late or doubled one is dropped."""
        request = self._open_by_attempt.get(attempt_id)
        if request is None or sequence != request.next_sequence:
            return
        sink = self._sinks_by_attempt[attempt_id]
        if sequence == 0 and request.phase is RequestPhase.WAITING:
            request.phase = RequestPhase.STREAMING
            sink.start(status, content_type)
        request.add_chunk(data, tokens)
        sink.write(data)
        if request.next_sequence % _ACKNOWLEDGE_EVERY == 0:
            self.agents_by_id[request.runner_id].acknowledge(attempt_id, sequence)

    def on_end(self, attempt_id: str, chunks: int, digest: int) -> None:
        """The attempt is over: the answer is whole if count and digest agree."""
        request = self._open_by_attempt.get(attempt_id)
        if request is None:
            return
        sink = self._forget(attempt_id)
        if not request.is_whole(chunks, digest):
            self._fail(request, sink, _endpoint_failed("its answer arrived damaged"))
            return
        request.phase = RequestPhase.DONE
        sink.finish()

    def on_failed(self, attempt_id: str, detail: str) -> None:
        """The attempt was started and failed."""
        request = self._open_by_attempt.get(attempt_id)
        if request is not None:
            sink = self._forget(attempt_id)
            self._fail(request, sink, _endpoint_failed(detail))

    def on_agent_lost(self, runner_id: str) -> None:
        """The stream to an agent is gone: fail what ran there."""
        self.agents_by_id.pop(runner_id, None)
        lost = [
            attempt_id
            for attempt_id, request in self._open_by_attempt.items()
            if request.runner_id == runner_id
        ]
        for attempt_id in lost:
            self.on_failed(attempt_id, "the connection to its instance was lost")

    def _try_next(self, request: OpenRequest, sink: AnswerSink) -> None:
        agent = _least_loaded(self._candidates(request))
        if agent is None:
            self._fail(request, sink, self._nobody_available(request))
            return
        attempt_id = self._new_id()
        request.begin_attempt(attempt_id, agent.runner.instance_id)
        self._open_by_attempt[attempt_id] = request
        self._sinks_by_attempt[attempt_id] = sink
        agent.runner.dispatched += 1
        agent.dispatch(attempt_id, request.call, request.tokens)

    def _candidates(self, request: OpenRequest) -> list[AgentPort]:
        return [
            agent
            for runner_id, agent in self.agents_by_id.items()
            if agent.runner.usable
            and agent.runner.service == request.call.service
            and runner_id not in request.refused_by
        ]

    def _nobody_available(self, request: OpenRequest) -> RelayError:
        retry_after_s = max(request.retry_after_s, _RETRY_AFTER_S)
        if request.refused_by:
            return OverloadedError(
                "every endpoint of the service is busy",
                f"send the request again after {retry_after_s:.0f} s",
                retry_after_s=retry_after_s,
            )
        return UnavailableError(
            f"no endpoint of service {request.call.service!r} is reachable",
            f"send the request again after {retry_after_s:.0f} s",
            retry_after_s=retry_after_s,
        )

    def _forget(self, attempt_id: str) -> AnswerSink:
        del self._open_by_attempt[attempt_id]
        return self._sinks_by_attempt.pop(attempt_id)

    def _fail(self, request: OpenRequest, sink: AnswerSink, error: RelayError) -> None:
        request.phase = RequestPhase.FAILED
        sink.fail(error)


def _least_loaded(agents: Iterable[AgentPort]) -> AgentPort | None:
    return min(agents, key=lambda agent: agent.runner.load, default=None)


def _endpoint_failed(detail: str) -> EndpointFailedError:
    return EndpointFailedError(
        f"the endpoint failed: {detail}",
        "send the request again if it may be repeated",
        ran=Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )


__all__ = ["Relay"]
