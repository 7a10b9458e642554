"""Index of an entry's open keyed requests by request id, key and claim nonce."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from corianderrelay.state.claim_records import ClaimRecord

    from .keyed_actions import KeyedCall

_MAX_ABANDONED = 4096  # bounds the memory; claims beyond it are settled later


class KeyedPhase(Enum):
    """Progress of a keyed request: ticket, then claim, then dispatch."""

    WAITING = "waiting"
    TICKET = "ticket"
    CLAIMING = "claiming"
    DISPATCHED = "dispatched"


@dataclass(slots=True)
class OpenKeyedRequest:
    """A keyed request whose caller has no answer yet.

    :param phase_since: monotonic time in seconds at which the phase began.
    :param claim: the claim that this entry appended for the request, if any.
    :param ticket_deadline: monotonic time in seconds after which the claim's ticket has
        certainly expired.
    """

    call: KeyedCall
    phase: KeyedPhase
    phase_since: float
    claim: ClaimRecord | None = None
    ticket_deadline: float = 0.0

    @property
    def nonce(self) -> str:
        """The nonce of the request's claim; empty if it has no claim."""
        return self.claim.nonce if self.claim else ""

    def enter_phase(self, phase: KeyedPhase, now: float) -> None:
        """Change the phase and record when it began."""
        self.phase = phase
        self.phase_since = now


class KeyedRegister:
    """Holds the open requests, and the claims abandoned before they were read back."""

    __slots__ = ("_by_id", "_ids_by_key", "_id_by_nonce", "_abandoned")

    def __init__(self) -> None:
        self._by_id: dict[str, OpenKeyedRequest] = {}
        self._ids_by_key: dict[str, list[str]] = {}
        self._id_by_nonce: dict[str, str] = {}
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, call: KeyedCall, now: float) -> None:
        """Add a new request in phase ``WAITING``."""
        self._by_id[call.request_id] = OpenKeyedRequest(call, KeyedPhase.WAITING, now)
        self._ids_by_key.setdefault(call.key, []).append(call.request_id)

    def all_requests(self) -> list[OpenKeyedRequest]:
        """Return all open requests."""
        return list(self._by_id.values())

    def get(self, request_id: str) -> OpenKeyedRequest | None:
        """Return an open request by its id."""
        return self._by_id.get(request_id)

    def find_by_key(self, key: str) -> list[OpenKeyedRequest]:
        """Return the open requests of a key, oldest first."""
        return [self._by_id[one] for one in self._ids_by_key.get(key, ())]

    def find_by_nonce(self, nonce: str) -> OpenKeyedRequest | None:
        """Return the open request whose claim has this nonce."""
        return self._by_id.get(self._id_by_nonce.get(nonce, ""))

    def set_claim(self, request: OpenKeyedRequest, claim: ClaimRecord) -> None:
        """Store the claim that was made for a request."""
        request.claim = claim
        self._id_by_nonce[claim.nonce] = request.call.request_id

    def drop_claim(self, request: OpenKeyedRequest) -> None:
        """Remove a request's claim, which can no longer hold its key."""
        self._id_by_nonce.pop(request.nonce, None)
        request.claim = None

    def remove(self, request: OpenKeyedRequest) -> None:
        """Remove a request that has been answered."""
        if request.phase is KeyedPhase.CLAIMING:
            # The claim may still appear in the log and must then be released.
            self._abandon(request.nonce)
        self._id_by_nonce.pop(request.nonce, None)
        call = request.call
        del self._by_id[call.request_id]
        ids = self._ids_by_key[call.key]
        ids.remove(call.request_id)
        if not ids:
            del self._ids_by_key[call.key]

    def is_abandoned(self, nonce: str) -> bool:
        """Whether this entry abandoned the claim and will never dispatch it."""
        return nonce in self._abandoned

    def remove_abandoned(self, nonce: str) -> None:
        """Remove an abandoned claim that the log shows as settled."""
        self._abandoned.pop(nonce, None)

    def _abandon(self, nonce: str) -> None:
        self._abandoned[nonce] = None
        if len(self._abandoned) > _MAX_ABANDONED:
            self._abandoned.popitem(last=False)


__all__ = ["KeyedRegister", "OpenKeyedRequest", "KeyedPhase"]
