"""Fair queueing and admission of a group's requests by workspace share.

Queueing uses a weighted deficit in tokens. When a request starts, each workspace with
waiting requests is credited with its weighted part of the request's tokens, and the
workspace of the request is charged all of them. The largest deficit starts next.
Capacity that a workspace leaves idle is lent to those with waiting requests. A
workspace that becomes active again is first credited with its part of the tokens in
flight, so it regains its share as soon as that many slots have been freed.
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

_MIN_WEIGHT = 0.001
_RESERVED_SLOT_FRACTION = 0.01  # kept for workspaces within their guarantee
_RETRY_WAIT_FRACTION = 0.4  # of the time to the deadline, for a reserved retry
_RETRY_RATE_FRACTION = 0.9  # of the service rate, to compute the times of retries
_NEW_REQUEST_WAIT_FRACTION = 0.2  # of the maximum wait, while retries are reserved
_MAX_WAIT_FRACTION = 0.8  # of the time to the deadline
_MIN_TOKENS_PER_S = 1.0
_NO_SHARE = Share(guaranteed=0.0)


@dataclass(slots=True, frozen=True)
class WaitingRequest:
    """A request that waits for a slot of the group.

    :param tokens: estimated number of tokens of the request.
    :param deadline_s: latest time at which the request may start.
    """

    request_id: str
    workspace: str
    tokens: int
    deadline_s: float


@dataclass(slots=True)
class _Lane:
    """The waiting and running requests of one workspace, and its expected retries."""

    name: str
    share: Share
    queue: deque[WaitingRequest] = field(default_factory=deque)
    queued_tokens: int = 0
    running: int = 0
    running_tokens: int = 0
    deficit_tokens: float = 0.0
    retry_reservations: RetryReservations = field(default_factory=RetryReservations)

    @property
    def weight(self) -> float:
        """Return the weight for the workspace's part of all started tokens."""
        return max(self.share.guaranteed, _MIN_WEIGHT)


