"""Steps for validating and comparing configuration documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from behave import given, then, when
from msgspec.structs import replace

from corianderrelay.state.document import (
    Document,
    EndpointTrust,
    Group,
    Service,
    ServiceKind,
    Share,
    Workspace,
)
from corianderrelay.state.document_check import check_document
from corianderrelay.state.document_diff import diff_documents

if TYPE_CHECKING:
    from collections.abc import Callable

_DIGEST = "a" * 64


def _with_workspace(document: Document, **fields: Any) -> Document:
    workspace = replace(document.workspaces_by_name["kits"], **fields)
    items_by_name = document.workspaces_by_name | {"kits": workspace}
    return replace(document, workspaces_by_name=items_by_name)


def _with_service(document: Document, name: str, **fields: Any) -> Document:
    service = replace(document.services_by_name[name], **fields)
    items_by_name = document.services_by_name | {name: service}
    return replace(document, services_by_name=items_by_name)


def _with_group(document: Document, **fields: Any) -> Document:
    group = replace(document.groups_by_name["main"], **fields)
    return replace(document, groups_by_name={"main": group})


def _with_shares(document: Document, **shares: Share) -> Document:
    return _with_group(document, shares_by_workspace=shares)


_CHANGES: dict[str, Callable[[Document], Document]] = {
    "a workspace with an unknown service": lambda document: _with_workspace(
        document, services=["assistant", "absent"]
    ),
    "a key digest in two workspaces": lambda document: replace(
        document,
        workspaces_by_name=document.workspaces_by_name
        | {"books": document.workspaces_by_name["kits"]},
    ),
    "a model service without a group": lambda document: _with_service(
        document, "assistant", group=None
    ),
    "a model service without a model": lambda document: _with_service(
        document, "assistant", model=None
    ),
    "a service with an unknown group": lambda document: _with_service(
        document, "assistant", group="absent"
    ),
    "a plain service with a group": lambda document: _with_service(
        document, "shop", group="main"
    ),
    "guaranteed shares above one": lambda document: _with_shares(
        document, kits=Share(guaranteed=0.7), books=Share(guaranteed=0.4)
    ),
    "a burst below the guaranteed share": lambda document: _with_shares(
        document, kits=Share(guaranteed=0.5, burst=0.4)
    ),
    "a share of an unknown workspace": lambda document: _with_shares(
        document, other=Share(guaranteed=0.1)
    ),
    "too few slots for its experts": lambda document: _with_group(
        document, slots_per_rank=1
    ),
    "trust in an unknown service": lambda document: replace(
        document, trust_by_service={"other": EndpointTrust()}
    ),
}


@given("a valid configuration document")
def step_document(context: Any) -> None:
    context.old_document = context.document = Document(
        workspaces_by_name={
            "kits": Workspace(key_digests=[_DIGEST], services=["assistant"]),
            "books": Workspace(key_digests=["b" * 64], services=["shop"]),
        },
        services_by_name={
            "assistant": Service(
                kind=ServiceKind.MODEL, model="assistant-1", group="main"
            ),
            "shop": Service(kind=ServiceKind.PLAIN),
        },
        groups_by_name={
            "main": Group(
                ranks=2,
                experts=8,
                slots_per_rank=5,
                shares_by_workspace={"kits": Share(guaranteed=0.5)},
            )
        },
    )


@when("the document has {change}")
def step_apply_change(context: Any, change: str) -> None:
    context.document = _CHANGES[change](context.document)


@then("the document check finds no faults")
def step_no_faults(context: Any) -> None:
    assert check_document(context.document) == []


@then("the document check finds a fault at {path}")
def step_fault_at(context: Any, path: str) -> None:
    faults = check_document(context.document)
    found = [fault for fault in faults if fault.path == path]
    assert found, [str(fault) for fault in faults]
    assert all(fault.reason and fault.remedy for fault in faults)


@then("the document check finds {number:d} faults")
def step_fault_count(context: Any, number: int) -> None:
    faults = check_document(context.document)
    assert len(faults) == number, [str(fault) for fault in faults]


@then('the document difference is "{difference}"')
def step_difference(context: Any, difference: str) -> None:
    changes = diff_documents(context.old_document, context.document)
    assert [str(change) for change in changes] == [difference], changes
