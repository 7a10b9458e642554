"""Settings of the agent process, read and validated once at start."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from corianderrelay.state.common_settings import (
    Host,
    PlatformSettings,
    Port,
    Seconds,
    TlsSettings,
    Url,
)

Count = Annotated[int, Meta(ge=1)]
Identifier = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$")]
Name = Annotated[str, Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]


class EndpointSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The engine rank or plain service beside this agent.

    ``slots`` is the number of attempts that it runs concurrently, ``queue`` the number
    of further attempts that may wait for a slot. ``requests_per_s`` limits the attempts
    that start in a second; the endpoint may state a lower limit itself.
    """

    url: Url
    service: Name
    model: str = ""
    group: str = ""
    rank: Annotated[int, Meta(ge=0)] = 0
    slots: Count = 32
    queue: Annotated[int, Meta(ge=0)] = 128
    requests_per_s: Annotated[float, Meta(gt=0.0)] | None = None


class GroupSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The group of ranks that the engine belongs to.

    ``coordinator_host`` and ``coordinator_port`` are the address where rank 0's agent
    listens. ``report_s`` and ``plan_s`` are the periods of popularity reports and of
    planning, ``half_life_s`` is the age at which a popularity report has half its
    weight, all in seconds.
    """

    ranks: Count
    experts: Count
    slots_per_rank: Count
    coordinator_host: Host = "127.0.0.1"
    coordinator_port: Port = 8090
    expert_bytes: Count = 50_000_000
    store_bytes_per_s: Annotated[int, Meta(ge=1)] = 1_000_000_000
    skew_weight: Annotated[float, Meta(ge=0.0)] = 1.0
    move_cost: Annotated[float, Meta(ge=0.0)] = 1.0
    report_s: Seconds = 1.0
    plan_s: Seconds = 5.0
    half_life_s: Seconds = 30.0


class StreamSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Address where the agent listens for entries, and the TLS files of the streams."""

    host: Host = "127.0.0.1"
    port: Port = 8090
    tls: TlsSettings | None = None


class TimingSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Periods and timeouts, in seconds.

    A stream without data for ``silent_after_s`` is closed. Attempts without an
    idempotency key are kept for ``reattach_s`` after their entry has disconnected.
    ``ticket_s`` is the lifetime of a ticket.
    """

    heartbeat_s: Seconds = 1.0
    silent_after_s: Seconds = 3.5
    reattach_s: Seconds = 10.0
    ticket_s: Seconds = 5.0
    drain_deadline_s: Seconds = 600.0


class AgentSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of one agent process."""

    instance_id: Identifier
    zone: Identifier
    endpoint: EndpointSettings
    group: GroupSettings | None = None
    platform: PlatformSettings
    streams: StreamSettings = field(default_factory=StreamSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)


__all__ = [
    "AgentSettings",
    "EndpointSettings",
    "GroupSettings",
    "StreamSettings",
    "TimingSettings",
]
