"""Finds what is wrong or without effect in a document before it is published.

Errors prevent the publication. The other findings do not: an item that no request can
match, or limits of which one makes another pointless, may be intended for a while.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import chain
from typing import TYPE_CHECKING

from .document import Service, ServiceKind
from .document_check import check_document
from .faults import Fault

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .document import Document, Group

_SHARE_TOLERANCE = 1e-9
_DEFAULT_METHODS = Service(kind=ServiceKind.PLAIN).idempotent_methods


class FindingKind(Enum):
    """What a finding means for the document."""

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"


@dataclass(slots=True, frozen=True)
class Finding:
    """One finding; ``str`` returns it as a line of text."""

    kind: FindingKind
    fault: Fault

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.fault}"


def find_in_document(document: Document) -> list[Finding]:
    """Return all findings; errors come first."""
    unmatched = chain(
        _unused_services(document),
        _shadowed_models(document),
        _unmatched_methods(document),
        _unused_groups(document),
        _unused_shares(document),
    )
    contradictions = chain.from_iterable(
        _share_contradictions(f"$.groups.{name}", group, _users(document, name))
        for name, group in document.groups_by_name.items()
    )
    return [
        *findings_of(FindingKind.ERROR, check_document(document)),
        *findings_of(FindingKind.NEVER_MATCHES, unmatched),
        *findings_of(FindingKind.CONTRADICTION, contradictions),
    ]


def findings_of(kind: FindingKind, faults: Iterable[Fault]) -> list[Finding]:
    """Return faults as findings of one kind."""
    return [Finding(kind, fault) for fault in faults]


def _unused_services(document: Document) -> Iterator[Fault]:
    used = set(
        chain.from_iterable(
            workspace.services for workspace in document.workspaces_by_name.values()
        )
    )
    return (
        Fault(
            f"$.services.{name}",
            "no workspace may use this service, so no request reaches it",
            "list it in the services of a workspace or remove it",
        )
        for name in document.services_by_name
        if name not in used
    )


def _shadowed_models(document: Document) -> Iterator[Fault]:
    """Yield the models whose requests go to earlier services in all workspaces.

    Entries serve a model by the first service of the document that the workspace may
    use and whose model or name is the requested one.
    """
    for name, service in document.services_by_name.items():
        if service.kind is not ServiceKind.MODEL or service.model is None:
            continue
        takers = [
            _first_match(document, service.model, workspace.services)
            for workspace in document.workspaces_by_name.values()
            if name in workspace.services
        ]
        if takers and name not in takers:
            others = ", ".join(sorted({taker for taker in takers if taker}))
            yield Fault(
                f"$.services.{name}.model",
                f"requests for {service.model!r} go to {others}, listed before",
                "list one service of the model in each workspace, or rename the model",
            )


def _first_match(document: Document, model: str, allowed: list[str]) -> str | None:
    return next(
        (
            name
            for name, service in document.services_by_name.items()
            if service.kind is ServiceKind.MODEL
            and name in allowed
            and model in (service.model, name)
        ),
        None,
    )


def _unmatched_methods(document: Document) -> Iterator[Fault]:
    for name, service in document.services_by_name.items():
        path = f"$.services.{name}.idempotent_methods"
        if service.kind is ServiceKind.MODEL:
            if service.idempotent_methods != _DEFAULT_METHODS:
                yield Fault(
                    path, "the methods of a model service are not used", "remove them"
                )
            continue
        for index, method in enumerate(service.idempotent_methods):
            if method != method.strip().upper() or not method:
                yield Fault(
                    f"{path}[{index}]",
                    f"no request has the method {method!r}; methods are case-sensitive",
                    "write the method in upper case, without spaces, or remove it",
                )


def _unused_groups(document: Document) -> Iterator[Fault]:
    used = {service.group for service in document.services_by_name.values()}
    return (
        Fault(
            f"$.groups.{name}",
            "no service uses this group, so its rules apply to no request",
            "set it as the group of a model service or remove it",
        )
        for name in document.groups_by_name
        if name not in used
    )


def _unused_shares(document: Document) -> Iterator[Fault]:
    return (
        Fault(
            f"$.groups.{group_name}.shares.{name}",
            "this workspace may use no service of the group, so its share is unused",
            "list a service of the group in the workspace or remove the share",
        )
        for group_name, group in document.groups_by_name.items()
        for name in group.shares_by_workspace
        if name in document.workspaces_by_name
        and name not in _users(document, group_name)
    )


def _users(document: Document, group_name: str) -> list[str]:
    """Return the workspaces that may use a service of a group."""
    services = {
        name
        for name, service in document.services_by_name.items()
        if service.group == group_name
    }
    return [
        name
        for name, workspace in document.workspaces_by_name.items()
        if services.intersection(workspace.services)
    ]


def _share_contradictions(path: str, group: Group, users: list[str]) -> Iterator[Fault]:
    shares = group.shares_by_workspace
    for name in users:
        if name in shares and not shares[name].burst:
            yield Fault(
                f"{path}.shares.{name}.burst",
                "the burst is 0, but the workspace may use a service of the group",
                "raise the burst or remove the service from the workspace",
            )
    guaranteed = sum(share.guaranteed for share in shares.values())
    without = [
        name for name in users if name not in shares or not shares[name].guaranteed
    ]
    if without and abs(guaranteed - 1.0) <= _SHARE_TOLERANCE:
        yield Fault(
            f"{path}.shares",
            "the guaranteed shares take all tokens, but these workspaces without one "
            f"may use the group: {', '.join(without)}",
            "lower the guaranteed shares or remove the services from the workspaces",
        )
    bursts = sum(shares[name].burst for name in users if name in shares)
    if users and shares.keys() >= set(users) and bursts < 1.0 - _SHARE_TOLERANCE:
        yield Fault(
            f"{path}.shares",
            f"the bursts add up to {bursts:g}, so the rest of the group stays unused",
            "raise the bursts to a sum of at least 1",
        )


__all__ = ["Finding", "FindingKind", "find_in_document", "findings_of"]
