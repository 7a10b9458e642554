"""Keeps the latest requests, so that callers can query their status."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .open_request import OpenRequest


class RequestRegister:
    """Requests by id; the oldest are evicted when a limit is exceeded.

    :param limit: maximum number of requests that are kept.
    """

    __slots__ = ("_limit", "_requests_by_id")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._requests_by_id: OrderedDict[str, OpenRequest] = OrderedDict()

    def add(self, request: OpenRequest) -> None:
        """Add a request, and evict the oldest ones beyond the limit."""
        self._requests_by_id[request.call.request_id] = request
        while len(self._requests_by_id) > self._limit:
            self._requests_by_id.popitem(last=False)

    def find(self, request_id: str, workspace: str) -> OpenRequest | None:
        """Return a request by id; ``None`` if it belongs to another workspace."""
        request = self._requests_by_id.get(request_id)
        if request is None or request.call.workspace != workspace:
            return None
        return request


__all__ = ["RequestRegister"]
