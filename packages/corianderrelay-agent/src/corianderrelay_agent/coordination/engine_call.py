"""Builds the HTTP request to the engine for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .engine import EngineCall

if TYPE_CHECKING:
    from ..state.attempt import AttemptOrder


def build_engine_call(order: AttemptOrder) -> EngineCall:
    """Return the engine call for an attempt.

    A resumed attempt gets a ``resume_from`` field in its JSON body: the number of
    answer tokens that the caller already has.
    """
    return EngineCall(
        order.method, order.path, order.content_type, _body(order), _headers(order)
    )


def _headers(order: AttemptOrder) -> dict[str, str]:
    headers = {"X-Request-Id": order.request_id, "X-Priority": str(order.priority)}
    if order.key:
        headers["Idempotency-Key"] = order.key
    return headers


def _body(order: AttemptOrder) -> bytes:
    if not order.resume_from:
        return order.body
    fields = msgspec.json.decode(order.body, type=dict[str, msgspec.Raw])
    fields["resume_from"] = msgspec.Raw(str(order.resume_from).encode())
    return msgspec.json.encode(fields)


__all__ = ["build_engine_call"]
