"""Connections of twisted's HTTP client that check the form of the status.

Twisted accepts whatever ``int`` does: signs, underscores and any number of digits.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from twisted.web._newclient import HTTP11ClientProtocol, ParseError
from twisted.web.client import HTTPConnectionPool, _HTTP11ClientFactory

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

_STATUS_LINE = re.compile(rb"[^ ]+ [1-5][0-9]{2}( .*)?", re.DOTALL)


class _StrictProtocol(HTTP11ClientProtocol):
    """Rejects a status that is not three digits from 100 to 599."""

    def request(self, request: Any) -> Deferred[Any]:
        """Send a request, and check the status line of its answer."""
        response = super().request(request)
        parser: Any = self._parser
        if parser is not None:
            parse_status = parser.statusReceived

            def check_status(line: bytes) -> None:
                if _STATUS_LINE.fullmatch(line) is None:
                    raise ParseError("the status is not valid", line)
                parse_status(line)

            parser.statusReceived = check_status
        return response


class _StrictFactory(_HTTP11ClientFactory):
    """Creates connections that check the status."""

    def buildProtocol(self, addr: Any) -> HTTP11ClientProtocol:
        """Return the protocol of a new connection."""
        return _StrictProtocol(self._quiescentCallback)


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of connections that check the status."""

    _factory = _StrictFactory


__all__ = ["StrictConnectionPool"]
