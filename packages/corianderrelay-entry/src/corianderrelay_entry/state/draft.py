"""A draft of the configuration document, as edited in the operators' console."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

import msgspec

from corianderrelay.state.document import (
    Document,
    EndpointTrust,
    Group,
    Service,
    Workspace,
)

if TYPE_CHECKING:
    from collections.abc import Mapping


class Collection(Enum):
    """The parts of a document that the console edits in separate forms."""

    WORKSPACES = "workspaces"
    SERVICES = "services"
    GROUPS = "groups"
    ENDPOINT_TRUST = "endpoint_trust"


ITEM_TYPES_BY_COLLECTION: dict[Collection, type[Any]] = {
    Collection.WORKSPACES: Workspace,
    Collection.SERVICES: Service,
    Collection.GROUPS: Group,
    Collection.ENDPOINT_TRUST: EndpointTrust,
}
_ATTRIBUTES_BY_COLLECTION = {
    Collection.WORKSPACES: "workspaces_by_name",
    Collection.SERVICES: "services_by_name",
    Collection.GROUPS: "groups_by_name",
    Collection.ENDPOINT_TRUST: "trust_by_service",
}


class Draft(msgspec.Struct, frozen=True):
    """A configuration document that is being edited.

    :param base: version that the draft started from; publishing compares it with the
        active version to detect conflicts.
    """

    base: int
    document: Document

    def items(self, collection: Collection) -> Mapping[str, Any]:
        """Return the items of a collection, keyed by name."""
        items: Mapping[str, Any] = getattr(
            self.document, _ATTRIBUTES_BY_COLLECTION[collection]
        )
        return items

    def with_item(self, collection: Collection, name: str, item: Any) -> Draft:
        """Return a copy of the draft with an item added or replaced."""
        return self._with_items(collection, {**self.items(collection), name: item})

    def without_item(self, collection: Collection, name: str) -> Draft:
        """Return a copy of the draft without an item."""
        kept = {
            key: item for key, item in self.items(collection).items() if key != name
        }
        return self._with_items(collection, kept)

    def rebased(self, base: int) -> Draft:
        """Return the same document as a draft based on another version."""
        return Draft(base, self.document)

    def _with_items(self, collection: Collection, items: Mapping[str, Any]) -> Draft:
        attribute = _ATTRIBUTES_BY_COLLECTION[collection]
        document = msgspec.structs.replace(self.document, **{attribute: dict(items)})
        return Draft(self.base, document)


__all__ = ["Collection", "Draft", "ITEM_TYPES_BY_COLLECTION"]
