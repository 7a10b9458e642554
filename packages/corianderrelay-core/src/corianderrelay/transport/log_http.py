"""The log service over HTTP: the one module that knows its routes and answers."""

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
_TOO_MANY = 429
_NO_EFFECT_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 429, 503})


class _Appended(msgspec.Struct):
    offset: int


class _Page(msgspec.Struct):
    first: int
    next: int
    entries: list[tuple[int, bytes]]


class HttpLogClient:
    """Implements :class:`~..coordination.log_client.LogClient`.

    :param base_url: such as ``http://10.0.0.5:7000``.
    :param timeout_s: time limit of a call beyond its own waiting time, in seconds.
    """

    def __init__(
        self, reactor: ReactorBase, base_url: str, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._client = HttpClient(reactor, base_url)
        self._timeout_s = timeout_s

    def append(self, stream: str, payload: bytes) -> Deferred[int]:
        """Append one payload and return its offset.

        :raises LogThrottledError: nothing was appended, there are too many appends.
        :raises LogUnavailableError: nothing was appended.
        :raises LogAnswerLostError: it may have been appended.
        """
        answer = self._client.fetch(
            "POST",
            f"/streams/{quote(stream, safe='')}",
            timeout_s=self._timeout_s,
            body=payload,
        )
        return answer.addCallbacks(_offset_of, _append_failed)

    def read(self, stream: str, offset: int, wait_s: float) -> Deferred[LogPage]:
        """Read from ``offset`` on; wait up to ``wait_s`` seconds for an entry.

        :raises LogUnavailableError: no page came.
        """
        answer = self._client.fetch(
            "GET",
            f"/streams/{quote(stream, safe='')}?offset={offset}&wait_s={wait_s:g}",
            timeout_s=self._timeout_s + wait_s,
        )
        return answer.addCallbacks(_page_of, _read_failed)

    def close(self) -> Deferred[None]:
        """Close the connections that are kept open."""
        return self._client.close()


def _offset_of(answer: HttpResponse) -> int:
    if answer.status in _NO_EFFECT_STATUSES:
        raise _unavailable(answer)
    try:
        return _decode_appended(answer)
    except ValueError as error:
        raise _answer_lost(f"status {answer.status}: {error}") from error


def _decode_appended(answer: HttpResponse) -> int:
    if answer.status != _OK:
        raise ValueError("the answer is not the one of an append")
    return msgspec.json.decode(answer.body, type=_Appended).offset


def _append_failed(failure: Failure) -> Failure:
    if failure.check(HttpNotSentError):
        raise _unreachable(failure)
    if failure.check(HttpResponseLostError):
        raise _answer_lost(failure.getErrorMessage())
    return failure


def _page_of(answer: HttpResponse) -> LogPage:
    if answer.status != _OK:
        raise _unavailable(answer)
    try:
        page = msgspec.msgpack.decode(answer.body, type=_Page)
    except ValueError as error:
        raise LogUnavailableError(
            f"the log service's page is malformed: {error}",
            "check that `log.url` names the log service",
            retry_after_s=_RETRY_AFTER_S,
        ) from error
    entries = tuple(LogEntry(offset, payload) for offset, payload in page.entries)
    return LogPage(page.first, page.next, entries)


def _read_failed(failure: Failure) -> Failure:
    if failure.check(HttpNotSentError, HttpResponseLostError):
        raise _unreachable(failure)
    return failure


def _unavailable(answer: HttpResponse) -> LogUnavailableError:
    throttled = answer.status == _TOO_MANY
    error = LogThrottledError if throttled else LogUnavailableError
    return error(
        f"the log service refused the call with status {answer.status}",
        "retry after the given time, or check the log service and `log.url`",
        retry_after_s=answer.retry_after_s(_RETRY_AFTER_S),
    )


def _unreachable(failure: Failure) -> LogUnavailableError:
    return LogUnavailableError(
        f"the log service is unreachable: {failure.getErrorMessage()}",
        f"retry after {_RETRY_AFTER_S:g} s, or check `log.url`",
        retry_after_s=_RETRY_AFTER_S,
    )


def _answer_lost(reason: str) -> LogAnswerLostError:
    return LogAnswerLostError(
        f"the answer to an append was lost: {reason}",
        "read the stream back by the append's nonce before anything is concluded",
        retry_after_s=_RETRY_AFTER_S,
    )


__all__ = ["HttpLogClient"]
