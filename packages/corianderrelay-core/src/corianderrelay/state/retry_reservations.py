"""Schedules the retries of rejected requests for when the queue has room."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass

_GRACE_S = 2.0
_PERIOD_S = 0.5  # retries due in one period share a reservation
_MIN_WAIT_S = 0.1
_CLOCK_TOLERANCE_S = 0.001


@dataclass(slots=True)
class _Reservation:
    """Capacity reserved for the retries that are due at the same time."""

    due_s: float
    requests: int
    tokens: int


class RetryReservations:
    """The expected retries of one workspace's rejected requests, ordered by due time.

    A retry carries no identity: any request that arrives when a reservation is due
    redeems it. Reservations that are not redeemed expire after a grace period.
    """

    __slots__ = ("_reservations",)

    def __init__(self) -> None:
        self._reservations: list[_Reservation] = []

    def __len__(self) -> int:
        return sum(reservation.requests for reservation in self._reservations)

    def __bool__(self) -> bool:
        return bool(self._reservations)

    def is_due(self, now: float) -> bool:
        """Return whether a request that arrives now counts as an expected retry."""
        due_s = now + _CLOCK_TOLERANCE_S
        return bool(self._reservations) and self._reservations[0].due_s <= due_s

    def redeem(self) -> None:
        """Remove one request and its share of tokens from the first reservation."""
        first = self._reservations[0]
        first.tokens -= first.tokens // first.requests
        first.requests -= 1
        if first.requests == 0:
            del self._reservations[0]

    def expire_missed(self, now: float) -> None:
        """Remove reservations whose grace period has passed without a retry."""
        while self._reservations and self._reservations[0].due_s + _GRACE_S < now:
            del self._reservations[0]

    def reserve(
        self, tokens: int, queued_tokens: int, rate: float, target: float, now: float
    ) -> float:
        """Reserve the first time at which the queue has room, and return that time.

        :param tokens: size of the rejected request, in tokens.
        :param queued_tokens: tokens in the queue now.
        :param rate: service rate of the queue, in tokens per second.
        :param target: queue length in tokens up to which the queue has room.
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
        """Reserve the end of the period that contains ``due_s``, and return that time.

        The returned time lies at least ``_MIN_WAIT_S`` after ``now``.
        """
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
