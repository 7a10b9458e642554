"""HTTP routes for operators; all require the operators' token."""

from __future__ import annotations

import hmac
from functools import cached_property
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.web.resource import IResource, Resource
from twisted.web.server import NOT_DONE_YET
from zope.interface import implementer

from corianderrelay.state.errors import (
    MethodNotAllowedError,
    NotFoundError,
    RelayError,
    UnauthorizedError,
)

from ..protocol.replies import StateReply
from .audit_route import AuditRoute
from .config_routes import ConfigRoutes
from .entry_status import entry_status
from .http_answer import write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from ..entry import Entry
    from .console_site import ConsoleSite

CONSOLE_PREFIX = "/console"


@implementer(IResource)
class OperatorsSite(Resource):
    """Dispatches operators' requests to the handlers of their routes.

    :param token: bearer token that requests must carry.
    """

    isLeaf = True

    def __init__(self, entry: Entry, token: str) -> None:
        super().__init__()
        self._entry = entry
        self._token = token
        config = ConfigRoutes(entry.config_follower, entry.new_id)
        self._handlers_by_route: dict[tuple[str, str], Callable[[Any], None]] = {
            ("/v1/status", "GET"): self._status,
            ("/v1/drain", "POST"): self._drain,
            ("/v1/config", "GET"): config.show,
            ("/v1/config", "POST"): config.publish,
            ("/v1/config/history", "GET"): config.history,
            ("/v1/audit", "GET"): AuditRoute(entry.log).show,
        }

    @cached_property
    def _console(self) -> ConsoleSite:
        # Imported on first use, because the page templates take memory.
        from .console_site import ConsoleSite

        return ConsoleSite(self._entry, self._token)

    def render(self, request: Request) -> int:
        """Handle one request; called by Twisted."""
        try:
            self._route(request)
        except RelayError as error:
            write_error(request, error, "")
        return NOT_DONE_YET

    def _route(self, request: Request) -> None:
        path = request.path.decode("latin-1")
        if path.startswith(CONSOLE_PREFIX):
            self._console.render(request)
            return
        self._check_token(request)
        method = request.method.decode("latin-1")
        allowed_methods = [
            route_method
            for route_path, route_method in self._handlers_by_route
            if route_path == path
        ]
        if not allowed_methods:
            raise NotFoundError(
                f"route {path!r} does not exist",
                "see the operators' documentation",
            )
        if method not in allowed_methods:
            raise MethodNotAllowedError(
                "this route does not accept the method of the request",
                f"use {' or '.join(allowed_methods)} for this route",
            )
        self._handlers_by_route[path, method](request)

    def _check_token(self, request: Request) -> None:
        header = (request.getHeader(b"authorization") or b"").decode("latin-1")
        token = header.removeprefix("Bearer ").strip()
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            raise UnauthorizedError(
                "the operators' token is missing or wrong",
                "send 'Authorization: Bearer TOKEN' with this entry's operator token",
            )

    def _status(self, request: Request) -> None:
        write_json(request, msgspec.json.encode(entry_status(self._entry)))

    def _drain(self, request: Request) -> None:
        self._entry.drain("operator")
        write_json(request, msgspec.json.encode(StateReply("draining")))


__all__ = ["OperatorsSite"]
