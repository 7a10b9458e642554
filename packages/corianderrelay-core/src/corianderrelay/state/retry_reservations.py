"""When refused callers were told to come back, and the next time that has room."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass

_GRACE_S = 2.0
_PERIOD_S = 0.5
_MIN_WAIT_S = 0.1
_CLOCK_TOLERANCE_S = 0.001


@dataclass(slots=True)
class _Reservation:
    """Callers that were told to come back at about the same time."""

    due_s: float
    requests: int
    tokens: int


class RetryReservations:
    """The refused callers of one workspace, in the order in which they come back.

    A caller that comes back is not known by name: whoever asks when a promise is due
    redeems it. Promises that nobody redeems are forgotten after a grace period.
    """

    __slots__ = ("_reservations",)

    def __init__(self) -> None:
        self._reservations: list[_Reservation] = []

    def __len__(self) -> int:
        return sum(reservation.requests for reservation in self._reservations)

    def __bool__(self) -> bool:
        return bool(self._reservations)

    def is_due(self, now: float) -> bool:
        """Return whether a caller that asks now may have been told to."""
        due_s = now + _CLOCK_TOLERANCE_S
        return bool(self._reservations) and self._reservations[0].due_s <= due_s

    def redeem(self) -> None:
        """Strike out the caller that was to come back first."""
        first = self._reservations[0]
        first.tokens -= first.tokens // first.requests
        first.requests -= 1
        if first.requests == 0:
            del self._reservations[0]

    def expire_missed(self, now: float) -> None:
        """Forget callers that have not come back."""
        while self._reservations and self._reservations[0].due_s + _GRACE_S < now:
            del self._reservations[0]

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
        for reservation in self._reservations:
            available_s = since_s + max(0.0, backlog - target) / rate
            if available_s < reservation.due_s:
                break
            due_s = max(reservation.due_s, since_s)
            backlog = max(0.0, backlog - rate * (due_s - since_s)) + reservation.tokens
            since_s = due_s
        available_s = since_s + max(0.0, backlog - target) / rate
        return self.reserve_not_before(tokens, available_s, now)

    def reserve_not_before(self, tokens: int, due_s: float, now: float) -> float:
        """Promise this time, or the next at which callers are told to come back."""
        period_index = math.ceil(max(due_s, now + _MIN_WAIT_S) / _PERIOD_S)
        due_s = period_index * _PERIOD_S
        index = bisect_left(
            self._reservations, due_s, key=lambda reservation: reservation.due_s
        )
        if index == len(self._reservations) or self._reservations[index].due_s != due_s:
            self._reservations.insert(index, _Reservation(due_s, 0, 0))
        self._reservations[index].requests += 1
        self._reservations[index].tokens += tokens
        return due_s


__all__ = ["RetryReservations"]
