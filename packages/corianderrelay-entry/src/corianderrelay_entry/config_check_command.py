"""The command ``config check``: reports on a document before it is published."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click
import msgspec
from result import Err

from corianderrelay.protocol.checked_json import decode_checked
from corianderrelay.state.document import Document
from corianderrelay.state.document_diff import diff_documents
from corianderrelay.state.document_findings import (
    FindingKind,
    find_in_document,
    findings_of,
)
from corianderrelay.state.errors import SettingsError
from corianderrelay.transport.settings_file import read_secret

from .operator_options import json_option
from .protocol.config_api import ConfigReply
from .transport.operator_client import OperatorClient

if TYPE_CHECKING:
    from corianderrelay.state.document_diff import DocumentChange
    from corianderrelay.state.document_findings import Finding
    from corianderrelay.state.errors import RelayError

_EXIT_FINDINGS = 1
_EXIT_NOT_CHECKED = 2  # as click exits on wrong usage


@click.command()
@click.argument("document_file", type=click.Path(path_type=Path), metavar="DOCUMENT")
@click.option("--operators-url", help="Operator URL of an entry, to compare with.")
@click.option(
    "--token-file",
    type=click.Path(path_type=Path),
    help="File that contains the operators' token.",
)
@json_option
def check(
    document_file: Path,
    operators_url: str | None,
    token_file: Path | None,
    as_json: bool,
) -> None:
    """Check a document without publishing it.

    Reports errors, items that no request can match and limits that contradict each
    other; with --operators-url also the differences from the active version. Exits
    with 0 if there are no findings, 1 if there are, 2 if the check was not possible.
    """
    if (operators_url is None) != (token_file is None):
        raise click.UsageError("give both --operators-url and --token-file, or neither")
    try:
        raw = document_file.read_bytes()
    except OSError as error:
        _exit_not_checked(
            SettingsError(f"{document_file} can't be read: {error}", "check the path")
        )
    active = None
    if operators_url is not None and token_file is not None:
        active = _fetch_active(operators_url, token_file)
    decoded = decode_checked(raw, Document)
    changes: list[DocumentChange] | None = None
    if isinstance(decoded, Err):
        findings = findings_of(FindingKind.ERROR, decoded.err_value)
    else:
        findings = find_in_document(decoded.ok_value)
        if active is not None:
            changes = diff_documents(active.document, decoded.ok_value)
    version = None if active is None else active.version
    if as_json:
        click.echo(json.dumps(_build_report(findings, version, changes)))
    else:
        _print_report(findings, version, changes)
    sys.exit(_EXIT_FINDINGS if findings else 0)


def _fetch_active(operators_url: str, token_file: Path) -> ConfigReply:
    token = read_secret(token_file)
    if isinstance(token, Err):
        _exit_not_checked(token.err_value)
    reply = OperatorClient(operators_url, token.ok_value).get("/v1/config")
    if isinstance(reply, Err):
        _exit_not_checked(reply.err_value)
    try:
        return msgspec.convert(reply.ok_value, ConfigReply)
    except msgspec.ValidationError as error:
        _exit_not_checked(
            SettingsError(
                f"the entry's active version can't be read: {error}",
                "use the command line of the entry's release",
            )
        )


def _build_report(
    findings: list[Finding], version: int | None, changes: list[DocumentChange] | None
) -> dict[str, Any]:
    return {
        "findings": [
            {
                "kind": finding.kind.value,
                "path": finding.fault.path,
                "reason": finding.fault.reason,
                "remedy": finding.fault.remedy,
            }
            for finding in findings
        ],
        "active_version": version,
        "differences": None if changes is None else msgspec.to_builtins(changes),
    }


def _print_report(
    findings: list[Finding], version: int | None, changes: list[DocumentChange] | None
) -> None:
    for finding in findings:
        click.echo(str(finding))
    click.echo(f"{len(findings)} findings" if findings else "no findings")
    if version is None:
        click.echo("not compared with an active version; give --operators-url")
    elif changes is None:
        click.echo(f"not compared with version {version}; correct the errors first")
    else:
        click.echo(f"{len(changes)} differences from version {version}")
        for change in changes:
            click.echo(f"  {change}")


def _exit_not_checked(error: RelayError) -> NoReturn:
    click.echo(f"{error.kind}: {error}", err=True)
    sys.exit(_EXIT_NOT_CHECKED)


__all__ = ["check"]
