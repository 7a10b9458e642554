"""Bounds the connections of clients and the bytes that they send ahead.

Over the limit on connections, the one that has waited longest for a request is closed,
or the new one if all have an open request. Over the limit on bytes, the connection
that holds most is refused or closed.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Protocol

from .decision_log import Decision

if TYPE_CHECKING:
    from .decision_log import DecisionLog
    from .direct_metrics import DirectMetrics


class ClientConnection(Protocol):
    """A connection that can be closed for the sake of others."""

    def drop_received(self) -> None:
        """Refuse the incomplete request, or close the connection; free its bytes."""

    def drop_unread(self) -> None:
        """Close the connection at once."""


class ReceivedBytes:
    """Received bytes that wait for the rest of a request or the end of an answer.

    :param limit_bytes: how many such bytes all connections may hold together.
    """

    __slots__ = ("limit_bytes", "total_bytes", "dropped", "_log", "_size_by_connection")

    def __init__(self, limit_bytes: float, log: DecisionLog | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.dropped = 0
        self._log = log
        self._size_by_connection: dict[ClientConnection, int] = {}

    def set_size(self, connection: ClientConnection, size: int) -> None:
        """Set what a connection holds; drop the largest over the limit."""
        self.total_bytes += size - self._size_by_connection.pop(connection, 0)
        if size:
            self._size_by_connection[connection] = size
        while self.total_bytes > self.limit_bytes:
            sizes = self._size_by_connection
            largest = max(sizes, key=sizes.__getitem__)
            self._drop(largest, sizes.pop(largest))

    def _drop(self, connection: ClientConnection, size: int) -> None:
        if self._log is not None:
            self._log.note(
                Decision.RECEIVED_DROPPED,
                size_bytes=size,
                received_bytes=self.total_bytes,
                limit_bytes=self.limit_bytes,
            )
        self.total_bytes -= size
        self.dropped += 1
        connection.drop_received()


class ConnectionGuard:
    """The connections of one listener.

    :param name: name of the listener in log lines.
    :param max_connections: limit on the connections.
    :param request_weight: how many connections a connection with an open request
        counts for; 2 if the request needs a further descriptor.
    """

    __slots__ = (
        "received",
        "connections",
        "closed",
        "max_connections",
        "_name",
        "_request_weight",
        "_log",
        "_waiting",
    )

    def __init__(
        self,
        name: str = "",
        max_connections: int = sys.maxsize,
        received: ReceivedBytes | None = None,
        log: DecisionLog | None = None,
        request_weight: int = 1,
    ) -> None:
        self.received = received or ReceivedBytes(sys.maxsize)
        self.connections: set[ClientConnection] = set()
        self.closed = 0
        self._name = name
        self.max_connections = max_connections
        self._request_weight = request_weight
        self._log = log
        # Without an open request; the longest waiting is first.
        self._waiting: dict[ClientConnection, None] = {}

    def make_room(self) -> bool:
        """Make room for a new connection; return whether there is any."""
        return self._close_waiting(self.max_connections - 1)

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection, which waits for a request."""
        self.connections.add(connection)
        self._waiting[connection] = None

    def start_request(self, connection: ClientConnection) -> None:
        """Keep a connection open while its request is handled."""
        if self._waiting.pop(connection, True) is None:
            self._close_waiting(self.max_connections)

    def await_request(self, connection: ClientConnection) -> None:
        """Let a connection wait for its next request, or for more of it."""
        if connection in self.connections:
            self._waiting.pop(connection, None)
            self._waiting[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self._waiting.pop(connection, None)
        self.received.set_size(connection, 0)

    @property
    def _weight(self) -> int:
        handling = len(self.connections) - len(self._waiting)
        return len(self._waiting) + self._request_weight * handling

    def _close_waiting(self, limit: int) -> bool:
        while self._weight > limit:
            self.closed += 1
            longest = next(iter(self._waiting), None)
            if self._log is not None:
                self._log.note(
                    Decision.CONNECTION_CLOSED,
                    listener=self._name,
                    connections=len(self.connections),
                    limit=self.max_connections,
                    new=longest is None,
                )
            if longest is None:
                return False
            self.remove(longest)
            longest.drop_unread()
        return True


class ClientGuards:
    """The guards of all listeners of an entry, which share one limit on bytes."""

    __slots__ = ("_received", "_log", "_guards")

    def __init__(self, received_bytes: int, log: DecisionLog) -> None:
        self._received = ReceivedBytes(received_bytes, log)
        self._log = log
        self._guards: list[ConnectionGuard] = []

    def add_listener(
        self, name: str, max_connections: int, request_weight: int = 1
    ) -> ConnectionGuard:
        """Return the guard of a listener, see :class:`ConnectionGuard`."""
        guard = ConnectionGuard(
            name, max_connections, self._received, self._log, request_weight
        )
        self._guards.append(guard)
        return guard

    def report(self, collectors: DirectMetrics) -> None:
        """Update the metrics."""
        connections = sum(len(guard.connections) for guard in self._guards)
        closed = sum(guard.closed for guard in self._guards)
        collectors.connections.set({}, connections)
        collectors.received_bytes.set({}, self._received.total_bytes)
        collectors.closed_connections.set({"limit": "connections"}, closed)
        collectors.closed_connections.set({"limit": "bytes"}, self._received.dropped)


__all__ = ["ClientConnection", "ClientGuards", "ConnectionGuard", "ReceivedBytes"]
