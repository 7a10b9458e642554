"""Bodies of the successful responses that the entry itself generates."""

from __future__ import annotations

from msgspec import Struct

from ..state.entry_directory import EntryAddress


class ListedModel(Struct, frozen=True):
    """A model that a workspace may use, in the format of the OpenAI API."""

    id: str
    object: str = "model"
    owned_by: str = "corianderrelay"


class ModelsReply(Struct, frozen=True):
    """Response of ``GET /v1/models``."""

    data: list[ListedModel]
    object: str = "list"


class EntriesReply(Struct, frozen=True):
    """Response of ``GET /v1/entries``: entries, and the seconds to cache them."""

    entries: list[EntryAddress]
    ttl_s: float


class StateReply(Struct, frozen=True):
    """Response of the health routes and of ``POST /v1/drain``."""

    state: str


class RequestStatusReply(Struct, frozen=True):
    """Response of ``GET /v1/requests/{id}``."""

    request_id: str
    state: str
    service: str
    runner: str
    tokens: int


class RunnerStatus(Struct, frozen=True):
    """A runner's state, from its agent's last heartbeat to this entry."""

    instance_id: str
    zone: str
    service: str
    group: str
    rank: int
    running: int
    queued: int
    leaving: bool
    engine_up: bool
    report_age_s: float


class EntryStatusReply(Struct, frozen=True):
    """Response of the operators' ``GET /v1/status``."""

    instance_id: str
    zone: str
    ready: bool
    draining: bool
    config_version: int
    open_requests: int
    runners: list[RunnerStatus]


__all__ = [
    "EntriesReply",
    "EntryStatusReply",
    "ListedModel",
    "ModelsReply",
    "RequestStatusReply",
    "RunnerStatus",
    "StateReply",
]
