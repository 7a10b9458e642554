"""Handles attempts with an idempotency key, from ticket to settlement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from corianderrelay.state.claim_keys import scoped_key
from corianderrelay.state.claim_messages import StartOrder
from corianderrelay.state.claim_records import MAX_KEPT_ANSWER_BYTES
from corianderrelay.state.errors import Ran, RelayError

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from corianderrelay.state.attempt_outcome import RefusalReason
    from corianderrelay.state.claim_messages import (
        KeyTicket,
        TombstoneReply,
        TombstoneRequest,
    )

    from ..state.attempt import Attempt, AttemptOrder
    from ..state.key_guard import KeyGuard


class KeyedAttempts:
    """Admits keyed attempts through the key guard and records their outcomes.

    :param guard: ensures that a key runs at most once.
    :param seconds: returns the monotonic time in seconds.
    """

    __slots__ = ("_guard", "_seconds", "_answer_by_attempt_id")

    def __init__(self, guard: KeyGuard, seconds: Callable[[], float]) -> None:
        self._guard = guard
        self._seconds = seconds
        self._answer_by_attempt_id: dict[str, bytearray] = {}

    def issue_ticket(self, key: str) -> Result[KeyTicket, RefusalReason]:
        """Issue a ticket for a scoped key."""
        return self._guard.grant_ticket(key, self._seconds())

    def tombstone(self, request: TombstoneRequest) -> TombstoneReply:
        """Prevent the claim from starting unless it has started; return its state."""
        return self._guard.tombstone(request, self._seconds())

    def admit(
        self, order: AttemptOrder, refusal: RefusalReason | None
    ) -> Result[None, RefusalReason]:
        """Admit the attempt's key, or return why the attempt may not start.

        :param refusal: why this agent accepts no attempt now; ``None`` if it does.
        """
        start = StartOrder(
            _scoped_key_of(order),
            order.claim_offset,
            order.ticket_incarnation,
            order.ticket_id,
        )
        return self._guard.admit(start, self._seconds(), refusal)

    def on_data(self, attempt: Attempt, data: bytes) -> None:
        """Buffer the answer for settlement until it exceeds the size limit."""
        attempt_id = attempt.order.attempt_id
        answer_buffer = self._answer_by_attempt_id.setdefault(attempt_id, bytearray())
        if len(answer_buffer) <= MAX_KEPT_ANSWER_BYTES:
            answer_buffer += data

    def on_done(self, attempt: Attempt) -> None:
        """Record the complete answer for settlement."""
        body = bytes(self._answer_by_attempt_id.pop(attempt.order.attempt_id, b""))
        key = _scoped_key_of(attempt.order)
        self._guard.finish(key, attempt.status, attempt.content_type, body)

    def on_failure(self, attempt: Attempt, error: RelayError) -> None:
        """Withdraw the key if the request did not run, or record an unknown outcome."""
        self._answer_by_attempt_id.pop(attempt.order.attempt_id, None)
        key = _scoped_key_of(attempt.order)
        if error.ran is Ran.NO:
            self._guard.withdraw(key)
        else:
            self._guard.finish(key, 0, "", b"")

    def on_withdrawal(self, attempt: Attempt) -> None:
        """Withdraw the key of an attempt that was never sent to the engine."""
        self._guard.withdraw(_scoped_key_of(attempt.order))


def _scoped_key_of(order: AttemptOrder) -> str:
    return scoped_key(order.workspace, order.service, order.key)


__all__ = ["KeyedAttempts"]
