"""Shares of a group: which workspace's request starts next, and which is refused.

Scheduling is by weighted deficit in tokens: with each start, every workspace that waits
earns its part of the started tokens and the one that started pays them all; the largest
deficit goes first. What a workspace leaves idle is lent to those that wait. When it
returns, it first takes its part of the tokens in flight, so that it is back as soon as
that many slots have been freed.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from .document import Share
from .errors import OverloadedError
from .retry_reservations import RetryReservations

if TYPE_CHECKING:
    from collections.abc import Mapping

_LEAST_WEIGHT = 0.001
_RESERVED_FRACTION = 0.01
_PROMISED_WAIT_FRACTION = 0.4
_PROMISED_RATE_FRACTION = 0.9
_FRESH_WAIT_FRACTION = 0.2
_SAFE_WAIT_FRACTION = 0.8
_LEAST_TOKENS_PER_S = 1.0
_NO_SHARE = Share(guaranteed=0.0)


@dataclass(slots=True, frozen=True)
class WaitingRequest:
    """A request that asks for a slot of the group.

    :param tokens: estimate of the tokens that it will take.
    :param deadline_s: latest time at which it may start.
    """

    request_id: str
    workspace: str
    tokens: int
    deadline_s: float


@dataclass(slots=True)
class _Lane:
    """What one workspace has waiting and running."""

    name: str
    share: Share
    queue: deque[WaitingRequest] = field(default_factory=deque)
    queued_tokens: int = 0
    running: int = 0
    running_tokens: int = 0
    deficit_tokens: float = 0.0
    promises: RetryReservations = field(default_factory=RetryReservations)

    @property
    def weight(self) -> float:
        """Return the part that it earns of what is started."""
        return max(self.share.guaranteed, _LEAST_WEIGHT)


class ShareQueue:
    """The waiting and running requests of one group, by workspace.

    :param slots: how many requests run at once.
    :param shares_by_workspace: shares in force; others have no guarantee.
    :param tokens_per_s: what the group generates when all slots are busy.
    """

    def __init__(
        self,
        slots: int,
        shares_by_workspace: Mapping[str, Share],
        tokens_per_s: float,
    ) -> None:
        self._slots = slots
        self._reserved = math.ceil(slots * _RESERVED_FRACTION) if slots > 1 else 0
        self._shares = shares_by_workspace
        self._lanes_by_workspace: dict[str, _Lane] = {}
        self._running_by_id: dict[str, WaitingRequest] = {}
        self._running_tokens = 0
        self.tokens_per_s = tokens_per_s

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._running_by_id)

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(len(lane.queue) for lane in self._lanes_by_workspace.values())

    @property
    def queued_tokens(self) -> int:
        """Return the estimated tokens of the requests that wait."""
        return sum(lane.queued_tokens for lane in self._lanes_by_workspace.values())

    def set_shares(self, shares_by_workspace: Mapping[str, Share]) -> None:
        """Put other shares in force."""
        self._shares = shares_by_workspace
        for name, lane in self._lanes_by_workspace.items():
            lane.share = shares_by_workspace.get(name, _NO_SHARE)

    def submit(
        self, request: WaitingRequest, now: float
    ) -> Result[None, OverloadedError]:
        """Queue the request, or refuse it if it cannot start by its deadline."""
        lane = self._lane(request.workspace)
        lane.promises.expire_missed(now)
        returned = lane.promises.is_due(now)
        allowed_s = request.deadline_s - now
        allowed_tokens = allowed_s * self._tokens_per_s_of(lane)
        if returned:
            lane.promises.redeem()
        fraction = _FRESH_WAIT_FRACTION if lane.promises and not returned else 1.0
        late = lane.queued_tokens > fraction * _SAFE_WAIT_FRACTION * allowed_tokens
        if late:
            return Err(self._refuse(lane, request, returned, now))
        if not lane.queue:
            self._activate(lane)
        lane.queue.append(request)
        lane.queued_tokens += request.tokens
        return Ok(None)

    def start_next(self, now: float) -> WaitingRequest | None:
        """Take the request that starts next; ``None`` when none may start.

        Requests past their deadline have to be dropped first.
        """
        waiting = [lane for lane in self._lanes_by_workspace.values() if lane.queue]
        open_lanes = [lane for lane in waiting if lane.running < self._most_slots(lane)]
        free = self._slots - len(self._running_by_id)
        if free <= self._reserved:
            eligible = [lane for lane in open_lanes if self._is_within(lane)]
        else:
            eligible = open_lanes
        if free <= 0 or not eligible:
            return None
        lane = max(eligible, key=lambda lane: lane.deficit_tokens)
        request = lane.queue.popleft()
        self._settle(open_lanes, lane, request.tokens)
        lane.queued_tokens -= request.tokens
        lane.running += 1
        lane.running_tokens += request.tokens
        self._running_tokens += request.tokens
        self._running_by_id[request.request_id] = request
        return request

    def drop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the waiting requests whose deadline has passed."""
        expired = [
            request
            for lane in self._lanes_by_workspace.values()
            for request in lane.queue
            if request.deadline_s < now
        ]
        for request in expired:
            self._unqueue(request)
        return expired

    def cancel(self, request_id: str) -> None:
        """Forget a request, waiting or running, that is no longer wanted."""
        if request_id in self._running_by_id:
            self.finish(request_id, None)
            return
        waiting = (
            request
            for lane in self._lanes_by_workspace.values()
            for request in lane.queue
            if request.request_id == request_id
        )
        request = next(waiting, None)
        if request is not None:
            self._unqueue(request)

    def finish(self, request_id: str, tokens: int | None) -> None:
        """Free the slot of a running request.

        :param tokens: what it took in truth; ``None`` keeps the estimate.
        """
        request = self._running_by_id.pop(request_id)
        lane = self._lane(request.workspace)
        lane.running -= 1
        lane.running_tokens -= request.tokens
        self._running_tokens -= request.tokens
        if tokens is not None and lane.queue:
            lane.deficit_tokens += request.tokens - tokens
        self._forget_idle(lane)

    def _lane(self, workspace: str) -> _Lane:
        lane = self._lanes_by_workspace.get(workspace)
        if lane is None:
            lane = _Lane(workspace, self._shares.get(workspace, _NO_SHARE))
            self._lanes_by_workspace[workspace] = lane
        return lane

    def _forget_idle(self, lane: _Lane) -> None:
        if not (lane.queue or lane.running or lane.promises):
            del self._lanes_by_workspace[lane.name]

    def _unqueue(self, request: WaitingRequest) -> None:
        lane = self._lane(request.workspace)
        lane.queue.remove(request)
        lane.queued_tokens -= request.tokens
        self._forget_idle(lane)

    def _most_slots(self, lane: _Lane) -> int:
        return max(1, math.ceil(lane.share.burst * self._slots))

    def _is_within(self, lane: _Lane) -> bool:
        """Return whether one more request stays within the guaranteed slots."""
        return lane.running < lane.share.guaranteed * self._slots

    def _activate(self, lane: _Lane) -> None:
        """Let a lane that begins to wait take its part of the tokens in flight."""
        rivals = [other for other in self._lanes_by_workspace.values() if other.queue]
        weights = sum(rival.weight for rival in rivals) + lane.weight
        shared_tokens = sum(rival.running_tokens for rival in rivals)
        part_tokens = lane.weight / weights * (shared_tokens + lane.running_tokens)
        guaranteed_tokens = lane.share.guaranteed * self._running_tokens
        missing = max(part_tokens, guaranteed_tokens) - lane.running_tokens
        level = sum(rival.deficit_tokens for rival in rivals) / max(1, len(rivals))
        lane.deficit_tokens = level + max(missing, 0.0)

    @staticmethod
    def _settle(lanes: list[_Lane], started: _Lane, tokens: int) -> None:
        weights = sum(lane.weight for lane in lanes)
        for lane in lanes:
            lane.deficit_tokens += tokens * lane.weight / weights
        started.deficit_tokens -= tokens

    def _refuse(
        self, lane: _Lane, request: WaitingRequest, returned: bool, now: float
    ) -> OverloadedError:
        """Refuse with the time at which the same request would be taken."""
        rate = self._tokens_per_s_of(lane)
        room = _PROMISED_WAIT_FRACTION * (request.deadline_s - now) * rate
        if returned:
            wait_s = (lane.queued_tokens - room) / rate
            due_s = lane.promises.reserve_not_before(request.tokens, now + wait_s, now)
        else:
            rate *= _PROMISED_RATE_FRACTION
            due_s = lane.promises.add(
                request.tokens, lane.queued_tokens, rate, room, now
            )
        return _refusal(lane, due_s - now)

    def _tokens_per_s_of(self, lane: _Lane) -> float:
        """Return the rate at which the lane's queue is served at present.

        Lanes that use more than their guarantee share what the others leave.
        """
        others = [
            other for other in self._lanes_by_workspace.values() if other is not lane
        ]
        rivals = [
            other for other in others if other.queue and not self._is_within(other)
        ]
        waiting = sum(other.weight for other in rivals)
        used = sum(other.running for other in others)
        used -= sum(other.running for other in rivals)
        left = max(0.0, 1.0 - used / self._slots)
        part = max(left * lane.weight / (waiting + lane.weight), lane.share.guaranteed)
        rate = min(part, lane.share.burst) * self.tokens_per_s
        return max(rate, _LEAST_TOKENS_PER_S)


def _refusal(lane: _Lane, retry_after_s: float) -> OverloadedError:
    return OverloadedError(
        f"workspace {lane.name!r} has more waiting than its share can start in time",
        f"send the request again after {retry_after_s:.1f} s",
        retry_after_s=retry_after_s,
    )


__all__ = ["ShareQueue", "WaitingRequest"]
