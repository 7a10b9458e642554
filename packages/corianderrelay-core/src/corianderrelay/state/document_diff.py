"""Computes the differences between two configuration documents, item by item."""

from __future__ import annotations

from enum import Enum
from itertools import chain
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from .document import Document


class ChangeKind(Enum):
    """How a named item changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class DocumentChange(msgspec.Struct, frozen=True):
    """One named item that differs between two documents.

    :param path: section and name of the item, such as ``services.assistant``.
    :param fields: names of the fields that differ, if the item is in both documents.
    """

    path: str
    kind: ChangeKind
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        changed_fields = f" ({', '.join(self.fields)})" if self.fields else ""
        return f"{self.path} {self.kind.value}{changed_fields}"


def diff_documents(old: Document, new: Document) -> list[DocumentChange]:
    """Return the items that differ, sorted by path."""
    sections = (
        ("endpoint_trust", old.trust_by_service, new.trust_by_service),
        ("groups", old.groups_by_name, new.groups_by_name),
        ("services", old.services_by_name, new.services_by_name),
        ("workspaces", old.workspaces_by_name, new.workspaces_by_name),
    )
    return list(
        chain.from_iterable(
            _diff_items(section, old_items, new_items)
            for section, old_items, new_items in sections
        )
    )


def _diff_items(
    section: str,
    old: Mapping[str, msgspec.Struct],
    new: Mapping[str, msgspec.Struct],
) -> Iterator[DocumentChange]:
    for name in sorted(old.keys() | new.keys()):
        path = f"{section}.{name}"
        if name not in old:
            yield DocumentChange(path, ChangeKind.ADDED)
        elif name not in new:
            yield DocumentChange(path, ChangeKind.REMOVED)
        elif old[name] != new[name]:
            fields = _changed_fields(old[name], new[name])
            yield DocumentChange(path, ChangeKind.CHANGED, fields)


def _changed_fields(old: msgspec.Struct, new: msgspec.Struct) -> tuple[str, ...]:
    return tuple(
        encoded
        for name, encoded in zip(old.__struct_fields__, old.__struct_encode_fields__)
        if getattr(old, name) != getattr(new, name)
    )


__all__ = ["ChangeKind", "DocumentChange", "diff_documents"]
