"""Remembers the latest requests of each workspace, so that callers can ask of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .open_request import OpenRequest


class RequestRegister:
    """A bounded register of requests.

    :param limit: how many requests are remembered.
    """

    __slots__ = ("_limit", "_requests_by_id")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._requests_by_id: OrderedDict[str, OpenRequest] = OrderedDict()

    def add(self, request: OpenRequest) -> None:
        """Remember a request, and forget the oldest beyond the limit."""
        self._requests_by_id[request.call.request_id] = request
        while len(self._requests_by_id) > self._limit:
            self._requests_by_id.popitem(last=False)

    def find(self, request_id: str, workspace: str) -> OpenRequest | None:
        """Return a request of the workspace; another workspace's is not found."""
        request = self._requests_by_id.get(request_id)
        if request is None or request.call.workspace != workspace:
            return None
        return request


__all__ = ["RequestRegister"]
