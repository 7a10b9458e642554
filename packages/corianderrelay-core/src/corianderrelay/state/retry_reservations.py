"""When refused callers were told to come back, and the next time that has room."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass

_GRACE_S = 2.0
_SPAN_S = 0.5
_LEAST_WAIT_S = 0.1
_CLOCK_TOLERANCE_S = 0.001


@dataclass(slots=True)
class _Promise:
    """Callers that were told to come back at about the same time."""

    due_s: float
    requests: int
    tokens: int


class RetryReservations:
    """The refused callers of one workspace, in the order in which they come back.

    A caller that comes back is not known by name: whoever asks when a promise is due
    redeems it. Promises that nobody redeems are forgotten after a grace period.
    """

    __slots__ = ("_promises",)

    def __init__(self) -> None:
        self._promises: list[_Promise] = []

    def __len__(self) -> int:
        return sum(promise.requests for promise in self._promises)

    def __bool__(self) -> bool:
        return bool(self._promises)

    def is_due(self, now: float) -> bool:
        """Return whether a caller that asks now may have been told to."""
        due_s = now + _CLOCK_TOLERANCE_S
        return bool(self._promises) and self._promises[0].due_s <= due_s

    def redeem(self) -> None:
        """Strike out the caller that was to come back first."""
        first = self._promises[0]
        first.tokens -= first.tokens // first.requests
        first.requests -= 1
        if first.requests == 0:
            del self._promises[0]

    def expire_missed(self, now: float) -> None:
        """Forget callers that have not come back."""
        while self._promises and self._promises[0].due_s + _GRACE_S < now:
            del self._promises[0]

    def add(
        self, tokens: int, queued_tokens: int, rate: float, target: float, now: float
    ) -> float:
        """Promise the first time at which the queue has room; return that time.

        :param queued_tokens: what waits now.
        :param rate: tokens a second at which the queue is served.
        :param target: the queue has room while it is not longer than so many tokens.
        """
        backlog = float(queued_tokens)
        since_s = now
        for promise in self._promises:
            room_s = since_s + max(0.0, backlog - target) / rate
            if room_s < promise.due_s:
                break
            due_s = max(promise.due_s, since_s)
            backlog = max(0.0, backlog - rate * (due_s - since_s)) + promise.tokens
            since_s = due_s
        room_s = since_s + max(0.0, backlog - target) / rate
        return self.reserve_not_before(tokens, room_s, now)

    def reserve_not_before(self, tokens: int, due_s: float, now: float) -> float:
        """Promise this time, or the next at which callers are told to come back."""
        slot = math.ceil(max(due_s, now + _LEAST_WAIT_S) / _SPAN_S)
        due_s = slot * _SPAN_S
        index = bisect_left(self._promises, due_s, key=lambda promise: promise.due_s)
        if index == len(self._promises) or self._promises[index].due_s != due_s:
            self._promises.insert(index, _Promise(due_s, 0, 0))
        self._promises[index].requests += 1
        self._promises[index].tokens += tokens
        return due_s


__all__ = ["RetryReservations"]
