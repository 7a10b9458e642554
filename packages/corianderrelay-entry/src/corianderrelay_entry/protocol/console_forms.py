"""Converts the console's form fields to items of a document, and back.

Each collection has a parser that builds an item's JSON as in a document file. The JSON
is validated like any document, so each fault has the path of the invalid field.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok, Result

from corianderrelay.protocol.checked_json import decode_checked
from corianderrelay.state.document import Document
from corianderrelay.state.faults import Fault

from ..state.draft import ITEM_TYPES_BY_COLLECTION, Collection, Draft

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

Fields = dict[str, str]
EMPTY_SHARE_ROWS = 2


class SubmittedItem(msgspec.Struct, frozen=True):
    """The result of parsing a submitted edit form.

    :param name: name of the item.
    :param item: the item, or ``None`` if a field is invalid.
    :param faults_by_field: messages by field name; an empty name means the whole form.
    """

    name: str
    item: Any
    faults_by_field: dict[str, list[str]]


def parse_item(collection: Collection, fields: Fields) -> SubmittedItem:
    """Parse and validate the fields of an edit form."""
    name = fields.get("name", "").strip()
    raw_item = _PARSERS_BY_COLLECTION[collection](fields)
    raw_document = {collection.value: {name: raw_item}}
    checked = decode_checked(msgspec.json.encode(raw_document), Document)
    if isinstance(checked, Err):
        prefix = f"$.{collection.value}.{name}."
        return SubmittedItem(name, None, _group_by_field(checked.err_value, prefix))
    item = Draft(0, checked.ok_value).items(collection)[name]
    return SubmittedItem(name, item, {})


def item_fields(collection: Collection, name: str, item: Any) -> Fields:
    """Return the form fields for an existing item."""
    raw_item: dict[str, Any] = msgspec.to_builtins(item)
    lists = {
        key: "\n".join(value)
        for key, value in raw_item.items()
        if isinstance(value, list)
    }
    texts = {
        key: _format_value(value)
        for key, value in raw_item.items()
        if isinstance(value, (str, int, float))
    }
    return {"name": name, **texts, **lists, **_share_fields(raw_item)}


def share_row_count(fields: Fields) -> int:
    """Return the number of share rows that a form shows, including empty ones."""
    used = [
        row
        for row in itertools.takewhile(
            lambda row: f"share_workspace_{row}" in fields, itertools.count()
        )
    ]
    return len(used) + EMPTY_SHARE_ROWS


def parse_draft(fields: Fields) -> Result[Draft, list[Fault]]:
    """Parse the draft and its base version from a form's hidden fields."""
    base = fields.get("base", "")
    if not base.isdecimal():
        return Err([Fault("$.base", "is not a version number", "start a new draft")])
    checked = decode_checked(fields.get("draft", "").encode(), Document)
    if isinstance(checked, Err):
        return checked
    return Ok(Draft(int(base), checked.ok_value))


def _format_value(value: str | float) -> str:
    if isinstance(value, bool):
        return "on" if value else ""
    return str(value)


def _split_lines(text: str) -> list[str]:
    return [line.strip() for line in text.splitlines() if line.strip()]


def _parse_number(text: str) -> int | float | str:
    # Text that isn't a number is returned as is; validation then reports its path.
    for number_type in (int, float):
        try:
            return number_type(text)
        except ValueError:
            continue
    return text


def _parse_workspace(fields: Fields) -> dict[str, Any]:
    return {
        "display_name": fields.get("display_name", ""),
        "key_digests": _split_lines(fields.get("key_digests", "")),
        "services": _split_lines(fields.get("services", "")),
    }


def _parse_service(fields: Fields) -> dict[str, Any]:
    optional = {
        key: fields[key].strip() for key in ("model", "group") if fields.get(key)
    }
    required = {
        "kind": fields.get("kind", ""),
        "timeout_s": _parse_number(fields.get("timeout_s", "")),
        "idempotent_methods": _split_lines(fields.get("idempotent_methods", "")),
    }
    return {**required, **optional}


def _parse_group(fields: Fields) -> dict[str, Any]:
    keys = ("ranks", "experts", "slots_per_rank", "skew_weight", "move_cost")
    numbers = {key: _parse_number(fields.get(key, "")) for key in keys}
    return {**numbers, "shares": _parse_shares(fields)}


def _parse_shares(fields: Fields) -> dict[str, Any]:
    rows = itertools.takewhile(
        lambda row: f"share_workspace_{row}" in fields, itertools.count()
    )
    used_rows = [row for row in rows if fields[f"share_workspace_{row}"].strip()]
    return {
        fields[f"share_workspace_{row}"].strip(): {
            "guaranteed": _parse_number(fields.get(f"share_guaranteed_{row}", "")),
            "burst": _parse_number(fields.get(f"share_burst_{row}", "") or "1"),
        }
        for row in used_rows
    }


def _share_fields(raw_item: Mapping[str, Any]) -> Fields:
    shares = raw_item.get("shares", {})
    return {
        f"share_{key}_{row}": str(value)
        for row, (workspace, share) in enumerate(sorted(shares.items()))
        for key, value in (("workspace", workspace), *{"burst": 1.0, **share}.items())
    }


def _parse_endpoint_trust(fields: Fields) -> dict[str, Any]:
    return {"checks_fencing": fields.get("checks_fencing") == "on"}


_PARSERS_BY_COLLECTION: dict[Collection, Callable[[Fields], dict[str, Any]]] = {
    Collection.WORKSPACES: _parse_workspace,
    Collection.SERVICES: _parse_service,
    Collection.GROUPS: _parse_group,
    Collection.ENDPOINT_TRUST: _parse_endpoint_trust,
}


def _group_by_field(faults: list[Fault], prefix: str) -> dict[str, list[str]]:
    by_field: dict[str, list[str]] = {}
    for fault in faults:
        field = _field_name(fault.path, prefix)
        by_field.setdefault(field, []).append(f"{fault.reason}; {fault.remedy}")
    return by_field


def _field_name(path: str, prefix: str) -> str:
    if not path.startswith(prefix):
        return "name"
    return path.removeprefix(prefix).split(".")[0].split("[")[0]


__all__ = [
    "Fields",
    "SubmittedItem",
    "ITEM_TYPES_BY_COLLECTION",
    "item_fields",
    "parse_draft",
    "parse_item",
    "share_row_count",
]
