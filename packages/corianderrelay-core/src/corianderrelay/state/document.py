"""The configuration document: workspaces, services, groups and their rules.

Operators always publish complete documents; every process holds the active one. Shares
are fractions of a group's tokens, from 0 to 1.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(pattern="^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Weight = Annotated[float, Meta(ge=0.0)]
KeyDigest = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class ServiceKind(Enum):
    """Type of the backend that serves a service."""

    MODEL = "model"
    PLAIN = "plain"


class Workspace(
    Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, kw_only=True
):
    """A customer of the operators, identified by SHA-256 digests of its API keys."""

    key_digests: Annotated[list[KeyDigest], Meta(min_length=1)]
    services: Annotated[list[Name], Meta(min_length=1)]
    display_name: str = ""


class Service(
    Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, kw_only=True
):
    """A target of callers' requests: a model or a plain HTTP service.

    ``idempotent_methods`` are the HTTP methods of a plain service that may be retried;
    requests with any other method need an ``Idempotency-Key``.
    """

    kind: ServiceKind
    model: Name | None = None
    group: Name | None = None
    idempotent_methods: list[str] = field(default_factory=lambda: ["GET", "HEAD"])
    timeout_s: Annotated[float, Meta(gt=0.0, le=3600.0)] = 120.0


class Share(
    Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, kw_only=True
):
    """A workspace's quota in a group, as fractions of the group's tokens."""

    guaranteed: Fraction
    burst: Fraction = 1.0


class Group(
    Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, kw_only=True
):
    """An expert-parallel group with its balancing weights and workspace quotas.

    The planner weights step-time skew by ``skew_weight`` and the transfer of expert
    weights by ``move_cost``.
    """

    ranks: Annotated[int, Meta(ge=1, le=4096)]
    experts: Annotated[int, Meta(ge=1, le=4096)]
    slots_per_rank: Annotated[int, Meta(ge=1, le=4096)]
    skew_weight: Weight = 1.0
    move_cost: Weight = 1.0
    shares_by_workspace: dict[Name, Share] = field(default_factory=dict, name="shares")


class EndpointTrust(
    Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, kw_only=True
):
    """Whether a service's endpoints check fencing numbers themselves."""

    checks_fencing: bool = False


class Document(
    Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, kw_only=True
):
    """A complete configuration document; each section maps names to items."""

    workspaces_by_name: dict[Name, Workspace] = field(
        default_factory=dict, name="workspaces"
    )
    services_by_name: dict[Name, Service] = field(default_factory=dict, name="services")
    groups_by_name: dict[Name, Group] = field(default_factory=dict, name="groups")
    trust_by_service: dict[Name, EndpointTrust] = field(
        default_factory=dict, name="endpoint_trust"
    )


__all__ = [
    "Document",
    "EndpointTrust",
    "Group",
    "Service",
    "ServiceKind",
    "Share",
    "Workspace",
]
