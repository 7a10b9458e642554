"""The operators' HTTP route for the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred

from corianderrelay.coordination.audit_reader import read_audit
from corianderrelay.state.audit import AuditFilter, AuditKind, AuditRecord
from corianderrelay.state.errors import InvalidRequestError, RelayError

from ..protocol.config_api import AuditReply
from .http_answer import write_error, write_json

if TYPE_CHECKING:
    from twisted.python.failure import Failure
    from twisted.web.server import Request

    from corianderrelay.coordination.log_client import LogClient

_MAX_RECORDS = 1000


class AuditRoute:
    """Returns the newest audit records, filtered by kind, workspace and time."""

    def __init__(self, log: LogClient) -> None:
        self._log = log

    def show(self, request: Request) -> None:
        """Handle ``GET /v1/audit``."""
        audit_filter = _parse_filter(request)
        reading = read_audit(self._log, audit_filter, _MAX_RECORDS)
        records = Deferred.fromCoroutine(reading)
        records.addCallback(_write_records, request)
        records.addErrback(_write_failure, request)


def _parse_filter(request: Request) -> AuditFilter:
    kind = _query_argument(request, "kind")
    try:
        return AuditFilter(
            kind=AuditKind(kind) if kind else None,
            workspace=_query_argument(request, "workspace"),
            since_s=_parse_seconds(_query_argument(request, "since_s")),
            until_s=_parse_seconds(_query_argument(request, "until_s")),
        )
    except ValueError as error:
        kinds = ", ".join(each.value for each in AuditKind)
        raise InvalidRequestError(
            f"the audit filter is invalid: {error}",
            f"pass times in seconds since 1970 and one of these kinds: {kinds}",
        ) from error


def _query_argument(request: Request, name: str) -> str | None:
    values = (request.args or {}).get(name.encode())
    return values[0].decode("utf-8", "replace") if values else None


def _parse_seconds(value: str | None) -> float | None:
    return None if value is None else float(value)


def _write_records(records: list[AuditRecord], request: Request) -> None:
    write_json(request, msgspec.json.encode(AuditReply(records)))


def _write_failure(failure: Failure, request: Request) -> None:
    failure.trap(RelayError)
    error: Any = failure.value
    write_error(request, error, "")


__all__ = ["AuditRoute"]
