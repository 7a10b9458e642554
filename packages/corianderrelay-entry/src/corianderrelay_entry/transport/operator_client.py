"""HTTP client of an entry's operator routes, for the command line."""

from __future__ import annotations

import urllib.error
import urllib.request
from typing import Any

import msgspec
from result import Err, Ok, Result

from corianderrelay.state.errors import (
    InvalidRequestError,
    Ran,
    RelayError,
    UnauthorizedError,
    UnavailableError,
)

_TIMEOUT_S = 10.0


class OperatorClient:
    """Sends requests to the operator routes of one entry.

    :param url: operator URL of the entry, such as ``http://10.0.0.4:8081``.
    :param token: the operators' token.
    """

    __slots__ = ("_url", "_token", "_opener")

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._token = token
        # Ignores proxy environment variables, so that no proxy receives the token.
        self._opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))

    def get(self, path: str) -> Result[Any, RelayError]:
        """Send a GET request and return the decoded JSON response."""
        return self._send("GET", path, None)

    def post(self, path: str, body: bytes = b"") -> Result[Any, RelayError]:
        """Send a POST request and return the decoded JSON response."""
        return self._send("POST", path, body)

    def _send(
        self, method: str, path: str, body: bytes | None
    ) -> Result[Any, RelayError]:
        headers = {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
        }
        try:
            request = urllib.request.Request(
                self._url + path, body, headers, method=method
            )
            with self._opener.open(request, timeout=_TIMEOUT_S) as response:
                return Ok(msgspec.json.decode(response.read()))
        except urllib.error.HTTPError as error:
            return Err(_error_from_reply(error.code, error.read()))
        except (OSError, ValueError) as error:
            return Err(
                UnavailableError(
                    f"no valid response from the entry at {self._url}: {error}",
                    "check --operators-url and that the entry is running",
                )
            )


def _error_from_reply(status: int, body: bytes) -> RelayError:
    try:
        detail = msgspec.json.decode(body)["error"]
        kind, message, remedy = detail["kind"], detail["message"], detail["remedy"]
    except (msgspec.DecodeError, KeyError, TypeError):
        kind, message, remedy = "http", f"status {status}", "check --operators-url"
    if kind == UnauthorizedError.kind:
        return UnauthorizedError(message, remedy)
    return InvalidRequestError(f"{kind}: {message}", remedy, ran=Ran.NO)


__all__ = ["OperatorClient"]
