"""Ensures that an idempotency key runs at most once per agent process.

Every start needs a live ticket of this incarnation, and a ticket is valid once: the
first dispatch, refusal or tombstone consumes it. Memory is therefore bounded by the
live tickets, the running keys and ``max_finished`` finished keys. Of evicted keys only
the highest ticket id is kept. The key of a ticket up to that id may have run, so its
dispatch is refused as a duplicate and its tombstone is answered with ``forgotten``.
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
    """Limits on the memory of the key guard.

    :param ticket_lifetime_s: how long a ticket is valid, on this agent's clock.
    :param max_tickets: maximum number of live tickets, and of tombstones.
    :param max_finished: maximum number of finished keys that are kept individually.
    :param max_answer_bytes: maximum total size of the answers kept for settlement.
    """

    ticket_lifetime_s: float = 10.0
    max_tickets: int = 4096
    max_finished: int = 4096
    max_answer_bytes: int = 4 * 1024 * 1024


@dataclass(slots=True)
class _LiveTicket:
    key: str
    expires_at_s: float


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
    """Issues tickets, admits keyed dispatches and answers tombstones.

    :param incarnation: identifies this run of the process; unique among all runs.
    """

    __slots__ = (
        "_incarnation",
        "_limits",
        "_ticket_by_id",
        "_running_by_key",
        "_finished_by_key",
        "_kept_answer_by_key",
        "_tombstone_by_key",
        "_last_ticket_id",
        "_highest_evicted_ticket_id",
        "_answer_bytes",
    )

    def __init__(self, incarnation: int, limits: KeyGuardLimits) -> None:
        self._incarnation = incarnation
        self._limits = limits
        self._ticket_by_id: OrderedDict[int, _LiveTicket] = OrderedDict()
        self._running_by_key: dict[str, _StartedKey] = {}
        self._finished_by_key: OrderedDict[str, _StartedKey] = OrderedDict()
        self._kept_answer_by_key: OrderedDict[str, _StartedKey] = OrderedDict()
        self._tombstone_by_key: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._last_ticket_id = 0
        self._highest_evicted_ticket_id = 0
        self._answer_bytes = 0

    def __len__(self) -> int:
        ended = len(self._finished_by_key) + len(self._tombstone_by_key)
        return len(self._ticket_by_id) + len(self._running_by_key) + ended

    @property
    def kept_answer_bytes(self) -> int:
        """Total size of the answers that are kept for settlement, in bytes."""
        return self._answer_bytes

    def grant_ticket(self, key: str, now: float) -> Result[KeyTicket, RefusalReason]:
        """Issue a ticket that admits one dispatch of ``key`` during its lifetime."""
        self._remove_expired(now)
        if len(self._ticket_by_id) >= self._limits.max_tickets:
            return Err(RefusalReason.OVERLOADED)
        self._last_ticket_id += 1
        expires_at_s = now + self._limits.ticket_lifetime_s
        self._ticket_by_id[self._last_ticket_id] = _LiveTicket(key, expires_at_s)
        lifetime_ms = int(self._limits.ticket_lifetime_s * _MS_PER_S)
        return Ok(KeyTicket(key, self._incarnation, self._last_ticket_id, lifetime_ms))

    def admit(
        self, order: StartOrder, now: float, refusal: RefusalReason | None = None
    ) -> Result[None, RefusalReason]:
        """Mark the order's key as running, or return why it may not start.

        :param refusal: why this agent accepts no attempt now; ``None`` if it does. A
            refusal consumes the ticket, so that a late duplicate of the dispatch
            cannot start.
        """
        self._remove_expired(now)
        validated = self._validate(order)
        if isinstance(validated, Err):
            return validated
        del self._ticket_by_id[order.ticket_id]
        if refusal is not None:
            return Err(refusal)
        self._running_by_key[order.key] = _StartedKey(
            order.ticket_id, order.claim_offset
        )
        return Ok(None)

    def finish(self, key: str, status: int, content_type: str, body: bytes) -> None:
        """Record the answer of a started key; status 0 means an unknown outcome."""
        started = self._running_by_key.pop(key, None)
        if started is None:
            return
        started.finished = True
        started.status = status
        started.content_type = content_type
        started.body_kept = len(body) <= MAX_KEPT_ANSWER_BYTES
        self._finished_by_key[key] = started
        if started.body_kept:
            started.body = body
            self._kept_answer_by_key[key] = started
            self._answer_bytes += len(body)
            self._evict_old_answers()
        self._evict_old_keys()

    def withdraw(self, key: str) -> None:
        """Remove an admitted key whose request did not run."""
        self._running_by_key.pop(key, None)

    def tombstone(self, request: TombstoneRequest, now: float) -> TombstoneReply:
        """Prevent a claim from starting unless it has started; return its state."""
        self._remove_expired(now)
        started = self._find_started(request.key)
        if started is not None and started.claim_offset == request.claim_offset:
            return self._build_started_reply(request, started)
        if request.incarnation != self._incarnation or self._is_evicted(request):
            return self._build_reply(request, started=True, forgotten=True)
        self._ticket_by_id.pop(request.ticket_id, None)
        self._record_tombstone(request.key, request.claim_offset, now)
        return self._build_reply(request, started=False, forgotten=False)

    def _validate(self, order: StartOrder) -> Result[None, RefusalReason]:
        if order.incarnation != self._incarnation:
            return Err(RefusalReason.STALE_INCARNATION)
        started = self._find_started(order.key)
        if order.ticket_id <= self._highest_evicted_ticket_id:
            return Err(RefusalReason.DUPLICATE_KEY)
        if started is not None:
            older = order.claim_offset < started.claim_offset
            return Err(RefusalReason.FENCED if older else RefusalReason.DUPLICATE_KEY)
        tombstoned_offset, _ = self._tombstone_by_key.get(order.key, (-1, 0.0))
        if order.claim_offset <= tombstoned_offset:
            return Err(RefusalReason.TOMBSTONED)
        ticket = self._ticket_by_id.get(order.ticket_id)
        if ticket is None or ticket.key != order.key:
            return Err(RefusalReason.TICKET_EXPIRED)
        return Ok(None)

    def _is_evicted(self, request: TombstoneRequest) -> bool:
        return request.ticket_id <= self._highest_evicted_ticket_id

    def _record_tombstone(self, key: str, claim_offset: int, now: float) -> None:
        previous_offset, _ = self._tombstone_by_key.pop(key, (-1, 0.0))
        tombstone_expires_at_s = now + self._limits.ticket_lifetime_s
        self._tombstone_by_key[key] = (
            max(previous_offset, claim_offset),
            tombstone_expires_at_s,
        )
        # Early eviction is safe: the claim's ticket is gone, so it cannot start.
        if len(self._tombstone_by_key) > self._limits.max_tickets:
            self._tombstone_by_key.popitem(last=False)

    def _remove_expired(self, now: float) -> None:
        while self._ticket_by_id:
            ticket_id, ticket = next(iter(self._ticket_by_id.items()))
            if ticket.expires_at_s > now:
                break
            del self._ticket_by_id[ticket_id]
        while self._tombstone_by_key:
            key, (_, tombstone_expires_at_s) = next(
                iter(self._tombstone_by_key.items())
            )
            if tombstone_expires_at_s > now:
                break
            del self._tombstone_by_key[key]

    def _find_started(self, key: str) -> _StartedKey | None:
        return self._running_by_key.get(key) or self._finished_by_key.get(key)

    def _evict_old_answers(self) -> None:
        while self._answer_bytes > self._limits.max_answer_bytes:
            _, started = self._kept_answer_by_key.popitem(last=False)
            self._answer_bytes -= len(started.body)
            started.body = b""
            started.body_kept = False

    def _evict_old_keys(self) -> None:
        while len(self._finished_by_key) > self._limits.max_finished:
            key, started = self._finished_by_key.popitem(last=False)
            if self._kept_answer_by_key.pop(key, None) is not None:
                self._answer_bytes -= len(started.body)
            self._highest_evicted_ticket_id = max(
                self._highest_evicted_ticket_id, started.ticket_id
            )

    def _build_started_reply(
        self, request: TombstoneRequest, started: _StartedKey
    ) -> TombstoneReply:
        return TombstoneReply(
            key=request.key,
            incarnation=self._incarnation,
            started=True,
            finished=started.finished,
            status=started.status,
            content_type=started.content_type,
            body=started.body,
            body_kept=started.body_kept,
            claim_offset=request.claim_offset,
        )

    def _build_reply(
        self, request: TombstoneRequest, started: bool, forgotten: bool
    ) -> TombstoneReply:
        return TombstoneReply(
            key=request.key,
            incarnation=self._incarnation,
            started=started,
            claim_offset=request.claim_offset,
            forgotten=forgotten,
        )


__all__ = ["KeyGuard", "KeyGuardLimits"]
