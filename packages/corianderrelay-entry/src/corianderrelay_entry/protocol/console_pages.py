"""Renders the console's pages; all values are HTML-escaped."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
from jinja2 import Environment, PackageLoader

from ..state.draft import Collection, Draft
from .console_forms import item_fields, share_row_count

if TYPE_CHECKING:
    from corianderrelay.state.document import Document

    from .console_forms import Fields, SubmittedItem
    from .replies import EntryStatusReply

_DEFAULT_FIELDS_BY_COLLECTION: dict[Collection, dict[str, str]] = {
    Collection.SERVICES: {"timeout_s": "120", "idempotent_methods": "GET\nHEAD"},
    Collection.GROUPS: {"skew_weight": "1", "move_cost": "1"},
}


@dataclass(slots=True)
class DraftPage:
    """Template values of the draft pages; hidden fields carry the draft itself.

    :param csrf: CSRF token of the forms.
    :param base: version that the draft is based on.
    :param version: the active version.
    :param messages: alerts at the top of the page, such as a version conflict.
    :param faults: validation faults of the draft.
    :param changes: changes from the active version to the draft.
    """

    csrf: str
    base: int
    draft_json: str
    version: int
    names_by_collection: dict[str, list[str]]
    author: str = ""
    messages: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    changes: list[str] = field(default_factory=list)


@dataclass(slots=True)
class EditForm:
    """Template values of an edit form.

    :param item: name of the item being edited; empty for a new one.
    """

    collection: str
    item: str
    fields: Fields
    faults_by_field: dict[str, list[str]] = field(default_factory=dict)

    @property
    def share_row_count(self) -> int:
        """Number of rows in the table of shares."""
        return share_row_count(self.fields)


def draft_page(draft: Draft, csrf: str, version: int) -> DraftPage:
    """Return a draft's template values, without messages, faults or changes."""
    return DraftPage(
        csrf=csrf,
        base=draft.base,
        draft_json=msgspec.json.encode(draft.document).decode(),
        version=version,
        names_by_collection={
            collection.value: sorted(draft.items(collection))
            for collection in Collection
        },
    )


def edit_form(draft: Draft, collection: Collection, name: str) -> EditForm:
    """Return the form of the named item, or a new item's form if it doesn't exist."""
    item = draft.items(collection).get(name)
    if item is None:
        default_fields = _DEFAULT_FIELDS_BY_COLLECTION.get(collection, {})
        return EditForm(collection.value, "", dict(default_fields))
    return EditForm(collection.value, name, item_fields(collection, name, item))


def rejected_form(
    collection: Collection, item: str, fields: Fields, submitted: SubmittedItem
) -> EditForm:
    """Return the form with the submitted values and their faults."""
    return EditForm(collection.value, item, fields, submitted.faults_by_field)


class ConsolePages:
    """Renders the console's Jinja templates."""

    __slots__ = ("_environment",)

    def __init__(self) -> None:
        self._environment = Environment(
            loader=PackageLoader("corianderrelay_entry", "templates"),
            autoescape=True,
            trim_blocks=True,
            lstrip_blocks=True,
        )

    def status(
        self,
        status: EntryStatusReply,
        document: Document,
        csrf: str,
        audit_lines: list[str],
    ) -> bytes:
        """Render the status page, with one line for each recent audit record."""
        return self._render(
            "status.html",
            status=status,
            document=document,
            csrf=csrf,
            audit_lines=audit_lines,
        )

    def draft(self, page: DraftPage) -> bytes:
        """Render the page that lists a draft's items."""
        return self._render("draft.html", page=page)

    def edit(self, page: DraftPage, form: EditForm) -> bytes:
        """Render the edit form of one item."""
        return self._render("edit.html", page=page, form=form)

    def review(self, page: DraftPage) -> bytes:
        """Render the page that shows a draft's changes for review."""
        return self._render("review.html", page=page)

    def _render(self, template: str, **values: Any) -> bytes:
        return self._environment.get_template(template).render(values).encode()


__all__ = [
    "ConsolePages",
    "DraftPage",
    "EditForm",
    "draft_page",
    "edit_form",
    "rejected_form",
]
