"""HTTP adapter for an engine's expert maps; only this module uses these routes.

Engines identify a map by a number: the integer value of its hexadecimal digest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from corianderrelay.state.errors import FencedError, UnavailableError
from corianderrelay.state.group_map import decode_expert_map
from corianderrelay.state.switch_types import (
    EngineMapStatus,
    HoldOrder,
    ReleaseOrder,
    StageOrder,
    SwitchOrder,
)
from corianderrelay.transport.http_client import HttpClient

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from corianderrelay.state.switch_types import MapOrder
    from corianderrelay.transport.http_client import HttpResponse

_TIMEOUT_S = 2.0
_OK = 200
_CONFLICT = 409
_DIGEST_FORMAT = "016x"


class _StatusResponse(msgspec.Struct):
    incarnation: int
    next_step: int
    holds: list[int]
    staged: list[int]
    map_by_step: list[tuple[int, int]]


class _PopularityResponse(msgspec.Struct):
    tokens_by_expert: tuple[int, ...]


class _OrderRequest(msgspec.Struct, omit_defaults=True):
    map: int = -1
    hold_at: int = -1
    step: int = -1
    experts: list[tuple[int, int]] = msgspec.field(default_factory=list)


_Response = TypeVar("_Response", bound=msgspec.Struct)


class HttpMapEngine:
    """Implements :class:`~corianderrelay.coordination.group_link.MapEngine`.

    :param base_url: for example ``http://127.0.0.1:8000``.
    :param rank: the engine's rank; determines which experts of a map it loads.
    """

    def __init__(self, reactor: ReactorBase, base_url: str, rank: int) -> None:
        self._client = HttpClient(reactor, base_url)
        self._rank = rank

    def map_status(self) -> Deferred[EngineMapStatus]:
        """Fetch the status of the engine's maps; see ``MapEngine``."""
        answer = self._client.fetch("GET", "/group/status", timeout_s=_TIMEOUT_S)
        return answer.addCallbacks(_parse_status, _raise_no_status)

    def order_map(self, order: MapOrder, fence: int) -> Deferred[EngineMapStatus]:
        """Send an order and return the resulting status; see ``MapEngine``."""
        action, body = self._route_and_body(order)
        answer = self._client.fetch(
            "POST",
            f"/group/{action}",
            timeout_s=_TIMEOUT_S,
            headers={
                "Content-Type": "application/json",
                "X-Fencing-Token": str(fence),
            },
            body=msgspec.json.encode(body),
        )
        return answer.addCallbacks(_parse_status, _raise_no_status)

    def popularity(self) -> Deferred[tuple[int, ...]]:
        """Return the number of tokens that each expert received since the last call.

        The result is empty if the engine returned no report.

        :raises UnavailableError: the report is malformed.
        """
        answer = self._client.fetch("GET", "/group/popularity", timeout_s=_TIMEOUT_S)
        return answer.addCallbacks(_parse_popularity, _empty_popularity)

    def _route_and_body(self, order: MapOrder) -> tuple[str, _OrderRequest]:
        match order:
            case StageOrder():
                hosted = decode_expert_map(order.group_map).experts_by_rank[self._rank]
                number = _digest_to_number(order.group_map.digest)
                experts = [(0, expert) for expert in hosted]
                return "stage", _OrderRequest(map=number, experts=experts)
            case HoldOrder():
                return "arm", _OrderRequest(hold_at=order.step)
            case ReleaseOrder():
                return "release", _OrderRequest(hold_at=order.step)
            case SwitchOrder():
                number = _digest_to_number(order.digest)
                return "activate", _OrderRequest(map=number, step=order.step)


def _digest_to_number(digest: str) -> int:
    return int(digest, 16)


def _number_to_digest(number: int) -> str:
    return format(number, _DIGEST_FORMAT)


def _parse_status(answer: HttpResponse) -> EngineMapStatus:
    if answer.status == _CONFLICT:
        raise FencedError(
            "the engine has accepted a higher fencing token before",
            "read the groups stream: another coordinator has taken over",
        )
    status = _decode(answer, _StatusResponse)
    return EngineMapStatus(
        status.incarnation,
        status.next_step,
        frozenset(status.holds),
        frozenset(map(_number_to_digest, status.staged)),
        {step: _number_to_digest(number) for step, number in status.map_by_step},
    )


def _parse_popularity(answer: HttpResponse) -> tuple[int, ...]:
    if answer.status != _OK:
        return ()
    return _decode(answer, _PopularityResponse).tokens_by_expert


def _decode(answer: HttpResponse, kind: type[_Response]) -> _Response:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise _no_status_error(f"its answer is malformed: {error}") from error


def _no_status_error(reason: str) -> UnavailableError:
    return UnavailableError(
        f"the engine returned no status of its maps: {reason}",
        "check that it runs at `endpoint.url` as a rank of the group",
    )


def _raise_no_status(failure: Failure) -> EngineMapStatus:
    raise _no_status_error(failure.getErrorMessage())


def _empty_popularity(failure: Failure) -> tuple[int, ...]:
    return ()


__all__ = ["HttpMapEngine"]
