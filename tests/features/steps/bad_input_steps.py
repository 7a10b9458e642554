"""Steps that send malformed input to a running system."""

from __future__ import annotations

import json
import re
import socket
from typing import Any
from urllib.parse import urlsplit

from behave import then, when

from corianderrelay.protocol.messages import PROTOCOL_VERSION, Closing, Hello

from demo.processes import fetch
from demo.system import KIT_SHOP_KEY
from tests.frames import add_length_prefix, decode_frames, encode_frame

_TIMEOUT_S = 20.0


def _unescape(text: str) -> bytes:
    filled = re.sub(r"\{(\d+)\}", lambda match: "x" * int(match[1]), text)
    return filled.encode().decode("unicode_escape").encode("latin-1")


def _decode_frames(text: str) -> bytes:
    if text.startswith("length "):
        return bytes.fromhex(text.removeprefix("length "))
    return add_length_prefix(bytes.fromhex(text))


def _connect(host: str, port: int) -> socket.socket:
    connection = socket.create_connection((host, port), timeout=_TIMEOUT_S)
    connection.settimeout(_TIMEOUT_S)
    return connection


def _read_to_end(connection: socket.socket) -> bytes:
    parts = []
    while part := connection.recv(65536):
        parts.append(part)
    return b"".join(parts)


def _request_body(body: str) -> bytes:
    if body.startswith("nested "):
        depth = int(body.removeprefix("nested "))
        return b"[" * depth + b"]" * depth
    if body.startswith("\\"):
        return _unescape(body)
    return b"" if body == "-" else body.encode()


@when("the entry is sent the request {request} with body {body}")
def step_malformed_request(context: Any, request: str, body: str) -> None:
    method, path = request.split(" ")
    content = _request_body(body)
    context.response = fetch(
        context.system.entries[0] + path,
        method,
        content or None,
        Authorization=f"Bearer {KIT_SHOP_KEY}",
        Content_Type="application/json",
    )


@then("the entry answers {status:d} with the error kind {kind}")
def step_error_kind(context: Any, status: int, kind: str) -> None:
    actual_status, _, body = context.response
    error = json.loads(body)["error"]
    assert (actual_status, error["kind"]) == (status, kind), (actual_status, body)
    assert error["remedy"] and error["ran"] == "no", body


@then("the same entry still serves a valid request")
def step_entry_still_serves(context: Any) -> None:
    url = f"{context.system.entries[0]}/v1/models"
    status, _, body = fetch(url, Authorization=f"Bearer {KIT_SHOP_KEY}")
    assert status == 200, body


@when("the entry is sent the bytes {data}")
def step_malformed_bytes(context: Any, data: str) -> None:
    address = urlsplit(context.system.entries[0])
    with _connect(str(address.hostname), int(address.port or 0)) as connection:
        connection.sendall(_unescape(data))
        context.raw_response = _read_to_end(connection)


@then("the connection gets {status:d} with the error kind {kind} and is closed")
def step_raw_error(context: Any, status: int, kind: str) -> None:
    head, _, body = context.raw_response.partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == str(status).encode(), context.raw_response
    assert json.loads(body)["error"]["kind"] == kind, body


@when("the agent is sent the frames {frames}")
def step_malformed_frames(context: Any, frames: str) -> None:
    with _connect("127.0.0.1", context.system.agent_ports["agent-0"]) as connection:
        connection.sendall(_decode_frames(frames))
        context.messages = decode_frames(_read_to_end(connection))


@then("the agent closes the stream with the error kind bad_frame")
def step_closing(context: Any) -> None:
    last = context.messages[-1]
    assert isinstance(last, Closing), context.messages
    assert last.kind == "bad_frame", last


@then("the same agent still sends its hello and serves the entries")
def step_agent_still_serves(context: Any) -> None:
    hello = Hello(PROTOCOL_VERSION, "probe", 1, "oslo-a", "entry")
    with _connect("127.0.0.1", context.system.agent_ports["agent-0"]) as connection:
        connection.sendall(encode_frame(hello))
        first = decode_frames(connection.recv(65536))[0]
    assert isinstance(first, Hello), first
    assert context.system.ready(4), "an entry is disconnected from an agent"
