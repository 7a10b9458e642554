"""Stand-in for the platform's store: keyed topics over HTTP, served by threads."""

from __future__ import annotations

import base64
import json
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

_POLL_S = 0.02
_SILENCE_S = 5.0


class _SilentErrorServer(ThreadingHTTPServer):
    """Ignores connection errors: tests kill entries that have open connections."""

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore the error."""


class PlatformStore:
    """Topics with one partition of key-value records.

    ``mode`` is ``ok``, ``busy`` (every call gets 503), ``silent`` (calls get no answer
    and the connection is closed after 5 s) or ``reset`` (every connection is closed).
    Calls for a topic in ``refused_topics`` get 503 in any mode. ``rewrite_value`` maps
    topic, key and value of each append to the value that is stored. ``era`` is stated
    in all answers, unless it is ``None``: in the header ``era_header``, and only in
    answers to ``era_paths`` if there are any. A restore raises the era that is stated
    ``era_delay_s`` later. ``newest_lack`` maps a topic to how many of its last records
    are missing in answers with all newest records, although their end counts them.
    ``calls_by_path`` counts all calls.
    """

    def __init__(self) -> None:
        self.mode = "ok"
        self.era: int | None = 1
        self.era_header = "Store-Era"
        self.era_paths: set[str] = set()
        self.era_delay_s = 0.0
        self.newest_lack: dict[str, int] = {}
        self.calls = 0
        self.calls_by_path: Counter[str] = Counter()
        self._restores = 0
        self.refused_topics: set[str] = set()
        self.rewrite_value: Callable[[str, str, bytes], bytes] | None = None
        self._lock = threading.Lock()
        self._records_by_topic: dict[str, list[tuple[str, bytes]]] = {}
        self._first_offset_by_topic: dict[str, int] = {}
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                store._answer(self)

            def do_POST(self) -> None:
                store._answer(self)

            def log_message(self, format: str, *args: object) -> None:
                pass

        self._server = _SilentErrorServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; an empty value deletes the key."""
        with self._lock:
            self._records_by_topic.setdefault(topic, []).append((key, value))

    def newest_keys(self, topic: str) -> set[str]:
        """Return the keys of a topic that have a value."""
        with self._lock:
            newest = dict(self._records_by_topic.get(topic, []))
        return {key for key, value in newest.items() if value}

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records, by topic."""
        with self._lock:
            return {topic: list(each) for topic, each in self._records_by_topic.items()}

    def restore(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Replace all records by those of an older copy, and begin a new era."""
        with self._lock:
            self._records_by_topic = {topic: list(each) for topic, each in copy.items()}
            self._restores += 1
        if self.era is None:
            return
        if not self.era_delay_s:
            self.era += 1
            return
        raised = threading.Timer(self.era_delay_s, self._raise_era)
        raised.daemon = True
        raised.start()

    def _raise_era(self) -> None:
        if self.era is not None:
            self.era += 1

    def end(self, topic: str) -> int:
        """Return the offset of the next record of a topic."""
        with self._lock:
            return len(self._records_by_topic.get(topic, []))

    def drop_superseded_records(self, topic: str) -> None:
        """Expire all current offsets; the newest record of each key stays available."""
        with self._lock:
            self._first_offset_by_topic[topic] = len(
                self._records_by_topic.get(topic, [])
            )

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _answer(self, handler: BaseHTTPRequestHandler) -> None:
        self.calls += 1
        url = urlsplit(handler.path)
        self.calls_by_path[url.path] += 1
        if self.mode == "silent":
            time.sleep(_SILENCE_S)
        if self.mode in ("silent", "reset"):
            handler.close_connection = True
            return
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        length = int(handler.headers.get("Content-Length") or 0)
        body = handler.rfile.read(length)
        if self.mode == "busy" or query.get("Topic") in self.refused_topics:
            self._send(handler, 503, b"")
        elif url.path == "/api/log-newest":
            self._send(handler, 200, self._newest(query["Topic"]))
        elif url.path == "/api/log-read":
            restores = self._restores
            status, content = self._read(query)
            if self.mode != "ok" or restores != self._restores:
                # A store that is away does not answer the reads that were open.
                handler.close_connection = True
            else:
                self._send(handler, status, content)
        elif url.path == "/api/log-append":
            key_bytes = body[4]
            key = body[5 : 5 + key_bytes].decode()
            value = body[5 + key_bytes :]
            if self.rewrite_value is not None:
                value = self.rewrite_value(query["Topic"], key, value)
            self.put(query["Topic"], key, value)
            self._send(handler, 200, b'{"Offset":0,"End":1}')
        else:
            self._send(handler, 404, b"")

    def _newest(self, topic: str) -> bytes:
        with self._lock:
            records = self._records_by_topic.get(topic, [])
            end = len(records)
            records = records[: end - self.newest_lack.get(topic, 0)]
            newest = {key: (value, n) for n, (key, value) in enumerate(records)}
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (value, offset) in newest.items()
            if value
        ]
        return json.dumps({"Items": items, "HasMore": False, "End": end}).encode()

    def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, start = query["Topic"], int(query["From"])
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            with self._lock:
                records = list(self._records_by_topic.get(topic, []))
                first = self._first_offset_by_topic.get(topic, 0)
            if start < first or start > len(records):
                return 410, json.dumps({"First": first}).encode()
            waits = time.monotonic() < until and self.mode == "ok"
            if len(records) > start or not waits:
                break
            time.sleep(_POLL_S)
        framed = b"".join(_encode_record(key, value) for key, value in records[start:])
        return 200, struct.pack(">QQ", len(records), first) + framed

    def _send(self, handler: BaseHTTPRequestHandler, status: int, body: bytes) -> None:
        try:
            handler.send_response(status)
            handler.send_header("Content-Length", str(len(body)))
            path = urlsplit(handler.path).path
            if self.era is not None and path in (self.era_paths or {path}):
                handler.send_header(self.era_header, str(self.era))
            handler.end_headers()
            handler.wfile.write(body)
        except OSError:
            handler.close_connection = True  # the client disconnected


def _encode_record(key: str, value: bytes) -> bytes:
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


__all__ = ["PlatformStore"]
