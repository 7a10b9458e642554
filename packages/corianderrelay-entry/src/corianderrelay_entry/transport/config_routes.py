"""The operators' HTTP routes for the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from result import Err

from corianderrelay.protocol.checked_json import decode_checked
from corianderrelay.state.config_errors import invalid_document_error
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
    """Returns and publishes configuration documents.

    :param new_nonce: returns a unique identifier for a publication.
    """

    def __init__(self, follower: ConfigFollower, new_nonce: Callable[[], str]) -> None:
        self._follower = follower
        self._new_nonce = new_nonce

    def show(self, request: Request) -> None:
        """Handle ``GET /v1/config``."""
        active = self._follower.fold.active_version
        if active is None:
            raise NotFoundError(
                "no configuration is active yet",
                "publish one with `corianderrelay config publish`",
            )
        reply = ConfigReply(
            active.version, active.author, active.time_s, active.document
        )
        write_json(request, msgspec.json.encode(reply))

    def history(self, request: Request) -> None:
        """Handle ``GET /v1/config/history``."""
        entries = [history_entry(verdict) for verdict in self._follower.fold.history()]
        write_json(request, msgspec.json.encode(HistoryReply(entries)))

    def publish(self, request: Request) -> None:
        """Handle ``POST /v1/config``; respond when publishing succeeds or fails."""
        body: Any = request.content
        decoded = decode_checked(body.read(), PublishRequest)
        if isinstance(decoded, Err):
            raise invalid_document_error(decoded.err_value)
        publication = decoded.ok_value
        published = self._follower.publish(
            publication.base,
            publication.document,
            publication.author,
            self._new_nonce(),
            publication.note,
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
