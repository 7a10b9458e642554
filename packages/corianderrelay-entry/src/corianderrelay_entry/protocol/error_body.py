"""Encodes errors as JSON for callers and operators."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError


class ErrorDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error, its remedy, and whether the request was executed."""

    kind: str
    message: str
    remedy: str
    ran: str
    request_id: str = ""
    retry_after_s: float | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of every error response that the entry itself generates."""

    error: ErrorDetail


def error_body(error: RelayError, request_id: str) -> bytes:
    """Return the JSON body of an error."""
    detail = ErrorDetail(
        kind=error.kind,
        message=error.message,
        remedy=error.remedy,
        ran=error.ran.value,
        request_id=request_id,
        retry_after_s=error.retry_after_s,
    )
    return msgspec.json.encode(ErrorBody(detail))


def retry_after_header(error: RelayError) -> bytes | None:
    """Return the ``Retry-After`` value in whole seconds; ``None`` if none is set."""
    if error.retry_after_s is None:
        return None
    return str(max(1, math.ceil(error.retry_after_s))).encode()


__all__ = ["error_body", "retry_after_header"]
