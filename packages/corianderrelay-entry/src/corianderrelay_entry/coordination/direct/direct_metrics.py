"""Counters and latency histograms of the direct path."""

from __future__ import annotations

from aioprometheus.collectors import Collector, Counter, Gauge, Histogram

_LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0]


class DirectMetrics:
    """Collectors for requests, runners, peers and the configuration."""

    __slots__ = (
        "requests",
        "answers",
        "refusals",
        "runner_attempts",
        "abandoned",
        "displaced",
        "first_byte_s",
        "whole_answer_s",
        "waited_s",
        "waiting",
        "running",
        "usable_runners",
        "cold_runners",
        "closed_groups",
        "group_probes",
        "group_limit",
        "group_running",
        "peers",
        "quarantined",
        "suspected_parts",
        "held",
        "held_bytes",
        "cut_answers",
        "refused_uploads",
        "connections",
        "received_bytes",
        "closed_connections",
        "config_version",
        "config_age_s",
        "config_unreadable",
        "log_failures",
        "log_era",
        "log_read_again",
        "evacuated_zones",
        "evacuation_faults",
    )

    def __init__(self) -> None:
        self.requests = Counter(
            "direct_requests_total", "Accepted requests, by route kind."
        )
        self.answers = Counter(
            "direct_answers_total", "Answers relayed from runners, by status."
        )
        self.refusals = Counter(
            "direct_refusals_total", "Requests refused by the entry, by status."
        )
        self.runner_attempts = Counter(
            "direct_sends_total", "Attempts at runners, by kind (first or again)."
        )
        self.abandoned = Counter(
            "direct_abandoned_total", "Requests whose caller disconnected."
        )
        self.displaced = Counter(
            "direct_displaced_total",
            "Waiting requests refused in favour of others, by priority.",
        )
        self.first_byte_s = Histogram(
            "direct_first_byte_seconds",
            "Time from receiving a whole request to the first byte of its answer.",
            buckets=_LATENCY_BUCKETS_S,
        )
        self.whole_answer_s = Histogram(
            "direct_whole_answer_seconds",
            "Time from receiving a whole request to the end of its answer.",
            buckets=_LATENCY_BUCKETS_S,
        )
        self.waited_s = Histogram(
            "direct_waited_seconds",
            "Time that a request waited for a slot.",
            buckets=_LATENCY_BUCKETS_S,
        )
        self.waiting = Gauge(
            "direct_waiting", "Requests waiting for a slot, by service."
        )
        self.running = Gauge(
            "direct_running", "Requests of this entry in flight at runners."
        )
        self.usable_runners = Gauge(
            "direct_usable_runners", "Usable runners, by service."
        )
        self.cold_runners = Gauge(
            "direct_cold_runners", "Runners that have a limit as they are cold."
        )
        self.closed_groups = Gauge(
            "direct_closed_groups",
            "Lock-step groups that are known to be closed, by service.",
        )
        self.group_probes = Counter(
            "direct_group_probes_total",
            "Requests that tried a closed lock-step group, by group.",
        )
        self.group_limit = Gauge(
            "direct_group_limit", "Limit on the streams of a lock-step group."
        )
        self.group_running = Gauge(
            "direct_group_running",
            "Streams of all entries that run in a lock-step group.",
        )
        self.peers = Gauge("direct_entries_alive", "Other entries with recent updates.")
        self.quarantined = Gauge(
            "direct_quarantined", "Quarantined fingerprints of requests."
        )
        self.suspected_parts = Gauge(
            "direct_suspected_parts", "Parts of prompts that are blamed for crashes."
        )
        self.held = Counter(
            "direct_held_total",
            "Requests refused since runners ended under them, by request or part.",
        )
        self.held_bytes = Gauge(
            "direct_held_bytes",
            "Bytes held or reserved for answers, uploads and unread answers.",
        )
        self.cut_answers = Gauge(
            "direct_cut_answers",
            "Answers dropped since the entry held too many bytes, since its start.",
        )
        self.refused_uploads = Gauge(
            "direct_refused_uploads",
            "Uploads refused since the entry held too many bytes, since its start.",
        )
        self.connections = Gauge(
            "direct_connections", "Connections of clients at all listeners."
        )
        self.received_bytes = Gauge(
            "direct_received_bytes",
            "Bytes of incomplete requests and of those sent ahead.",
        )
        self.closed_connections = Gauge(
            "direct_closed_connections",
            "Connections closed or refused by a limit on clients, since its start.",
        )
        self.config_version = Gauge(
            "direct_config_version", "Active configuration version."
        )
        self.config_age_s = Gauge(
            "direct_config_proof_age_seconds",
            "Time since the configuration was confirmed as the newest.",
        )
        self.config_unreadable = Gauge(
            "direct_config_unreadable",
            "Parts of the newest configuration that cannot be read; 1 if none can.",
        )
        self.log_failures = Counter(
            "direct_log_failures_total",
            "Failed reads of the platform's log, by reader.",
        )
        self.log_era = Gauge(
            "direct_log_era",
            "Era of the platform's log at the last read, by reader; 0 if not stated.",
        )
        self.log_read_again = Counter(
            "direct_log_read_again_total",
            "Reads of all newest records since a position was not valid any more, by "
            "reader.",
        )
        self.evacuated_zones = Gauge(
            "direct_evacuated_zones", "Zones whose runners get no new requests."
        )
        self.evacuation_faults = Counter(
            "direct_evacuation_faults_total",
            "Records of evacuated zones that cannot be read or name an unknown zone.",
        )

    def collectors(self) -> list[Collector]:
        """Return all collectors, for registration."""
        return [getattr(self, name) for name in self.__slots__]


__all__ = ["DirectMetrics"]