class ShareQueue:
    """The waiting and running requests of one group, by workspace.

    :param slots: number of requests that can run at once.
    :param shares_by_workspace: active shares; other workspaces have no guarantee.
    :param tokens_per_s: rate at which the group generates tokens with all slots in use.
    """

    def __init__(
        self,
        slots: int,
        shares_by_workspace: Mapping[str, Share],
        tokens_per_s: float,
    ) -> None:
        self._slots = slots
        self._reserved_slots = (
            math.ceil(slots * _RESERVED_SLOT_FRACTION) if slots > 1 else 0
        )
        self._shares = shares_by_workspace
        self._lanes_by_workspace: dict[str, _Lane] = {}
        self._running_by_id: dict[str, WaitingRequest] = {}
        self._running_tokens = 0
        self.tokens_per_s = tokens_per_s

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running_by_id)

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(lane.queue) for lane in self._lanes_by_workspace.values())

    @property
    def queued_tokens(self) -> int:
        """Return the estimated tokens of all waiting requests."""
        return sum(lane.queued_tokens for lane in self._lanes_by_workspace.values())

    def set_shares(self, shares_by_workspace: Mapping[str, Share]) -> None:
        """Replace the active shares."""
        self._shares = shares_by_workspace
        for name, lane in self._lanes_by_workspace.items():
            lane.share = shares_by_workspace.get(name, _NO_SHARE)

    def submit(
        self, request: WaitingRequest, now: float
    ) -> Result[None, OverloadedError]:
        """Queue the request, or refuse it if it is not expected to start in time.

        While retries are reserved, requests that are not due retries are refused
        earlier, to leave the queue to the retries.
        """
        lane = self._lane(request.workspace)
        lane.retry_reservations.expire_missed(now)
        is_retry_due = lane.retry_reservations.is_due(now)
        remaining_s = request.deadline_s - now
        servable_tokens = remaining_s * self._service_rate(lane)
        if is_retry_due:
            lane.retry_reservations.redeem()
        fraction = (
            _NEW_REQUEST_WAIT_FRACTION
            if lane.retry_reservations and not is_retry_due
            else 1.0
        )
        is_queue_too_long = (
            lane.queued_tokens > fraction * _MAX_WAIT_FRACTION * servable_tokens
        )
        if is_queue_too_long:
            return Err(self._refuse_with_retry_time(lane, request, is_retry_due, now))
        if not lane.queue:
            self._set_initial_deficit(lane)
        lane.queue.append(request)
        lane.queued_tokens += request.tokens
        return Ok(None)

    def start_next(self, now: float) -> WaitingRequest | None:
        """Start and return the next request, or ``None`` if none may start.

        Call :meth:`drop_expired` first; this method does not check deadlines.
        """
        pending_lanes = [
            lane for lane in self._lanes_by_workspace.values() if lane.queue
        ]
        lanes_below_burst = [
            lane for lane in pending_lanes if lane.running < self._max_slots(lane)
        ]
        free = self._slots - len(self._running_by_id)
        if free <= self._reserved_slots:
            eligible = [
                lane for lane in lanes_below_burst if self._is_within_guarantee(lane)
            ]
        else:
            eligible = lanes_below_burst
        if free <= 0 or not eligible:
            return None
        lane = max(eligible, key=lambda lane: lane.deficit_tokens)
        request = lane.queue.popleft()
        self._charge_start(lanes_below_burst, lane, request.tokens)
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
            self._remove_from_queue(request)
        return expired

    def cancel(self, request_id: str) -> None:
        """Remove a waiting or running request; an unknown id is ignored."""
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
            self._remove_from_queue(request)

    def finish(self, request_id: str, tokens: int | None) -> None:
        """Free the slot of a running request that has ended or was cancelled.

        :param tokens: actual number of tokens of the request; ``None`` keeps the
            estimate.
        """
        request = self._running_by_id.pop(request_id)
        lane = self._lane(request.workspace)
        lane.running -= 1
        lane.running_tokens -= request.tokens
        self._running_tokens -= request.tokens
        if tokens is not None and lane.queue:
            lane.deficit_tokens += request.tokens - tokens
        self._remove_if_idle(lane)

    def _lane(self, workspace: str) -> _Lane:
        lane = self._lanes_by_workspace.get(workspace)
        if lane is None:
            lane = _Lane(workspace, self._shares.get(workspace, _NO_SHARE))
            self._lanes_by_workspace[workspace] = lane
        return lane

    def _remove_if_idle(self, lane: _Lane) -> None:
        if not (lane.queue or lane.running or lane.retry_reservations):
            del self._lanes_by_workspace[lane.name]

    def _remove_from_queue(self, request: WaitingRequest) -> None:
        lane = self._lane(request.workspace)
        lane.queue.remove(request)
        lane.queued_tokens -= request.tokens
        self._remove_if_idle(lane)

    def _max_slots(self, lane: _Lane) -> int:
        return max(1, math.ceil(lane.share.burst * self._slots))

    def _is_within_guarantee(self, lane: _Lane) -> bool:
        """Return whether one more request stays within the guaranteed slots."""
        return lane.running < lane.share.guaranteed * self._slots

    def _set_initial_deficit(self, lane: _Lane) -> None:
        """Credit a lane that becomes active with its part of the tokens in flight."""
        competitors = [
            other for other in self._lanes_by_workspace.values() if other.queue
        ]
        weights = sum(competitor.weight for competitor in competitors) + lane.weight
        shared_tokens = sum(competitor.running_tokens for competitor in competitors)
        fair_tokens = lane.weight / weights * (shared_tokens + lane.running_tokens)
        guaranteed_tokens = lane.share.guaranteed * self._running_tokens
        missing_tokens = max(fair_tokens, guaranteed_tokens) - lane.running_tokens
        mean_deficit = sum(
            competitor.deficit_tokens for competitor in competitors
        ) / max(1, len(competitors))
        lane.deficit_tokens = mean_deficit + max(missing_tokens, 0.0)

    @staticmethod
    def _charge_start(lanes: list[_Lane], started: _Lane, tokens: int) -> None:
        weights = sum(lane.weight for lane in lanes)
        for lane in lanes:
            lane.deficit_tokens += tokens * lane.weight / weights
        started.deficit_tokens -= tokens

    def _refuse_with_retry_time(
        self, lane: _Lane, request: WaitingRequest, is_retry_due: bool, now: float
    ) -> OverloadedError:
        """Reserve capacity for a retry; return the refusal with the time to retry."""
        rate = self._service_rate(lane)
        target_tokens = _RETRY_WAIT_FRACTION * (request.deadline_s - now) * rate
        if is_retry_due:
            wait_s = (lane.queued_tokens - target_tokens) / rate
            due_s = lane.retry_reservations.reserve_not_before(
                request.tokens, now + wait_s, now
            )
        else:
            rate *= _RETRY_RATE_FRACTION
            due_s = lane.retry_reservations.reserve(
                request.tokens, lane.queued_tokens, rate, target_tokens, now
            )
        return _overloaded_error(lane, due_s - now)

    def _service_rate(self, lane: _Lane) -> float:
        """Return the current service rate of the lane's queue, in tokens per second.

        Lanes beyond their guarantee share the capacity that the others leave unused.
        """
        others = [
            other for other in self._lanes_by_workspace.values() if other is not lane
        ]
        competitors = [
            other
            for other in others
            if other.queue and not self._is_within_guarantee(other)
        ]
        competitor_weight = sum(other.weight for other in competitors)
        used_slots = sum(other.running for other in others)
        used_slots -= sum(other.running for other in competitors)
        unused_fraction = max(0.0, 1.0 - used_slots / self._slots)
        rate_fraction = max(
            unused_fraction * lane.weight / (competitor_weight + lane.weight),
            lane.share.guaranteed,
        )
        rate = min(rate_fraction, lane.share.burst) * self.tokens_per_s
        return max(rate, _MIN_TOKENS_PER_S)


def _overloaded_error(lane: _Lane, retry_after_s: float) -> OverloadedError:
    return OverloadedError(
        f"workspace {lane.name!r} has more requests queued than its share can "
        "start in time",
        f"send the request again after {retry_after_s:.1f} s",
        retry_after_s=retry_after_s,
    )


__all__ = ["ShareQueue", "WaitingRequest"]
