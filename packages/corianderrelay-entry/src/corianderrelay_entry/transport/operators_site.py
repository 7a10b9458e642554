"""Routes that operators use; each needs the operators' token."""

from __future__ import annotations

import hmac
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

from ..protocol.replies import EntryStatusReply, RunnerStatus, WorkStateReply
from .config_routes import ConfigRoutes
from .http_answer import write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from ..entry import Entry


@implementer(IResource)
class OperatorsSite(Resource):
    """All routes of operators; each is one method.

    :param token: what operators must send.
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
        }

    def render(self, request: Request) -> int:
        """Answer one request; called by Twisted."""
        try:
            self._route(request)
        except RelayError as error:
            write_error(request, error, "")
        return NOT_DONE_YET

    def _route(self, request: Request) -> None:
        self._check_token(request)
        path = request.path.decode("latin-1")
        method = request.method.decode("latin-1")
        allowed = [one for known, one in self._handlers_by_route if known == path]
        if not allowed:
            raise NotFoundError(
                f"there is no route {path!r}", "see the operators' pages"
            )
        if method not in allowed:
            raise MethodNotAllowedError(
                "the method is not allowed here",
                f"use {' or '.join(allowed)} for this route",
            )
        self._handlers_by_route[path, method](request)

    def _check_token(self, request: Request) -> None:
        header = (request.getHeader(b"authorization") or b"").decode("latin-1")
        token = header.removeprefix("Bearer ").strip()
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            raise UnauthorizedError(
                "the operators' token is missing or wrong",
                "send 'Authorization: Bearer TOKEN' with the token of the settings",
            )

    def _status(self, request: Request) -> None:
        entry = self._entry
        now = entry.clock.seconds()
        runners = [
            RunnerStatus(
                instance_id=agent.runner.instance_id,
                zone=agent.runner.zone,
                service=agent.runner.service,
                group=agent.runner.group,
                rank=agent.runner.rank,
                running=agent.runner.running,
                queued=agent.runner.queued,
                leaving=agent.runner.leaving,
                engine_up=agent.runner.engine_up,
                report_age_s=round(now - agent.runner.reported_s, 3),
            )
            for _, agent in sorted(entry.relay.agents_by_id.items())
        ]
        status = EntryStatusReply(
            instance_id=entry.settings.instance_id,
            zone=entry.settings.zone,
            ready=entry.ready,
            draining=entry.draining,
            config_version=entry.config.version,
            open_requests=entry.open_requests,
            runners=runners,
        )
        write_json(request, msgspec.json.encode(status))

    def _drain(self, request: Request) -> None:
        self._entry.drain("operator")
        write_json(request, msgspec.json.encode(WorkStateReply("draining")))


__all__ = ["OperatorsSite"]
