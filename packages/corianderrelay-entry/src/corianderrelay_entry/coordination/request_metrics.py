"""Metrics of requests, attempts and agents."""

from __future__ import annotations

from aioprometheus.collectors import Collector, Counter, Gauge, Histogram

_FIRST_BYTE_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.1, 2.5, 5.0, 10.0]


class RequestMetrics:
    """Metrics collectors of one entry process, shared by all requests."""

    __slots__ = (
        "answers",
        "failures",
        "first_byte_s",
        "open_requests",
        "agents",
        "attempts",
        "attaches",
        "retries_denied",
        "usable_agents",
        "connections",
        "closed_connections",
    )

    def __init__(self) -> None:
        self.answers = Counter("entry_answers_total", "Complete answers by service.")
        self.failures = Counter("entry_failures_total", "Errors by service and kind.")
        self.first_byte_s = Histogram(
            "entry_first_byte_seconds",
            "Time from the request to the first byte of its answer.",
            buckets=_FIRST_BYTE_BUCKETS_S,
        )
        self.open_requests = Gauge(
            "entry_open_requests", "Requests in progress, without keyed requests."
        )
        self.attempts = Counter(
            "entry_attempts_total",
            "Attempts by service and kind (first or further).",
        )
        self.retries_denied = Gauge(
            "entry_retries_denied", "Retries denied by the retry budget."
        )
        self.usable_agents = Gauge(
            "entry_usable_agents", "Agents that accept new attempts."
        )
        self.attaches = Counter(
            "entry_attaches_total",
            "Attempts whose frames were requested again.",
        )
        self.connections = Gauge(
            "entry_connections", "Connections of callers and operators."
        )
        self.closed_connections = Gauge(
            "entry_closed_connections",
            "Connections closed by the limit on their number, since its start.",
        )
        self.agents = Gauge("entry_connected_agents", "Agents with an open stream.")

    def collectors(self) -> list[Collector]:
        """Return all collectors, for registration."""
        return [getattr(self, name) for name in self.__slots__]


__all__ = ["RequestMetrics"]
