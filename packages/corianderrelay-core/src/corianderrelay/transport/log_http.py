"""HTTP client of the log service; only this module depends on its HTTP API."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from ..coordination.log_client import LogEntry, LogPage
from ..state.errors import LogAnswerLostError, LogThrottledError, LogUnavailableError
from .http_client import (
    HttpClient,
    HttpNotSentError,
    HttpResponse,
    HttpResponseLostError,
)

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0
_OK = 200
_TOO_MANY_REQUESTS = 429
_NO_EFFECT_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 429, 503})


class _AppendBody(msgspec.Struct):
    offset: int


class _PageBody(msgspec.Struct):
    first: int
    next: int
    entries: list[tuple[int, bytes]]


class HttpLogClient:
    """Implements :class:`~..coordination.log_client.LogClient`.

    :param base_url: for example ``http://10.0.0.5:7000``.
    :param timeout_s: timeout of a call in seconds; a read adds its ``wait_s`` to it.
    """

    def __init__(
        self, reactor: ReactorBase, base_url: str, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._client = HttpClient(reactor, base_url)
        self._timeout_s = timeout_s

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append one payload and return its offset.

        :raises LogThrottledError: nothing was appended; the append rate is too high.
        :raises LogUnavailableError: nothing was appended.
        :raises LogAnswerLostError: the payload may have been appended.
        """
        response = self._client.fetch(
            "POST",
            f"/streams/{quote(stream, safe='')}",
            timeout_s=self._timeout_s,
            body=payload,
        )
        return response.addCallbacks(_appended_offset, _raise_append_failed)

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read from ``offset``; wait up to ``wait_s`` seconds for a first entry.

        :raises LogUnavailableError: no page was read.
        """
        response = self._client.fetch(
            "GET",
            f"/streams/{quote(stream, safe='')}?offset={offset}&wait_s={wait_s:g}",
            timeout_s=self._timeout_s + wait_s,
        )
        return response.addCallbacks(_decode_page, _raise_read_failed)

    def close(self) -> Deferred[None]:
        """Close the idle persistent connections."""
        return self._client.close()


def _appended_offset(response: HttpResponse) -> int:
    if response.status in _NO_EFFECT_STATUSES:
        raise _unavailable(response)
    try:
        return _decode_appended(response)
    except ValueError as error:
        raise _response_lost(f"status {response.status}: {error}") from error


def _decode_appended(response: HttpResponse) -> int:
    if response.status != _OK:
        raise ValueError("expected status 200 for an append")
    return msgspec.json.decode(response.body, type=_AppendBody).offset


def _raise_append_failed(failure: Failure) -> Failure:
    if failure.check(HttpNotSentError):
        raise _unreachable(failure)
    if failure.check(HttpResponseLostError):
        raise _response_lost(failure.getErrorMessage())
    return failure


def _decode_page(response: HttpResponse) -> LogPage:
    if response.status != _OK:
        raise _unavailable(response)
    try:
        page = msgspec.msgpack.decode(response.body, type=_PageBody)
    except ValueError as error:
        raise LogUnavailableError(
            f"the log service returned a malformed page: {error}",
            "check that `platform.log_url` is the address of the log service",
            retry_after_s=_RETRY_AFTER_S,
        ) from error
    entries = tuple(LogEntry(offset, payload) for offset, payload in page.entries)
    return LogPage(page.first, page.next, entries)


def _raise_read_failed(failure: Failure) -> Failure:
    if failure.check(HttpNotSentError, HttpResponseLostError):
        raise _unreachable(failure)
    return failure


def _unavailable(response: HttpResponse) -> LogUnavailableError:
    throttled = response.status == _TOO_MANY_REQUESTS
    error = LogThrottledError if throttled else LogUnavailableError
    return error(
        f"the log service refused the call with status {response.status}",
        "retry after the given time, or check the log service and `platform.log_url`",
        retry_after_s=response.retry_after_s(_RETRY_AFTER_S),
    )


def _unreachable(failure: Failure) -> LogUnavailableError:
    return LogUnavailableError(
        f"the log service is unreachable: {failure.getErrorMessage()}",
        f"retry after {_RETRY_AFTER_S:g} s, or check `platform.log_url`",
        retry_after_s=_RETRY_AFTER_S,
    )


def _response_lost(reason: str) -> LogAnswerLostError:
    return LogAnswerLostError(
        f"no valid response to an append: {reason}",
        "read the stream back and search for the append's nonce to learn the outcome",
        retry_after_s=_RETRY_AFTER_S,
    )


__all__ = ["HttpLogClient"]
