"""Generates docs/operators/settings.md from the typed settings.

``python -m bench.settings_reference`` writes the page. With ``--check``, it exits with
status 1 if the committed page is out of date.
"""

from __future__ import annotations

import sys
from itertools import chain
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from corianderrelay_agent.state.settings import AgentSettings
from corianderrelay_entry.state.settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Iterator

_PAGE = Path(__file__).resolve().parent.parent / "docs" / "operators" / "settings.md"
_HEAD = """# Settings

Written by `python -m bench.settings_reference` from the typed settings; do not edit by
hand. Unknown keys are refused with the nearest known one.
"""
_TABLE_HEAD = "| key | type and limits | default |\n|---|---|---|\n"
_LIMITS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "more than {}",
    "maximum": "at most {}",
    "minLength": "at least {} characters",
    "maxLength": "at most {} characters",
    "pattern": "form `{}`",
}


def render_settings_page() -> str:
    """Return the Markdown text of the page."""
    return "\n".join(
        [_HEAD, _section("Entry", EntrySettings), _section("Agent", AgentSettings)]
    )


def _section(title: str, kind: type[Any]) -> str:
    rows = "".join(_rows(kind, ""))
    return f"## {title}\n\n{_TABLE_HEAD}{rows}"


def _rows(kind: type[Any], prefix: str) -> Iterator[str]:
    schema = msgspec.json.schema(kind)["$defs"]
    for field in msgspec.structs.fields(kind):
        nested = _nested_struct(field.type)
        path = f"{prefix}{field.encode_name}"
        field_schema = schema[kind.__name__]["properties"][field.encode_name]
        if nested is None:
            yield f"| `{path}` | {_describe_type(field_schema)} | {_default(field)} |\n"
        else:
            yield from chain([_struct_row(path, field)], _rows(nested, f"{path}."))


def _nested_struct(annotation: Any) -> type[Any] | None:
    options = [annotation, *getattr(annotation, "__args__", ())]
    return next(
        (
            option
            for option in options
            if isinstance(option, type) and issubclass(option, msgspec.Struct)
        ),
        None,
    )


def _struct_row(path: str, field: Any) -> str:
    needed = "required" if field.required else "optional"
    return f"| `{path}` | object | {needed} |\n"


def _describe_type(field_schema: dict[str, Any]) -> str:
    options = field_schema.get("anyOf", [field_schema])
    kinds = " or ".join(option.get("type", "value") for option in options)
    limits = [
        text.format(option[name])
        for option in options
        for name, text in _LIMITS.items()
        if name in option
    ]
    return ", ".join([kinds, *limits]).replace("|", "\\|")


def _default(field: Any) -> str:
    if field.required:
        return "required"
    return f"`{msgspec.json.encode(field.default).decode()}`"


@click.command()
@click.option(
    "--check", is_flag=True, help="Only compare the page with the committed one."
)
def main(check: bool) -> None:
    """Write the settings reference or check that it is up to date."""
    page = render_settings_page()
    if not check:
        _PAGE.write_text(page)
    elif _PAGE.read_text() != page:
        click.echo(
            "docs/operators/settings.md is out of date: run bench.settings_reference"
        )
        sys.exit(1)


if __name__ == "__main__":
    main()
