"""Opens many concurrent streamed chat completions and counts the received tokens.

``python -m bench.stream_client --url URL --key KEY --streams N --tokens T`` prints one
JSON line at the end: tokens, complete responses, and the time to first byte of each
stream in seconds.
"""

from __future__ import annotations

import json
import signal
import sys
from functools import partial
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import click
from twisted.internet import protocol, reactor as installed_reactor

if TYPE_CHECKING:
    from twisted.python.failure import Failure

_TOKEN_MARK = b'"content":'
_DONE_EVENT = b"data: [DONE]"


class _Stream(protocol.Protocol):
    """One request, whose tokens are counted in the raw response bytes.

    The end of each chunk is kept, because a marker can be split between two chunks.
    """

    def __init__(self, load: _LoadRun, request: bytes) -> None:
        self._load = load
        self._request = request
        self._sent_s = 0.0
        self._carried_tail = b""
        self._awaiting_first_byte = True

    def connectionMade(self) -> None:
        self._sent_s = self._load.reactor.seconds()
        transport: Any = self.transport
        transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        if self._awaiting_first_byte:
            self._awaiting_first_byte = False
            self._load.first_bytes_s.append(self._load.reactor.seconds() - self._sent_s)
        window = self._carried_tail + data
        tail_bytes = max(len(_TOKEN_MARK), len(_DONE_EVENT)) - 1
        self._load.tokens += window.count(_TOKEN_MARK)
        self._load.tokens -= self._carried_tail.count(_TOKEN_MARK)
        if _DONE_EVENT in window:
            self._load.completed += 1
            transport: Any = self.transport
            transport.loseConnection()
            return
        self._carried_tail = window[-tail_bytes:]

    def connectionLost(self, reason: Failure | None = None) -> None:
        self._load.closed += 1
        self._load.stop_when_all_closed()


class _LoadRun:
    """Totals over all streams of one run."""

    def __init__(self, streams: int) -> None:
        self.reactor: Any = installed_reactor
        self.streams = streams
        self.tokens = 0
        self.completed = 0
        self.closed = 0
        self.first_bytes_s: list[float] = []

    def stop_when_all_closed(self) -> None:
        if self.closed >= self.streams:
            self.reactor.stop()


@click.command()
@click.option("--url", "urls", multiple=True, required=True)
@click.option("--key", required=True)
@click.option("--streams", default=100)
@click.option("--tokens", default=100)
@click.option("--per-second", default=200.0, help="Streams opened per second.")
@click.option("--body-bytes", default=200, help="Length of each prompt, in bytes.")
def main(
    urls: tuple[str, ...],
    key: str,
    streams: int,
    tokens: int,
    per_second: float,
    body_bytes: int,
) -> None:
    """Open the streams, wait until all have closed, and print the totals."""
    load = _LoadRun(streams)
    for number in range(streams):
        url = urlsplit(urls[number % len(urls)])
        request = _request(key, number, tokens, body_bytes)
        factory = protocol.ClientFactory.forProtocol(partial(_Stream, load, request))
        factory.noisy = False
        load.reactor.callLater(
            number / per_second,
            load.reactor.connectTCP,
            url.hostname,
            url.port,
            factory,
        )
    signal.signal(
        signal.SIGTERM, lambda *_: load.reactor.callFromThread(load.reactor.stop)
    )
    load.reactor.run(installSignalHandlers=False)
    result = {
        "tokens": load.tokens,
        "whole": load.completed,
        "streams": streams,
        "first_bytes_s": sorted(load.first_bytes_s),
    }
    print(json.dumps(result), flush=True)
    sys.exit(0)


def _request(key: str, number: int, tokens: int, body_bytes: int) -> bytes:
    prompt = f"stream {number} ".ljust(body_bytes, "x")
    chat = {
        "model": "kit-model",
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        "max_tokens": tokens,
        "min_tokens": tokens,
    }
    body = json.dumps(chat).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


if __name__ == "__main__":
    main()
