"""Runs a key at most once in the life of this agent process.

Every start needs a live ticket of this incarnation, and a ticket serves once: the
first dispatch, refusal or tombstone uses it up. So what is remembered is bounded by
the live tickets, the running work and ``max_finished`` ended keys. Of older keys only
the highest ticket number is kept, and whoever asks about one is told that it is
forgotten, not that it did not run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from result import Err, Ok, Result

from corianderrelay.state.attempt_outcome import RefusalReason
from corianderrelay.state.claim_messages import (
    KeyTicket,
    StartOrder,
    TombstoneReply,
    TombstoneRequest,
)
from corianderrelay.state.claim_records import MAX_KEPT_ANSWER_BYTES

_MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class KeyGuardLimits:
    """Bounds of the guard's memory.

    :param ticket_lifetime_s: how long a ticket may be used, on this agent's clock.
    :param max_tickets: live tickets at a time.
    :param max_finished: ended keys that are remembered one by one.
    :param max_answer_bytes: bytes of ended answers kept for settlement, in all.
    """

    ticket_lifetime_s: float = 10.0
    max_tickets: int = 4096
    max_finished: int = 4096
    max_answer_bytes: int = 4 * 1024 * 1024


@dataclass(slots=True)
class _LiveTicket:
    key: str
    expires_at: float


@dataclass(slots=True)
class _StartedKey:
    ticket_id: int
    claim_offset: int
    finished: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True


class KeyGuard:
    """Gives tickets, admits dispatches with a key and answers tombstones.

    :param incarnation: number of this process's life; no two lives share one.
    """

    __slots__ = (
        "_incarnation",
        "_limits",
        "_tickets",
        "_running",
        "_finished",
        "_kept_answers",
        "_fences",
        "_last_ticket",
        "_forgotten_ticket",
        "_answer_bytes",
    )

    def __init__(self, incarnation: int, limits: KeyGuardLimits) -> None:
        self._incarnation = incarnation
        self._limits = limits
        self._tickets: OrderedDict[int, _LiveTicket] = OrderedDict()
        self._running: dict[str, _StartedKey] = {}
        self._finished: OrderedDict[str, _StartedKey] = OrderedDict()
        self._kept_answers: OrderedDict[str, _StartedKey] = OrderedDict()
        self._fences: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._last_ticket = 0
        self._forgotten_ticket = 0
        self._answer_bytes = 0

    def __len__(self) -> int:
        ended = len(self._finished) + len(self._fences)
        return len(self._tickets) + len(self._running) + ended

    @property
    def kept_answer_bytes(self) -> int:
        """Bytes of the answers that are kept for settlement."""
        return self._answer_bytes

    def grant_ticket(self, key: str, now: float) -> Result[KeyTicket, RefusalReason]:
        """Promise to take one dispatch of ``key`` for the lifetime of a ticket."""
        self._expire(now)
        if len(self._tickets) >= self._limits.max_tickets:
            return Err(RefusalReason.OVERLOADED)
        self._last_ticket += 1
        expires_at = now + self._limits.ticket_lifetime_s
        self._tickets[self._last_ticket] = _LiveTicket(key, expires_at)
        lifetime_ms = int(self._limits.ticket_lifetime_s * _MS_PER_S)
        return Ok(KeyTicket(key, self._incarnation, self._last_ticket, lifetime_ms))

    def admit(
        self, order: StartOrder, now: float, refusal: RefusalReason | None = None
    ) -> Result[None, RefusalReason]:
        """Start the order's key, or say why it was not and will not be started.

        :param refusal: why this agent takes no work now, if it takes none. It uses
            the ticket up as well, so that a late copy of the dispatch cannot start.
        """
        self._expire(now)
        checked = self._check(order)
        if isinstance(checked, Err):
            return checked
        del self._tickets[order.ticket_id]
        if refusal is not None:
            return Err(refusal)
        self._running[order.key] = _StartedKey(order.ticket_id, order.claim_offset)
        return Ok(None)

    def finish(self, key: str, status: int, content_type: str, body: bytes) -> None:
        """Keep the answer of a started key; status 0 if its outcome is not known."""
        started = self._running.pop(key, None)
        if started is None:
            return
        started.finished = True
        started.status = status
        started.content_type = content_type
        started.body_kept = len(body) <= MAX_KEPT_ANSWER_BYTES
        self._finished[key] = started
        if started.body_kept:
            started.body = body
            self._kept_answers[key] = started
            self._answer_bytes += len(body)
            self._drop_old_answers()
        self._forget_old_keys()

    def withdraw(self, key: str) -> None:
        """Note that an admitted key was taken back before its endpoint saw it."""
        self._running.pop(key, None)

    def tombstone(self, order: TombstoneRequest, now: float) -> TombstoneReply:
        """Stop a claim that has not been started, and tell what became of it."""
        self._expire(now)
        started = self._started(order.key)
        if started is not None and started.claim_offset == order.claim_offset:
            return self._started_answer(order, started)
        if order.incarnation != self._incarnation or self._is_forgotten(order):
            return self._answer(order, started=True, forgotten=True)
        self._tickets.pop(order.ticket_id, None)
        self._raise_fence(order.key, order.claim_offset, now)
        return self._answer(order, started=False, forgotten=False)

    def _check(self, order: StartOrder) -> Result[None, RefusalReason]:
        if order.incarnation != self._incarnation:
            return Err(RefusalReason.STALE_INCARNATION)
        started = self._started(order.key)
        if order.ticket_id <= self._forgotten_ticket:
            return Err(RefusalReason.DUPLICATE_KEY)
        if started is not None:
            older = order.claim_offset < started.claim_offset
            return Err(RefusalReason.FENCED if older else RefusalReason.DUPLICATE_KEY)
        fence, _ = self._fences.get(order.key, (-1, 0.0))
        if order.claim_offset <= fence:
            return Err(RefusalReason.TOMBSTONED)
        ticket = self._tickets.get(order.ticket_id)
        if ticket is None or ticket.key != order.key:
            return Err(RefusalReason.TICKET_EXPIRED)
        return Ok(None)

    def _is_forgotten(self, order: TombstoneRequest) -> bool:
        return order.ticket_id <= self._forgotten_ticket

    def _raise_fence(self, key: str, claim_offset: int, now: float) -> None:
        known, _ = self._fences.pop(key, (-1, 0.0))
        forget_at = now + self._limits.ticket_lifetime_s
        self._fences[key] = (max(known, claim_offset), forget_at)
        # Without its ticket the claim cannot start, so an early end is no harm.
        if len(self._fences) > self._limits.max_tickets:
            self._fences.popitem(last=False)

    def _expire(self, now: float) -> None:
        while self._tickets:
            ticket_id, ticket = next(iter(self._tickets.items()))
            if ticket.expires_at > now:
                break
            del self._tickets[ticket_id]
        while self._fences:
            key, (_, forget_at) = next(iter(self._fences.items()))
            if forget_at > now:
                break
            del self._fences[key]

    def _started(self, key: str) -> _StartedKey | None:
        return self._running.get(key) or self._finished.get(key)

    def _drop_old_answers(self) -> None:
        while self._answer_bytes > self._limits.max_answer_bytes:
            _, started = self._kept_answers.popitem(last=False)
            self._answer_bytes -= len(started.body)
            started.body = b""
            started.body_kept = False

    def _forget_old_keys(self) -> None:
        while len(self._finished) > self._limits.max_finished:
            key, started = self._finished.popitem(last=False)
            if self._kept_answers.pop(key, None) is not None:
                self._answer_bytes -= len(started.body)
            self._forgotten_ticket = max(self._forgotten_ticket, started.ticket_id)

    def _started_answer(
        self, order: TombstoneRequest, started: _StartedKey
    ) -> TombstoneReply:
        return TombstoneReply(
            key=order.key,
            incarnation=self._incarnation,
            started=True,
            finished=started.finished,
            status=started.status,
            content_type=started.content_type,
            body=started.body,
            body_kept=started.body_kept,
            claim_offset=order.claim_offset,
        )

    def _answer(
        self, order: TombstoneRequest, started: bool, forgotten: bool
    ) -> TombstoneReply:
        return TombstoneReply(
            key=order.key,
            incarnation=self._incarnation,
            started=started,
            claim_offset=order.claim_offset,
            forgotten=forgotten,
        )


__all__ = ["KeyGuard", "KeyGuardLimits"]
