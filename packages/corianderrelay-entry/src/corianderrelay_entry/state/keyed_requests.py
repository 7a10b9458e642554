"""Decides what this entry does for requests that must not be repeated.

Each method takes one event and returns the actions that it calls for. A request goes
ticket -> claim -> dispatch; it is dispatched only after its own claim was read back as
the first for its key.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from corianderrelay.state.attempt_outcome import AttemptOutcome, RefusalReason
from corianderrelay.state.claim_keys import check_key_date, expired_key_error
from corianderrelay.state.claim_records import ClaimRecord, Outcome
from corianderrelay.state.remembered_keys import MAX_REMEMBERED_KEYS

from . import keyed_errors
from .claim_settlement import done_record, release_record, unknown_record
from .claim_upkeep import ClaimUpkeep
from .keyed_actions import (
    Action,
    AppendRecord,
    AskTicket,
    KeyedCall,
    SendDispatch,
    TellAnswer,
    TellError,
)
from .keyed_register import KeyedRegister, OpenRequest, Phase

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from corianderrelay.state.claim_messages import KeyTicket, TombstoneReply
    from corianderrelay.state.claim_records import AnyClaimRecord, OutcomeRecord
    from corianderrelay.state.claims import ClaimFold, KeyState
    from corianderrelay.state.errors import RelayError

    from .keyed_limits import KeyedLimits
    from .unrecorded_outcomes import OutcomeOrRelease

_MS_PER_S = 1000.0
_NOT_STARTED = frozenset(
    {RefusalReason.LEAVING, RefusalReason.OVERLOADED, RefusalReason.TICKET_EXPIRED}
)


class KeyedRequests:
    """The keyed requests of this entry whose keys lie in one claims stream.

    :param fold: the stream's state; records reach it through :meth:`advance` only.
    :param nonces: yields a new name for each claim; no two entries yield the same.
    """

    __slots__ = (
        "_entry_id",
        "_limits",
        "_fold",
        "_nonces",
        "_register",
        "_upkeep",
    )

    def __init__(
        self, entry_id: str, limits: KeyedLimits, fold: ClaimFold, nonces: Iterator[str]
    ) -> None:
        self._entry_id = entry_id
        self._limits = limits
        self._fold = fold
        self._nonces = nonces
        self._register = KeyedRegister()
        self._upkeep = ClaimUpkeep(entry_id, limits, fold, self._is_at_work)

    @property
    def fold(self) -> ClaimFold:
        """What this entry has read of the stream."""
        return self._fold

    @property
    def is_idle(self) -> bool:
        """Whether nothing is open here: no request and no record to append."""
        return not len(self._register) and self._upkeep.is_idle

    def submit(self, call: KeyedCall, now: float, wall_now_s: float) -> list[Action]:
        """Take a request that must not be repeated.

        :param now: monotonic time in seconds.
        :param wall_now_s: wall-clock time in seconds since 1970.
        """
        refusal = self._refusal(call, wall_now_s)
        if refusal is not None:
            return [TellError(call.request_id, refusal)]
        self._register.add(call, now)
        return self._review(call.key, now)

    def ticket_granted(
        self, request_id: str, ticket: KeyTicket, now: float, wall_now_s: float
    ) -> list[Action]:
        """Claim the key for the incarnation that gave the ticket."""
        request = self._register.get(request_id)
        if request is None or request.phase is not Phase.TICKET:
            return []
        if not self._upkeep.log_up:
            return self._end(request, keyed_errors.log_out_error())
        # This process may have been paused; from here on the ticket bounds the time.
        if not self._is_in_window(request.call, wall_now_s):
            return self._end(request, expired_key_error())
        # The ticket's life began after it was asked for, so this ends no later.
        request.ticket_deadline = request.phase_since + ticket.lifetime_ms / _MS_PER_S
        claim = self._new_claim(request.call, ticket)
        self._register.set_claim(request, claim)
        request.enter(Phase.CLAIMING, now)
        return [AppendRecord(claim)]

    def ticket_refused(self, request_id: str) -> list[Action]:
        """Tell the caller that the agent takes no work now."""
        request = self._register.get(request_id)
        if request is None or request.phase is not Phase.TICKET:
            return []
        return self._end(request, keyed_errors.not_run_error())

    def append_failed(self, record: AnyClaimRecord) -> list[Action]:
        """Note that an append had no effect; outcomes are appended again later."""
        if not isinstance(record, ClaimRecord):
            return []
        request = self._register.of_claim(record.nonce)
        if request is None or request.phase is not Phase.CLAIMING:
            return []
        return self._end(request, keyed_errors.log_out_error())

    def log_lost(self) -> None:
        """Note that the log cannot be read: new requests are refused at once."""
        self._upkeep.log_up = False

    def advance(
        self, records: Iterable[tuple[int, int, AnyClaimRecord]], now: float
    ) -> list[Action]:
        """Take records just read, each with its offset and its index there."""
        self._upkeep.log_up = True
        keys: dict[str, None] = {}
        for offset, index, record in records:
            self._fold.apply(offset, index, record, now)
            keys |= dict.fromkeys(_keys_of(record))
        return list(chain.from_iterable(self._review(key, now) for key in keys))

    def refused(self, nonce: str, reason: RefusalReason, now: float) -> list[Action]:
        """Take the agent's refusal of the dispatch under the claim ``nonce``."""
        request = self._register.of_claim(nonce)
        if request is None or request.phase is not Phase.DISPATCHED:
            return []
        if reason not in _NOT_STARTED:
            # Another incarnation, or a copy of this dispatch, may have run it.
            return self._settle_own(request, now)
        assert request.claim is not None
        return [
            *self._end(request, keyed_errors.not_run_error()),
            *self._upkeep.record(release_record(request.claim, self._entry_id), now),
        ]

    def ended(
        self,
        nonce: str,
        outcome: AttemptOutcome,
        status: int,
        content_type: str,
        body: bytes,
        now: float,
    ) -> list[Action]:
        """Take the end of a dispatched request, with its whole answer if done."""
        request = self._register.of_claim(nonce)
        if request is None or request.claim is None:
            return []
        claim = request.claim
        record: OutcomeOrRelease
        if outcome is AttemptOutcome.DONE:
            self._register.remove(request)
            tell: list[Action] = [
                TellAnswer(request.call.request_id, status, content_type, body)
            ]
            record = done_record(claim, self._entry_id, status, content_type, body)
        elif outcome is AttemptOutcome.NOT_STARTED:
            tell = self._end(request, keyed_errors.not_run_error())
            record = release_record(claim, self._entry_id)
        else:
            tell = self._end(request, keyed_errors.unknown_error())
            record = unknown_record(claim, self._entry_id)
        return [*tell, *self._upkeep.record(record, now)]

    def tombstoned(self, answer: TombstoneReply, now: float) -> list[Action]:
        """Take an agent's answer about a claim that is being settled."""
        return self._upkeep.tombstoned(answer, now)

    def tick(self, now: float, wall_now_s: float) -> list[Action]:
        """Do what is due: waiting times, settlements, records to append again."""
        timed_out = [
            action
            for request in self._register.all()
            for action in self._check_wait(request, now)
        ]
        return [*timed_out, *self._upkeep.tick(now, wall_now_s)]

    def _refusal(self, call: KeyedCall, wall_now_s: float) -> RelayError | None:
        others = self._register.of_key(call.key)
        if any(one.call.digest != call.digest for one in others):
            return keyed_errors.key_reused_error()
        if not self._is_in_window(call, wall_now_s):
            return expired_key_error()
        if call.dated_s is not None or self._fold.is_held(call.key):
            return None
        full = self._fold.undated_key_count >= MAX_REMEMBERED_KEYS
        if full or (self._upkeep.log_up and not self._fold.has_all_undated_keys):
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

    def _review(self, key: str, now: float) -> list[Action]:
        """Act on what the fold says of a key now."""
        state = self._fold.get(key)
        for nonce in self._upkeep.drop_recorded(key):
            self._register.forget_abandoned(nonce)
        requests = self._register.of_key(key)
        for request in requests:
            if state is not None and request.nonce in state.void_nonces:
                self._register.drop_claim(request)
                request.enter(Phase.WAITING, now)
        if state is None or state.claim is None:
            return self._start_first(requests, now)
        followed = chain.from_iterable(
            self._follow(request, state, now) for request in requests
        )
        return [*followed, *self._release_abandoned(state, now)]

    def _start_first(self, requests: list[OpenRequest], now: float) -> list[Action]:
        """Let the first waiting request of a free key try to claim it."""
        if not requests or any(one.phase is not Phase.WAITING for one in requests):
            return []
        first = requests[0]
        error: RelayError | None = None
        if not self._upkeep.log_up:
            error = keyed_errors.log_out_error()
        elif first.call.dated_s is None and self._fold.is_retired(first.call.key):
            error = expired_key_error()
        if error is not None:
            ended = (self._end(request, error) for request in requests)
            return list(chain.from_iterable(ended))
        first.enter(Phase.TICKET, now)
        return [AskTicket(first.call.request_id, first.call.runner_id, first.call.key)]

    def _follow(
        self, request: OpenRequest, state: KeyState, now: float
    ) -> list[Action]:
        """Act for one request on the claim that holds its key."""
        assert state.claim is not None
        is_own = request.nonce == state.claim.nonce
        if is_own and request.phase is Phase.CLAIMING:
            return self._dispatch(request, state, now)
        if request.call.digest != state.claim.digest:
            return self._end(request, keyed_errors.key_reused_error())
        if state.outcome is not None and not self._may_know_more(request, state):
            return self._tell_outcome(request, state.outcome)
        if request.phase is Phase.TICKET:
            request.enter(Phase.WAITING, now)
        return []

    def _may_know_more(self, request: OpenRequest, state: KeyState) -> bool:
        """Whether the request's own answer may still come, though others gave up."""
        assert state.outcome is not None
        is_known = state.outcome.outcome is Outcome.DONE
        return request.phase is Phase.DISPATCHED and not is_known

    def _dispatch(
        self, request: OpenRequest, state: KeyState, now: float
    ) -> list[Action]:
        assert request.claim is not None
        claim = request.claim
        undated = request.call.dated_s is None
        is_unsure = undated and not self._fold.has_all_undated_keys
        if now >= request.ticket_deadline or state.outcome is not None or is_unsure:
            return [
                *self._end(request, keyed_errors.claim_late_error()),
                *self._upkeep.record(release_record(claim, self._entry_id), now),
            ]
        request.enter(Phase.DISPATCHED, now)
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

    def _tell_outcome(
        self, request: OpenRequest, outcome: OutcomeRecord
    ) -> list[Action]:
        if outcome.outcome is not Outcome.DONE:
            return self._end(request, keyed_errors.unknown_error())
        if not outcome.body_kept:
            return self._end(request, keyed_errors.answer_not_kept_error())
        self._register.remove(request)
        return [
            TellAnswer(
                request.call.request_id,
                outcome.status,
                outcome.content_type,
                outcome.body,
            )
        ]

    def _settle_own(self, request: OpenRequest, now: float) -> list[Action]:
        request.enter(Phase.WAITING, now)
        state = self._fold.get(request.call.key)
        if state is None or state.final_outcome is not None:
            return self._review(request.call.key, now)
        return self._upkeep.settle(state, now)

    def _check_wait(self, request: OpenRequest, now: float) -> list[Action]:
        waited_s = now - request.phase_since
        if request.phase is Phase.TICKET:
            late = waited_s >= self._limits.ticket_wait_s
            return self._end(request, keyed_errors.not_run_error()) if late else []
        if request.phase is Phase.CLAIMING:
            late = waited_s >= self._limits.claim_wait_s
            return self._end(request, keyed_errors.claim_late_error()) if late else []
        if now < request.call.deadline:
            return []
        if request.phase is Phase.DISPATCHED:
            return self._end(request, keyed_errors.unknown_error())
        return self._end(request, keyed_errors.in_progress_error())

    def _release_abandoned(self, state: KeyState, now: float) -> list[Action]:
        """Free the key of a claim that turned up after it was given up."""
        assert state.claim is not None
        is_abandoned = self._register.is_abandoned(state.claim.nonce)
        if not is_abandoned or state.outcome is not None:
            return []
        return self._upkeep.record(release_record(state.claim, self._entry_id), now)

    def _is_at_work(self, state: KeyState) -> bool:
        """Whether a request of this entry is dispatched under this claim."""
        assert state.claim is not None
        request = self._register.of_claim(state.claim.nonce)
        return request is not None and request.phase is Phase.DISPATCHED

    def _end(self, request: OpenRequest, error: RelayError) -> list[Action]:
        self._register.remove(request)
        return [TellError(request.call.request_id, error)]


def _keys_of(record: AnyClaimRecord) -> Iterable[str]:
    key = getattr(record, "key", None)
    return (key,) if isinstance(key, str) else ()


__all__ = ["KeyedRequests"]
