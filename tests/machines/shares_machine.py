"""State machine test of queueing by workspace share with random arrivals.

The tokens started under full load are compared with a fluid model: shares in exact
proportion to the weights.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from corianderrelay.state.document import Share
from corianderrelay.state.shares import ShareQueue, WaitingRequest

_WORKSPACES = ("a", "b", "c", "d")
_MAX_TOKENS = 20
_NO_DEADLINE_S = 1e9


class SharesMachine(RuleBasedStateMachine):
    """A group with few slots that four workspaces send requests to."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.request_count = 0
        self.waiting: dict[str, WaitingRequest] = {}
        self.running: dict[str, WaitingRequest] = {}
        self.refused_until: dict[str, float] = {}

    @initialize(
        slots=st.integers(1, 12),
        guarantees=st.lists(st.sampled_from([0.0, 0.1, 0.25]), min_size=4, max_size=4),
        bursts=st.lists(st.sampled_from([0.25, 0.5, 1.0]), min_size=4, max_size=4),
    )
    def start(self, slots: int, guarantees: list[float], bursts: list[float]) -> None:
        self.slots = slots
        self.shares = {
            name: Share(guaranteed=guaranteed, burst=burst)
            for name, guaranteed, burst in zip(_WORKSPACES, guarantees, bursts)
        }
        self.queue = ShareQueue(slots, self.shares, tokens_per_s=10.0 * slots)

    @rule(
        workspace=st.sampled_from(_WORKSPACES),
        tokens=st.integers(1, _MAX_TOKENS),
        allowed_s=st.sampled_from([0.0, 0.5, 5.0, _NO_DEADLINE_S]),
    )
    def submit(self, workspace: str, tokens: int, allowed_s: float) -> None:
        """Submit a request; a refusal must be justified and give a time to retry."""
        self.request_count += 1
        request = WaitingRequest(
            str(self.request_count), workspace, tokens, self.now + allowed_s
        )
        idle = not self.waiting and not self.running
        submitted = self.queue.submit(request, self.now)
        if submitted.is_ok():
            self.waiting[request.request_id] = request
            return
        refusal = submitted.unwrap_err()
        assert refusal.retry_after_s is not None and refusal.retry_after_s > 0.0
        assert not idle, "an idle group refused a request"
        assert allowed_s < _NO_DEADLINE_S, "refused although the deadline is far away"

    @rule()
    def fill(self) -> None:
        """Start requests until none may start; check the limits of slots and bursts."""
        while (request := self.queue.start_next(self.now)) is not None:
            del self.waiting[request.request_id]
            self.running[request.request_id] = request
            self._check_limits(request)
        self._check_work_conserving()

    @precondition(lambda self: self.running)
    @rule(choice=st.integers(0, 100), tokens=st.none() | st.integers(0, _MAX_TOKENS))
    def finish(self, choice: int, tokens: int | None) -> None:
        """Finish a running request with more or fewer tokens than estimated."""
        request_id = sorted(self.running)[choice % len(self.running)]
        del self.running[request_id]
        self.queue.finish(request_id, tokens)

    @rule(choice=st.integers(0, 100))
    def cancel(self, choice: int) -> None:
        """Cancel a waiting, running or unknown request."""
        known = sorted(self.waiting | self.running)
        request_id = known[choice % len(known)] if known else "unknown"
        self.waiting.pop(request_id, None)
        self.running.pop(request_id, None)
        self.queue.cancel(request_id)

    @rule(elapsed_s=st.sampled_from([0.1, 1.0, 6.0]))
    def wait(self, elapsed_s: float) -> None:
        """Advance time; exactly the waiting requests past their deadline expire."""
        self.now += elapsed_s
        dropped_ids = {
            request.request_id for request in self.queue.drop_expired(self.now)
        }
        expired_ids = {
            request_id
            for request_id, request in self.waiting.items()
            if request.deadline_s < self.now
        }
        assert dropped_ids == expired_ids, (dropped_ids, expired_ids)
        for request_id in expired_ids:
            del self.waiting[request_id]

    @rule(starts=st.integers(30, 80))
    def check_entitlement_under_full_load(self, starts: int) -> None:
        """Check that started tokens follow the weights while all workspaces wait.

        A workspace may lead or lag by at most one maximum request of each workspace.
        """
        uncapped = {
            name: Share(guaranteed=share.guaranteed)
            for name, share in self.shares.items()
        }
        queue = ShareQueue(self.slots, uncapped, tokens_per_s=1e6)
        weights = {
            name: max(share.guaranteed, 0.001) for name, share in uncapped.items()
        }
        for index, name in enumerate(_WORKSPACES * starts * 4):
            tokens = 1 + (7 * index) % _MAX_TOKENS
            request = WaitingRequest(f"{name}{index}", name, tokens, _NO_DEADLINE_S)
            assert queue.submit(request, 0.0).is_ok()
        started = dict.fromkeys(_WORKSPACES, 0)
        for _ in range(starts):
            request_or_none = queue.start_next(0.0)
            assert request_or_none is not None
            started[request_or_none.workspace] += request_or_none.tokens
            queue.finish(request_or_none.request_id, None)
            total = sum(started.values())
            for name in _WORKSPACES:
                entitled = total * weights[name] / sum(weights.values())
                lag = abs(started[name] - entitled)
                assert lag <= len(_WORKSPACES) * _MAX_TOKENS, (name, started, entitled)

    def _running_of(self, workspace: str) -> int:
        return sum(request.workspace == workspace for request in self.running.values())

    def _check_limits(self, request: WaitingRequest) -> None:
        assert len(self.running) <= self.slots
        max_running = max(1, -(-self.shares[request.workspace].burst * self.slots // 1))
        assert self._running_of(request.workspace) <= max_running

    def _check_work_conserving(self) -> None:
        """Check that no request waits while an unreserved slot is free."""
        reserved = 1 if self.slots > 1 else 0
        if len(self.running) + reserved >= self.slots:
            return
        for request in self.waiting.values():
            burst = self.shares[request.workspace].burst
            running = self._running_of(request.workspace)
            assert running + 1 > burst * self.slots, (request, running)


__all__ = ["SharesMachine"]
