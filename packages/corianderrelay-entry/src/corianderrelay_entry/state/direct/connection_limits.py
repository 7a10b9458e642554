"""Limits on the connections of clients, derived from the limits of the process."""

from __future__ import annotations

from dataclasses import dataclass

_RESERVED_DESCRIPTORS = 200  # log, peers, ranks, probes and the process itself
_PLAIN_LISTENERS = 3  # readiness, directory and metrics
_MAX_PLAIN_CONNECTIONS = 256
_MAX_PLAIN_SHARE = 0.125
# An open request takes a second descriptor at its runner, which can stay in the pool
# while the client's connection is idle again. With two thirds of the descriptors for
# clients, of which each open request counts twice, runners have the remaining third.
_CLIENTS_SHARE = 2 / 3
# Measured with 2,000 connections at the callers' address: 2.5 kB when idle, 3.4 kB with
# half of a head, 9.7 kB with 3.4 kB of one. The rest is a margin for its answer.
_BYTES_PER_CONNECTION = 16_384
_CONNECTIONS_MEMORY_SHARE = 0.125
_RECEIVED_MEMORY_SHARE = 0.0625
_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on what clients may hold.

    :param callers: connections at the callers' address; an open request counts as one
        more.
    :param plain: connections at each of the other listeners.
    :param received_bytes: bytes of incomplete and of further requests, of all clients.
    """

    callers: int
    plain: int
    received_bytes: int


def connection_limits(memory_mb: float, max_descriptors: int) -> ConnectionLimits:
    """Return the limits of a process.

    :param memory_mb: memory limit of the process in MB.
    :param max_descriptors: limit on its open descriptors.
    """
    free = max(max_descriptors - _RESERVED_DESCRIPTORS, max_descriptors // 2)
    plain = max(1, min(_MAX_PLAIN_CONNECTIONS, int(_MAX_PLAIN_SHARE * free)))
    by_descriptors = int(_CLIENTS_SHARE * (free - _PLAIN_LISTENERS * plain))
    memory_bytes = memory_mb * _BYTES_PER_MB
    by_memory = int(_CONNECTIONS_MEMORY_SHARE * memory_bytes / _BYTES_PER_CONNECTION)
    return ConnectionLimits(
        callers=max(1, min(by_descriptors, by_memory)),
        plain=plain,
        received_bytes=int(_RECEIVED_MEMORY_SHARE * memory_bytes),
    )


__all__ = ["ConnectionLimits", "connection_limits"]
