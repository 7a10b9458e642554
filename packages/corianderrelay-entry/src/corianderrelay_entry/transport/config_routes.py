"""The operators' routes for the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from result import Err

from corianderrelay.protocol.checked_json import decode_checked
from corianderrelay.state.config_refusals import invalid_document_error
from corianderrelay.state.errors import NotFoundError, RelayError

from ..protocol.config_api import (
    ConfigReply,
    HistoryReply,
    PublishReply,
    PublishRequest,
    history_entry,
)
from .http_answer import write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure
    from twisted.web.server import Request

    from corianderrelay.coordination.config_follower import ConfigFollower


class ConfigRoutes:
    """Shows and publishes the configuration.

    :param new_nonce: returns a new unique name at each call.
    """

    def __init__(self, follower: ConfigFollower, new_nonce: Callable[[], str]) -> None:
        self._follower = follower
        self._new_nonce = new_nonce

    def show(self, request: Request) -> None:
        """Answer ``GET /v1/config``."""
        held = self._follower.fold.in_force
        if held is None:
            raise NotFoundError(
                "no configuration is in force yet",
                "publish one with `corianderrelay config publish`",
            )
        reply = ConfigReply(held.version, held.author, held.time_s, held.document)
        write_json(request, msgspec.json.encode(reply))

    def history(self, request: Request) -> None:
        """Answer ``GET /v1/config/history``."""
        entries = [history_entry(one) for one in self._follower.fold.history()]
        write_json(request, msgspec.json.encode(HistoryReply(entries)))

    def publish(self, request: Request) -> None:
        """Answer ``POST /v1/config`` once the document's fate is known."""
        body: Any = request.content
        decoded = decode_checked(body.read(), PublishRequest)
        if isinstance(decoded, Err):
            raise invalid_document_error(decoded.err_value)
        order = decoded.ok_value
        published = self._follower.publish(
            order.base, order.document, order.author, self._new_nonce(), order.note
        )
        published.addCallback(_write_version, request)
        published.addErrback(_write_failure, request)


def _write_version(version: int, request: Request) -> None:
    write_json(request, msgspec.json.encode(PublishReply(version)))


def _write_failure(failure: Failure, request: Request) -> None:
    failure.trap(RelayError)
    error: Any = failure.value
    write_error(request, error, "")


__all__ = ["ConfigRoutes"]
