"""Startup settings of an entry in a direct deployment."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_MEMORY_MB = 300.0
DEFAULT_MAX_DESCRIPTORS = 4096


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class DirectBounds:
    """Limits that apply to the whole deployment; times are in seconds.

    :param revoke_s: time within which a revoked key is rejected; ``None`` for no bound.
    :param apply_s: time within which a configuration is in force.
    :param leaving_s: time within which a leaving runner gets no new requests.
    :param repeat_ratio: retries allowed per request of a service.
    :param repeat_allowance: additional retries per service and window of all entries.
    :param repeat_window_s: length of the sliding window.
    :param grace_s: time between the stop signal and the forced kill.
    :param directory_ttl_s: maximum TTL of a directory response.
    :param evacuate_s: time within which an evacuated zone gets no new requests.
    :param cold_overage: factor on the rate of a cold runner that callers may reach.
    :param cold_allowance: additional requests per second to a cold runner.
    :param stall_s: time for which ranks stall before work that depends on a lost rank
        is cut off.
    """

    revoke_s: float | None = None
    apply_s: float = 2.0
    leaving_s: float = 2.0
    repeat_ratio: float = 0.2
    repeat_allowance: float = 10.0
    repeat_window_s: float = 10.0
    grace_s: float = 8.0
    directory_ttl_s: float = 5.0
    evacuate_s: float = 5.0
    cold_overage: float = 1.5
    cold_allowance: float = 5.0
    stall_s: float = 1.5


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Settings of one entry process.

    :param callers: listen address for callers.
    :param readiness: listen address for the platform's readiness probe.
    :param directory: listen address of the entry directory; ``None`` to disable it.
    :param peers: listen address for updates of other entries.
    :param metrics: listen address for metrics.
    :param memory_mb: memory limit of the process in MB.
    :param max_descriptors: limit on the open descriptors of the process.
    :param least_cost: whether requests are delayed or refused in the order of what that
        costs callers when there is too little room.
    """

    entry_id: str
    zone: str
    callers: Address
    readiness: Address
    directory: Address | None
    peers: Address
    metrics: Address
    bounds: DirectBounds
    memory_mb: float = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    least_cost: bool = False


__all__ = [
    "DEFAULT_MAX_DESCRIPTORS",
    "DEFAULT_MEMORY_MB",
    "Address",
    "DirectBounds",
    "DirectSettings",
]
