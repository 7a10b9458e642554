"""The ``audit`` command: lists the records of the audit trail."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from urllib.parse import urlencode

import click

from corianderrelay.state.audit import AuditKind

from .operator_options import entry_client, entry_options, json_option, unwrap_or_exit


@click.command()
@entry_options
@click.option("--kind", type=click.Choice([kind.value for kind in AuditKind]))
@click.option("--workspace")
@click.option("--since-s", type=float, help="Earliest time, in seconds since 1970.")
@click.option("--until-s", type=float, help="Latest time, in seconds since 1970.")
@json_option
def audit(
    operators_url: str,
    token_file: Path,
    kind: str | None,
    workspace: str | None,
    since_s: float | None,
    until_s: float | None,
    as_json: bool,
) -> None:
    """List the audit trail, oldest record first."""
    filters = {
        "kind": kind,
        "workspace": workspace,
        "since_s": since_s,
        "until_s": until_s,
    }
    query = urlencode(
        {
            name: filter_value
            for name, filter_value in filters.items()
            if filter_value is not None
        }
    )
    entry = entry_client(operators_url, token_file)
    records = unwrap_or_exit(entry.get(f"/v1/audit?{query}"))["records"]
    if as_json:
        click.echo(json.dumps(records))
        return
    for record in records:
        time = datetime.fromtimestamp(record["time_s"], UTC).isoformat("T", "seconds")
        subject = " ".join(
            filter(None, (record.get("workspace"), record.get("subject")))
        )
        click.echo(
            f"{time} {record['kind']} {subject} by {record['who']}: {record['why']}"
        )


__all__ = ["audit"]
