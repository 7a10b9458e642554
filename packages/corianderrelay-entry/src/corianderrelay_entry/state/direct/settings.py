"""What an entry of a direct deployment is told at its start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class DirectBounds:
    """Bounds of the deployment, in seconds unless said otherwise.

    :param revoke_s: time within which a revoked key stops working; ``None`` if unbound.
    :param leaving_s: time within which a leaving runner gets no more new work.
    :param repeat_ratio: repeats allowed for each request of a service.
    :param repeat_allowance: repeats allowed besides, by all entries in one window.
    :param repeat_window_s: length of that window.
    :param grace_s: time between the signal to stop and the kill.
    :param directory_ttl_s: longest time that callers count of a directory answer.
    """

    revoke_s: float | None = None
    leaving_s: float = 2.0
    repeat_ratio: float = 0.2
    repeat_allowance: float = 10.0
    repeat_window_s: float = 10.0
    grace_s: float = 8.0
    directory_ttl_s: float = 5.0


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Settings of one entry process.

    :param callers: where callers connect.
    :param readiness: where the platform asks whether the entry is ready.
    :param directory: where callers ask for entries; ``None`` if it does not serve them.
    :param peers: where other entries send their news.
    :param metrics: where metrics are read.
    """

    entry_id: str
    zone: str
    callers: Address
    readiness: Address
    directory: Address | None
    peers: Address
    metrics: Address
    bounds: DirectBounds


__all__ = ["Address", "DirectBounds", "DirectSettings"]
