"""State machine of the keyed requests, which run at most once.

Each method processes one event and returns the resulting actions. A request goes
through ticket -> claim -> dispatch. It is dispatched only after its own claim has been
read back from the log as the first one for its key.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from corianderrelay.state.attempt_outcome import AttemptOutcome, RefusalReason
from corianderrelay.state.claim_keys import check_key_date, expired_key_error
from corianderrelay.state.claim_records import ClaimRecord, Outcome
from corianderrelay.state.http_status import is_final_status
from corianderrelay.state.remembered_keys import MAX_REMEMBERED_KEYS

from . import keyed_errors
from .claim_maintenance import ClaimMaintenance
from .claim_settlement import done_record, release_record, unknown_record
from .keyed_actions import (
    Action,
    AppendRecord,
    KeyedCall,
    RequestTicket,
    SendAnswer,
    SendDispatch,
    SendError,
)
from .keyed_register import KeyedPhase, KeyedRegister, OpenKeyedRequest

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from corianderrelay.state.claim_messages import KeyTicket, TombstoneReply
    from corianderrelay.state.claim_records import AnyClaimRecord, OutcomeRecord
    from corianderrelay.state.claims import ClaimFold, KeyState
    from corianderrelay.state.errors import RelayError

    from .keyed_limits import KeyedLimits
    from .unrecorded_outcomes import OutcomeOrRelease

_MS_PER_S = 1000.0
# Refusals which prove that the agent did not start the dispatched request.
_NOT_STARTED_REASONS = frozenset(
    {RefusalReason.LEAVING, RefusalReason.OVERLOADED, RefusalReason.TICKET_EXPIRED}
)


class KeyedRequests:
    """The keyed requests of this entry whose keys belong to one claims stream.

    :param fold: the stream's state; only :meth:`apply_records` adds records to it.
    :param nonces: yields a nonce for each claim, unique across all entries.
    """

    __slots__ = (
        "_entry_id",
        "_limits",
        "_fold",
        "_nonces",
        "_register",
        "_maintenance",
    )

    def __init__(
        self, entry_id: str, limits: KeyedLimits, fold: ClaimFold, nonces: Iterator[str]
    ) -> None:
        self._entry_id = entry_id
        self._limits = limits
        self._fold = fold
        self._nonces = nonces
        self._register = KeyedRegister()
        self._maintenance = ClaimMaintenance(
            entry_id, limits, fold, self._is_running_here
        )

    @property
    def fold(self) -> ClaimFold:
        """State of the claims stream as far as this entry has read it."""
        return self._fold

    @property
    def is_idle(self) -> bool:
        """Whether there is no open request and no record left to append."""
        return not len(self._register) and self._maintenance.is_idle

    def submit(self, call: KeyedCall, now: float, wall_now_s: float) -> list[Action]:
        """Accept or reject a new keyed request.

        :param now: monotonic time in seconds.
        :param wall_now_s: wall-clock time in seconds since 1970.
        """
        rejection = self._find_rejection(call, wall_now_s)
        if rejection is not None:
            return [SendError(call.request_id, rejection)]
        self._register.add(call, now)
        return self._update_key(call.key, now)

    def on_ticket_granted(
        self, request_id: str, ticket: KeyTicket, now: float, wall_now_s: float
    ) -> list[Action]:
        """Append a claim of the key for the incarnation that granted the ticket."""
        request = self._register.get(request_id)
        if request is None or request.phase is not KeyedPhase.TICKET:
            return []
        if not self._maintenance.log_available:
            return self._fail(request, keyed_errors.log_unavailable_error())
        # This process may have been paused since it accepted the request, so the key is
        # checked again; from here on the ticket's lifetime limits the delay.
        if not self._is_in_window(request.call, wall_now_s):
            return self._fail(request, expired_key_error())
        # The ticket's lifetime began after the ticket was requested, so this deadline
        # is not later than the lifetime's end.
        request.ticket_deadline = request.phase_since + ticket.lifetime_ms / _MS_PER_S
        claim = self._new_claim(request.call, ticket)
        self._register.set_claim(request, claim)
        request.enter_phase(KeyedPhase.CLAIMING, now)
        return [AppendRecord(claim)]

    def on_ticket_refused(self, request_id: str) -> list[Action]:
        """Fail the request, because the agent accepts no work now."""
        request = self._register.get(request_id)
        if request is None or request.phase is not KeyedPhase.TICKET:
            return []
        return self._fail(request, keyed_errors.not_run_error())

    def on_append_failed(self, record: AnyClaimRecord) -> list[Action]:
        """Fail the request whose claim was not appended; outcomes are retried later."""
        if not isinstance(record, ClaimRecord):
            return []
        request = self._register.find_by_nonce(record.nonce)
        if request is None or request.phase is not KeyedPhase.CLAIMING:
            return []
        return self._fail(request, keyed_errors.log_unavailable_error())

    def on_log_unavailable(self) -> None:
        """Reject new requests at once, because the log cannot be read."""
        self._maintenance.log_available = False

    def apply_records(
        self, records: Iterable[tuple[int, int, AnyClaimRecord]], now: float
    ) -> list[Action]:
        """Apply records that were read, as tuples of offset, index and record."""
        self._maintenance.log_available = True
        keys: dict[str, None] = {}
        for offset, index, record in records:
            self._fold.apply(offset, index, record, now)
            keys |= dict.fromkeys(_keys_of(record))
        return list(chain.from_iterable(self._update_key(key, now) for key in keys))

    def on_dispatch_refused(
        self, nonce: str, reason: RefusalReason, now: float
    ) -> list[Action]:
        """Process the agent's refusal of a dispatch, identified by its claim nonce."""
        request = self._register.find_by_nonce(nonce)
        if request is None or request.phase is not KeyedPhase.DISPATCHED:
            return []
        if reason not in _NOT_STARTED_REASONS:
            # The request may have been run by another incarnation or by a duplicate of
            # this dispatch.
            return self._settle_own_claim(request, now)
        assert request.claim is not None
        return [
            *self._fail(request, keyed_errors.not_run_error()),
            *self._maintenance.append_outcome(
                release_record(request.claim, self._entry_id), now
            ),
        ]

    def on_attempt_ended(
        self,
        nonce: str,
        outcome: AttemptOutcome,
        status: int,
        content_type: str,
        body: bytes,
        now: float,
    ) -> list[Action]:
        """Process the end of a dispatched request, with its whole answer if done."""
        request = self._register.find_by_nonce(nonce)
        if request is None or request.claim is None:
            return []
        claim = request.claim
        record: OutcomeOrRelease
        if outcome is AttemptOutcome.DONE and is_final_status(status):
            self._register.remove(request)
            answer_actions: list[Action] = [
                SendAnswer(request.call.request_id, status, content_type, body)
            ]
            record = done_record(claim, self._entry_id, status, content_type, body)
        elif outcome is AttemptOutcome.NOT_STARTED:
            answer_actions = self._fail(request, keyed_errors.not_run_error())
            record = release_record(claim, self._entry_id)
        else:
            answer_actions = self._fail(request, keyed_errors.outcome_unknown_error())
            record = unknown_record(claim, self._entry_id)
        return [*answer_actions, *self._maintenance.append_outcome(record, now)]

    def on_tombstone_reply(self, reply: TombstoneReply, now: float) -> list[Action]:
        """Process an agent's reply to a tombstone."""
        return self._maintenance.on_tombstone_reply(reply, now)

    def tick(self, now: float, wall_now_s: float) -> list[Action]:
        """Process timeouts, settlements and retried appends that are due."""
        timed_out = [
            action
            for request in self._register.all_requests()
            for action in self._check_timeout(request, now)
        ]
        return [*timed_out, *self._maintenance.tick(now, wall_now_s)]

    def _find_rejection(self, call: KeyedCall, wall_now_s: float) -> RelayError | None:
        others = self._register.find_by_key(call.key)
        if any(one.call.digest != call.digest for one in others):
            return keyed_errors.key_reused_error()
        if not self._is_in_window(call, wall_now_s):
            return expired_key_error()
        if call.dated_s is not None or self._fold.is_held(call.key):
            return None
        is_full = self._fold.undated_key_count >= MAX_REMEMBERED_KEYS
        if is_full or (
            self._maintenance.log_available and not self._fold.has_all_undated_keys
        ):
            return keyed_errors.undated_key_error()
        return None

    def _is_in_window(self, call: KeyedCall, wall_now_s: float) -> bool:
        if call.dated_s is None:
            return self._fold.is_held(call.key) or not self._fold.is_retired(call.key)
        return check_key_date(call.dated_s, wall_now_s, self._limits.window_s).is_ok()

    def _new_claim(self, call: KeyedCall, ticket: KeyTicket) -> ClaimRecord:
        return ClaimRecord(
            key=call.key,
            digest=call.digest,
            workspace=call.workspace,
            service=call.service,
            entry_id=self._entry_id,
            nonce=next(self._nonces),
            runner_id=call.runner_id,
            incarnation=ticket.incarnation,
            ticket_id=ticket.ticket_id,
            dated=call.dated_s is not None,
        )

    def _update_key(self, key: str, now: float) -> list[Action]:
        """Return the actions that follow from the current state of a key."""
        state = self._fold.get(key)
        for nonce in self._maintenance.drop_recorded(key):
            self._register.remove_abandoned(nonce)
        requests = self._register.find_by_key(key)
        for request in requests:
            if state is not None and request.nonce in state.void_nonces:
                self._register.drop_claim(request)
                request.enter_phase(KeyedPhase.WAITING, now)
        if state is None or state.claim is None:
            return self._start_oldest(requests, now)
        updated = chain.from_iterable(
            self._update_request(request, state, now) for request in requests
        )
        return [*updated, *self._release_abandoned(state, now)]

    def _start_oldest(
        self, requests: list[OpenKeyedRequest], now: float
    ) -> list[Action]:
        """Request a ticket for the oldest waiting request of an unclaimed key."""
        if not requests or any(one.phase is not KeyedPhase.WAITING for one in requests):
            return []
        first = requests[0]
        error: RelayError | None = None
        if not self._maintenance.log_available:
            error = keyed_errors.log_unavailable_error()
        elif first.call.dated_s is None and self._fold.is_retired(first.call.key):
            error = expired_key_error()
        if error is not None:
            ended = (self._fail(request, error) for request in requests)
            return list(chain.from_iterable(ended))
        first.enter_phase(KeyedPhase.TICKET, now)
        return [
            RequestTicket(first.call.request_id, first.call.runner_id, first.call.key)
        ]

    def _update_request(
        self, request: OpenKeyedRequest, state: KeyState, now: float
    ) -> list[Action]:
        """Return the actions for one request whose key is held by a claim."""
        assert state.claim is not None
        is_own = request.nonce == state.claim.nonce
        if is_own and request.phase is KeyedPhase.CLAIMING:
            return self._dispatch(request, state, now)
        if request.call.digest != state.claim.digest:
            return self._fail(request, keyed_errors.key_reused_error())
        if state.outcome is not None and not self._may_still_complete(request, state):
            return self._send_outcome(request, state.outcome)
        if request.phase is KeyedPhase.TICKET:
            request.enter_phase(KeyedPhase.WAITING, now)
        return []

    def _may_still_complete(self, request: OpenKeyedRequest, state: KeyState) -> bool:
        """Whether the request may still get its answer, although it was settled."""
        assert state.outcome is not None
        is_known = state.outcome.outcome is Outcome.DONE
        return request.phase is KeyedPhase.DISPATCHED and not is_known

    def _dispatch(
        self, request: OpenKeyedRequest, state: KeyState, now: float
    ) -> list[Action]:
        assert request.claim is not None
        claim = request.claim
        undated = request.call.dated_s is None
        may_be_duplicate = undated and not self._fold.has_all_undated_keys
        if (
            now >= request.ticket_deadline
            or state.outcome is not None
            or may_be_duplicate
        ):
            return [
                *self._fail(request, keyed_errors.claim_timeout_error()),
                *self._maintenance.append_outcome(
                    release_record(claim, self._entry_id), now
                ),
            ]
        request.enter_phase(KeyedPhase.DISPATCHED, now)
        return [
            SendDispatch(
                request.call.request_id,
                claim.nonce,
                claim.runner_id,
                claim.key,
                state.fence,
                claim.incarnation,
                claim.ticket_id,
            )
        ]

    def _send_outcome(
        self, request: OpenKeyedRequest, outcome: OutcomeRecord
    ) -> list[Action]:
        if outcome.outcome is not Outcome.DONE:
            return self._fail(request, keyed_errors.outcome_unknown_error())
        if not outcome.body_kept:
            return self._fail(request, keyed_errors.answer_not_kept_error())
        self._register.remove(request)
        return [
            SendAnswer(
                request.call.request_id,
                outcome.status,
                outcome.content_type,
                outcome.body,
            )
        ]

    def _settle_own_claim(self, request: OpenKeyedRequest, now: float) -> list[Action]:
        request.enter_phase(KeyedPhase.WAITING, now)
        state = self._fold.get(request.call.key)
        if state is None or state.final_outcome is not None:
            return self._update_key(request.call.key, now)
        return self._maintenance.settle(state, now)

    def _check_timeout(self, request: OpenKeyedRequest, now: float) -> list[Action]:
        waited_s = now - request.phase_since
        if request.phase is KeyedPhase.TICKET:
            is_late = waited_s >= self._limits.ticket_wait_s
            return self._fail(request, keyed_errors.not_run_error()) if is_late else []
        if request.phase is KeyedPhase.CLAIMING:
            is_late = waited_s >= self._limits.claim_wait_s
            return (
                self._fail(request, keyed_errors.claim_timeout_error())
                if is_late
                else []
            )
        if now < request.call.deadline:
            return []
        if request.phase is KeyedPhase.DISPATCHED:
            return self._fail(request, keyed_errors.outcome_unknown_error())
        return self._fail(request, keyed_errors.in_progress_error())

    def _release_abandoned(self, state: KeyState, now: float) -> list[Action]:
        """Release a claim that appeared in the log after this entry abandoned it."""
        assert state.claim is not None
        is_abandoned = self._register.is_abandoned(state.claim.nonce)
        if not is_abandoned or state.outcome is not None:
            return []
        return self._maintenance.append_outcome(
            release_record(state.claim, self._entry_id), now
        )

    def _is_running_here(self, state: KeyState) -> bool:
        """Whether this entry has dispatched a request with this claim."""
        assert state.claim is not None
        request = self._register.find_by_nonce(state.claim.nonce)
        return request is not None and request.phase is KeyedPhase.DISPATCHED

    def _fail(self, request: OpenKeyedRequest, error: RelayError) -> list[Action]:
        self._register.remove(request)
        return [SendError(request.call.request_id, error)]


def _keys_of(record: AnyClaimRecord) -> Iterable[str]:
    key = getattr(record, "key", None)
    return (key,) if isinstance(key, str) else ()


__all__ = ["KeyedRequests"]
