"""Validates the constraints of a configuration document that span several fields."""

from __future__ import annotations

from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING

from .document import ServiceKind
from .faults import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .document import Document, Group, Service

_SHARE_TOLERANCE = 1e-9


def check_document(document: Document) -> list[Fault]:
    """Return all faults; the list is empty if the document may become active."""
    checks = (
        _key_digest_faults(document),
        _workspace_faults(document),
        _service_faults(document),
        _group_faults(document),
        _trust_faults(document),
    )
    return list(chain.from_iterable(checks))


def _key_digest_faults(document: Document) -> Iterator[Fault]:
    use_counts = Counter(
        digest
        for workspace in document.workspaces_by_name.values()
        for digest in workspace.key_digests
    )
    return (
        Fault(
            f"$.workspaces.{name}.key_digests[{index}]",
            "this key digest is listed more than once",
            "give each workspace its own keys and list each key once",
        )
        for name, workspace in document.workspaces_by_name.items()
        for index, digest in enumerate(workspace.key_digests)
        if use_counts[digest] > 1
    )


def _workspace_faults(document: Document) -> Iterator[Fault]:
    return (
        _unknown_name_fault(
            f"$.workspaces.{name}.services[{index}]", "service", service
        )
        for name, workspace in document.workspaces_by_name.items()
        for index, service in enumerate(workspace.services)
        if service not in document.services_by_name
    )


def _service_faults(document: Document) -> Iterator[Fault]:
    return chain.from_iterable(
        _single_service_faults(f"$.services.{name}", service, document)
        for name, service in document.services_by_name.items()
    )


def _single_service_faults(
    path: str, service: Service, document: Document
) -> Iterator[Fault]:
    is_model = service.kind is ServiceKind.MODEL
    if is_model and service.model is None:
        yield Fault(f"{path}.model", "a model service needs a model", "set its model")
    if is_model and service.group is None:
        yield Fault(f"{path}.group", "a model service needs a group", "set its group")
    if not is_model and service.model is not None:
        yield _model_only_field_fault(f"{path}.model")
    if not is_model and service.group is not None:
        yield _model_only_field_fault(f"{path}.group")
    if service.group is not None and service.group not in document.groups_by_name:
        yield _unknown_name_fault(f"{path}.group", "group", service.group)


def _group_faults(document: Document) -> Iterator[Fault]:
    return chain.from_iterable(
        _single_group_faults(f"$.groups.{name}", group, document)
        for name, group in document.groups_by_name.items()
    )


def _single_group_faults(
    path: str, group: Group, document: Document
) -> Iterator[Fault]:
    if group.slots_per_rank * group.ranks < group.experts:
        yield Fault(
            f"{path}.slots_per_rank",
            f"{group.ranks} ranks have {group.slots_per_rank * group.ranks} slots "
            f"for {group.experts} experts",
            f"set at least {-(-group.experts // group.ranks)} slots per rank",
        )
    shares = group.shares_by_workspace
    guaranteed = sum(share.guaranteed for share in shares.values())
    if guaranteed > 1.0 + _SHARE_TOLERANCE:
        yield Fault(
            f"{path}.shares",
            f"the sum of the guaranteed shares is {guaranteed:g}",
            "lower the shares to a sum of at most 1",
        )
    for name, share in shares.items():
        if name not in document.workspaces_by_name:
            yield _unknown_name_fault(f"{path}.shares.{name}", "workspace", name)
        if share.burst < share.guaranteed:
            yield Fault(
                f"{path}.shares.{name}.burst",
                f"the burst {share.burst:g} is below the guaranteed "
                f"{share.guaranteed:g}",
                "raise the burst to at least the guaranteed share",
            )


def _trust_faults(document: Document) -> Iterator[Fault]:
    return (
        _unknown_name_fault(f"$.endpoint_trust.{name}", "service", name)
        for name in document.trust_by_service
        if name not in document.services_by_name
    )


def _unknown_name_fault(path: str, kind: str, name: str) -> Fault:
    return Fault(
        path,
        f"there is no {kind} {name!r}",
        f"add the {kind} to the document or correct the name",
    )


def _model_only_field_fault(path: str) -> Fault:
    return Fault(path, "this field is valid only for model services", "remove it")


__all__ = ["check_document"]
