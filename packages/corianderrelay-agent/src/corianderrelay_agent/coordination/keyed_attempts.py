"""Attempts of requests that must not be repeated, from ticket to settlement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.claim_keys import scoped_key
from corianderrelay.state.claim_orders import StartOrder
from corianderrelay.state.claim_records import MAX_KEPT_ANSWER_BYTES
from corianderrelay.state.errors import Ran, RelayError

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from corianderrelay.state.attempt_outcome import RefusalReason
    from corianderrelay.state.claim_orders import KeyTicket, StopAnswer, StopOrder

    from ..state.attempt import Attempt, AttemptOrder
    from ..state.key_guard import KeyGuard


class KeyedAttempts:
    """Asks the guard before a keyed attempt starts and tells it how it ended.

    :param seconds: returns the monotonic time.
    """

    __slots__ = ("_guard", "_seconds", "_answer_by_attempt")

    def __init__(self, guard: KeyGuard, seconds: Callable[[], float]) -> None:
        self._guard = guard
        self._seconds = seconds
        self._answer_by_attempt: dict[str, bytearray] = {}

    def issue_ticket(self, key: str) -> Result[KeyTicket, RefusalReason]:
        """Give a ticket for a scoped key."""
        return self._guard.grant_ticket(key, self._seconds())

    def tombstone(self, order: StopOrder) -> StopAnswer:
        """Stop a claim that was not started, and tell what became of it."""
        return self._guard.tombstone(order, self._seconds())

    def admit(
        self, order: AttemptOrder, refusal: RefusalReason | None
    ) -> Result[None, RefusalReason]:
        """Start the attempt's key, or say why it is not started.

        :param refusal: why this agent takes no work now, if it takes none.
        """
        start = StartOrder(
            _scoped_key_of(order),
            order.claim_offset,
            order.ticket_incarnation,
            order.ticket_id,
        )
        return self._guard.admit(start, self._seconds(), refusal)

    def on_data(self, attempt: Attempt, data: bytes) -> None:
        """Keep a piece of an answer for settlement, unless it is too large."""
        attempt_id = attempt.order.attempt_id
        kept = self._answer_by_attempt.setdefault(attempt_id, bytearray())
        if len(kept) <= MAX_KEPT_ANSWER_BYTES:
            kept += data

    def on_done(self, attempt: Attempt) -> None:
        """The answer is whole."""
        body = bytes(self._answer_by_attempt.pop(attempt.order.attempt_id, b""))
        key = _scoped_key_of(attempt.order)
        self._guard.finish(key, attempt.status, attempt.content_type, body)

    def on_failure(self, attempt: Attempt, error: RelayError) -> None:
        """There is no whole answer; it may be known that nothing was run."""
        self._answer_by_attempt.pop(attempt.order.attempt_id, None)
        key = _scoped_key_of(attempt.order)
        if error.ran is Ran.NO:
            self._guard.withdraw(key)
        else:
            self._guard.finish(key, 0, "", b"")

    def on_withdrawal(self, attempt: Attempt) -> None:
        """The attempt was taken back before the endpoint saw it."""
        self._guard.withdraw(_scoped_key_of(attempt.order))


def _scoped_key_of(order: AttemptOrder) -> str:
    return scoped_key(order.workspace, order.service, order.key)


__all__ = ["KeyedAttempts"]
