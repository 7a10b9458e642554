"""Settings of the entry process, read and validated once at startup."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from corianderrelay.state.common_settings import (
    Host,
    PlatformSettings,
    Port,
    Seconds,
    TlsSettings,
)

Count = Annotated[int, Meta(ge=1)]
Identifier = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$")]


class CallerSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Listening address for callers.

    ``address`` is the address that ``GET /v1/entries`` returns for this entry; by
    default the host and port that it listens on.
    """

    host: Host = "127.0.0.1"
    port: Port = 8080
    address: str = ""
    tls: TlsSettings | None = None


class OperatorSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Listening address for operators, and the file with their token."""

    host: Host = "127.0.0.1"
    port: Port = 8081
    token_file: Annotated[str, Meta(min_length=1)]
    tls: TlsSettings | None = None


class LimitSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits that prevent a caller from exhausting the resources of the process."""

    header_bytes: Count = 16 * 1024
    body_bytes: Count = 4 * 1024 * 1024
    waiting_requests: Count = 12_000
    caller_idle_s: Seconds = 60.0
    receive_body_s: Seconds = 30.0
    remembered_requests: Count = 20_000
    named_entries: Annotated[int, Meta(ge=2)] = 16


class TimingSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Intervals and timeouts, in seconds."""

    heartbeat_s: Seconds = 1.0
    silent_after_s: Seconds = 3.0
    entries_ttl_s: Seconds = 15.0
    instance_list_s: Seconds = 2.0
    keep_alive_s: Seconds = 10.0
    drain_deadline_s: Seconds = 600.0


class EntrySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of one entry process."""

    instance_id: Identifier
    zone: Identifier
    operators: OperatorSettings
    platform: PlatformSettings
    callers: CallerSettings = field(default_factory=CallerSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    own_streams_tls: TlsSettings | None = None


__all__ = [
    "CallerSettings",
    "EntrySettings",
    "LimitSettings",
    "OperatorSettings",
    "TimingSettings",
]
