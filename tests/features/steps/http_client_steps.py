"""Steps for the limits of the HTTP client."""

from __future__ import annotations

import itertools
import socket
import threading
from typing import Any

from behave import given, then, when

from corianderrelay.transport.http_client import HttpClient, HttpResponseLostError

from tests.harness.reactor_loop import reactor, result_of, run_until

_TIMEOUT_S = 10.0
_SILENT_S = 0.5
_MAX_BLOCKS = 4096


def _serve(context: Any, head: bytes, blocks: int, block: bytes) -> None:
    """Answer one request on a thread with a head and a number of blocks."""
    listener = socket.create_server(("127.0.0.1", 0))
    context.cleanup.callback(listener.close)
    context.url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    context.connection_closed = threading.Event()

    def answer() -> None:
        connection, _ = listener.accept()
        try:
            connection.recv(4096)
            connection.sendall(head)
            for _ in range(blocks):
                connection.sendall(block)
            connection.recv(1)
        except OSError:
            pass  # the client has reset the connection
        context.connection_closed.set()

    threading.Thread(target=answer, daemon=True).start()


@given("a server that sends a body without end")
def step_endless(context: Any) -> None:
    _serve(context, b"HTTP/1.1 200 OK\r\n\r\n", _MAX_BLOCKS, b"x" * 65_536)


@given("a server that sends a body of {count:d} bytes")
def step_body(context: Any, count: int) -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % count
    _serve(context, head, 1, b"x" * count)


@when("a client that accepts {count:d} bytes fetches it")
def step_fetch(context: Any, count: int) -> None:
    client = HttpClient(reactor, context.url, max_body_bytes=count)
    context.cleanup.callback(lambda: result_of(client.close()))
    context.error = None
    try:
        context.response = result_of(client.fetch("GET", "/", timeout_s=_TIMEOUT_S))
    except HttpResponseLostError as error:
        context.error = error


@then('the fetch fails with "{reason}"')
def step_failed(context: Any, reason: str) -> None:
    assert str(context.error) == reason, context.error


@then("the client has closed the connection")
def step_connection_closed(context: Any) -> None:
    run_until(context.connection_closed.is_set)


@then("the fetch returns {count:d} bytes")
def step_returned(context: Any, count: int) -> None:
    assert context.error is None and len(context.response.body) == count


@given("a server whose first {count:d} connections fall silent after an answer")
def step_silent(context: Any, count: int) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.cleanup.callback(listener.close)
    context.url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    all_open = threading.Barrier(count)

    def answer(connection: socket.socket, falls_silent: bool) -> None:
        with connection:
            while connection.recv(4096):
                if falls_silent:
                    all_open.wait()  # the client needs all connections at once
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                while falls_silent and connection.recv(4096):
                    pass

    def accept() -> None:
        for number in itertools.count():
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=answer, args=(connection, number < count), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()


@when("a client has {count:d} connections open and a fetch is not answered")
def step_not_answered(context: Any, count: int) -> None:
    client = HttpClient(reactor, context.url)
    context.client = client
    context.cleanup.callback(lambda: result_of(client.close()))
    fetches = [client.fetch("GET", "/", timeout_s=_TIMEOUT_S) for _ in range(count)]
    for fetch in fetches:
        result_of(fetch)
    try:
        result_of(client.fetch("GET", "/", timeout_s=_SILENT_S))
    except HttpResponseLostError:
        return
    raise AssertionError("the fetch was answered")


@then("the next fetch returns {count:d} bytes")
def step_next_fetch(context: Any, count: int) -> None:
    response = result_of(context.client.fetch("GET", "/", timeout_s=_SILENT_S))
    assert len(response.body) == count, response
