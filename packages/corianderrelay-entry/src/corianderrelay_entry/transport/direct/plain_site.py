"""Serves small complete answers, such as readiness, on the HTTP server for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.catalog import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...coordination.direct.byte_account import ByteAccount
    from .caller_http import CallerConnection, CallerRequest

PlainAnswer = tuple[int, list[tuple[bytes, bytes]], bytes]


class _AnsweredRequest:
    """A request that was answered at once."""

    def on_caller_disconnected(self) -> None:
        """Do nothing: there is no work to cancel."""


class PlainSite:
    """Answers each request with the result of a function.

    :param answer: takes method and target, returns status, headers and body.
    :param account: bounds the bytes of uploads and unread answers.
    """

    draining = False
    limits = CallerLimits()

    def __init__(
        self,
        answer: Callable[[bytes, bytes], PlainAnswer],
        account: ByteAccount | None = None,
    ) -> None:
        self._answer = answer
        self.account = account

    def handle(
        self, request: CallerRequest, connection: CallerConnection
    ) -> _AnsweredRequest:
        """Answer a request at once."""
        connection.answer(*self._answer(request.method, request.target))
        return _AnsweredRequest()

    def on_malformed_request(self, status: int, reason: str) -> None:
        """Do nothing: only malformed requests at the callers' address are logged."""


__all__ = ["PlainAnswer", "PlainSite"]
