"""The ``config`` commands: validate, check, publish, show and compare documents."""

from __future__ import annotations

import getpass
import json
from pathlib import Path
from typing import Any

import click
import msgspec
from result import Err

from corianderrelay.protocol.checked_json import decode_checked
from corianderrelay.state.config_errors import invalid_document_error
from corianderrelay.state.document import Document
from corianderrelay.state.document_check import check_document
from corianderrelay.state.document_diff import diff_documents
from corianderrelay.state.errors import SettingsError
from corianderrelay.transport.command_line import exit_with_error

from .config_check_command import check
from .operator_options import entry_client, entry_options, json_option, unwrap_or_exit
from .protocol.config_api import ConfigReply, PublishRequest

_document_argument = click.argument(
    "document_file", type=click.Path(path_type=Path), metavar="DOCUMENT"
)


@click.group()
def config() -> None:
    """Validate, publish and show configuration documents."""


@config.command()
@_document_argument
def validate(document_file: Path) -> None:
    """Validate a document and list all errors."""
    _read_document(document_file)
    click.echo("the document is valid")


@config.command()
@_document_argument
@entry_options
@click.option(
    "--base", type=int, required=True, help="Version that the document is based on."
)
@click.option("--author", default=getpass.getuser, help="Author of the change.")
@click.option("--note", default="", help="Reason for the change.")
@json_option
def publish(
    document_file: Path,
    operators_url: str,
    token_file: Path,
    base: int,
    author: str,
    note: str,
    as_json: bool,
) -> None:
    """Publish a document; fail if its base is not the active version."""
    document = _read_document(document_file)
    request = PublishRequest(base=base, document=document, author=author, note=note)
    entry = entry_client(operators_url, token_file)
    reply = unwrap_or_exit(entry.post("/v1/config", msgspec.json.encode(request)))
    text = f"version {reply['version']} is active"
    click.echo(json.dumps(reply) if as_json else text)


@config.command()
@entry_options
@json_option
def show(operators_url: str, token_file: Path, as_json: bool) -> None:
    """Show the active document of an entry."""
    reply = unwrap_or_exit(entry_client(operators_url, token_file).get("/v1/config"))
    if as_json:
        click.echo(json.dumps(reply))
        return
    click.echo(f"version {reply['version']} by {reply['author']}", err=True)
    click.echo(json.dumps(reply["document"], indent=2))


@config.command()
@entry_options
@json_option
def history(operators_url: str, token_file: Path, as_json: bool) -> None:
    """Show the latest publications and their results."""
    reply = unwrap_or_exit(
        entry_client(operators_url, token_file).get("/v1/config/history")
    )
    if as_json:
        click.echo(json.dumps(reply))
        return
    for entry in reply["entries"]:
        click.echo(_format_history_entry(entry))


@config.command()
@_document_argument
@entry_options
def diff(document_file: Path, operators_url: str, token_file: Path) -> None:
    """Show the changes between the active document and a file."""
    document = _read_document(document_file)
    reply = unwrap_or_exit(entry_client(operators_url, token_file).get("/v1/config"))
    active = msgspec.convert(reply, ConfigReply)
    for change in diff_documents(active.document, document):
        click.echo(str(change))


config.add_command(check)


def _format_history_entry(entry: dict[str, Any]) -> str:
    changes = "; ".join(entry["changes"]) or "nothing changed"
    outcome = changes if entry["result"] == "accepted" else entry["result"]
    note = f" ({entry['note']})" if entry["note"] else ""
    return f"version {entry['version']} by {entry['author']}: {outcome}{note}"


def _read_document(path: Path) -> Document:
    try:
        raw = path.read_bytes()
    except OSError as error:
        exit_with_error(
            SettingsError(f"{path} can't be read: {error}", "check the path")
        )
    decoded = decode_checked(raw, Document)
    if isinstance(decoded, Err):
        exit_with_error(invalid_document_error(decoded.err_value))
    faults = check_document(decoded.ok_value)
    if faults:
        exit_with_error(invalid_document_error(faults))
    return decoded.ok_value


__all__ = ["config"]
