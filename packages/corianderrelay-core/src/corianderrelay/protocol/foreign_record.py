"""Decodes records that other programs write, one at a time and within bounds.

A record that is too long, too deeply nested, or has a value out of range is malformed.
It must not stop the reading of the records beside it.
"""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import TYPE_CHECKING, Annotated, Protocol, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T", covariant=True)
_MAX_ID_CHARS = 200
_MAX_LOGGED = 256  # bounds memory
_MAX_REASON_CHARS = 200
_PORTS = range(1, 65_536)
_PRINTABLE = re.compile(r"[!-~]+")  # an id is sent in a header
_HOST_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,252})")
_NUMERIC = re.compile(r"[0-9.]+")  # looks like an IP address, but is none
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]')

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
# Fits into 64 bits, and into a JSON number without loss.
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
ShortText = Annotated[str, msgspec.Meta(max_length=_MAX_ID_CHARS)]


class MalformedRecordError(ValueError):
    """A record is not in the expected format, or has a value out of range."""


class RecordDecoder(Protocol[T]):
    """A decoder of msgspec."""

    def decode(self, record: bytes, /) -> T:
        """Return the decoded record."""


def decode_record(decoder: RecordDecoder[T], record: bytes, max_bytes: int) -> T:
    """Return a decoded record.

    :raises MalformedRecordError: it cannot be decoded, or is longer than ``max_bytes``.
    """
    if len(record) > max_bytes:
        raise MalformedRecordError(
            f"it has {len(record)} bytes; at most {max_bytes} are read"
        )
    try:
        return decoder.decode(record)
    except RecursionError as error:
        raise MalformedRecordError("it is nested too deeply") from error
    except (ValueError, OverflowError) as error:
        raise MalformedRecordError(str(error)[:_MAX_REASON_CHARS]) from error


def check_id(text: str) -> str:
    """Return an id that may be sent in a header.

    :raises MalformedRecordError: it is empty, too long, or has other characters.
    """
    if len(text) > _MAX_ID_CHARS or not _PRINTABLE.fullmatch(text):
        raise MalformedRecordError(
            f"expected an id of 1 to {_MAX_ID_CHARS} printable ASCII characters, got "
            f"{text[:_MAX_ID_CHARS]!r}"
        )
    return text


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``HOST:PORT``.

    :raises MalformedRecordError: there is no such address.
    """
    host, _, port = text.rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= len(str(_PORTS.stop))
    if not digits or int(port) not in _PORTS or not is_host(host):
        raise MalformedRecordError(
            f"expected an address HOST:PORT with a port from {_PORTS.start} to "
            f"{_PORTS.stop - 1}, got {text[:_MAX_ID_CHARS]!r}"
        )
    return host, int(port)


def is_host(text: str) -> bool:
    """Return whether a text is an IP address or a host name."""
    try:
        ip_address(text)
    except ValueError:
        return bool(_HOST_NAME.fullmatch(text)) and not _NUMERIC.fullmatch(text)
    return True


def split_list(raw: bytes, key: bytes) -> list[bytes]:
    """Return the elements of a list in a JSON object, without decoding them.

    It reads a list of which an element is nested too deeply for a decoder.

    :param key: the list's key in the object; the result is empty without it.
    """
    _, found, rest = raw.partition(b'"' + key + b'"')
    elements: list[bytes] = []
    depth, start = 0, 0
    for token in _JSON_TOKEN.finditer(rest) if found else ():
        kind = token.group()[:1]
        if kind in b"[{":
            depth += 1
            start = token.end() if depth == 1 else start
        elif kind in b",]}" and depth == 1:
            elements.append(rest[start : token.start()].strip())
            start = token.end()
        if kind in b"]}":
            depth -= 1
            if depth == 0:
                break
    return list(filter(None, elements))


class MalformedRecords:
    """Reports each malformed record once, however often it is read.

    :param report: called with the record's key and the reason.
    """

    __slots__ = ("_report", "_reason_by_key")

    def __init__(self, report: Callable[[str, str], None]) -> None:
        self._report = report
        self._reason_by_key: dict[str, str] = {}

    def note(self, key: str, reason: str) -> None:
        """Report a record unless this was its last reason."""
        if self._reason_by_key.get(key) == reason:
            return
        if len(self._reason_by_key) >= _MAX_LOGGED:
            del self._reason_by_key[next(iter(self._reason_by_key))]
        self._reason_by_key[key] = reason
        self._report(key[:_MAX_ID_CHARS], reason)


__all__ = [
    "Count",
    "MalformedRecordError",
    "MalformedRecords",
    "Number",
    "Port",
    "RecordDecoder",
    "ShortText",
    "check_id",
    "decode_record",
    "is_host",
    "parse_address",
    "split_list",
]
