"""The ``explain`` command: merges one request's records from several log files."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_OMITTED_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "role", "request"})
_LEADING_FIELDS = ("message_type", "instance_id")
_NOT_FOUND = 1


def records_of_request(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log records of one request, sorted by timestamp.

    :param lines: lines of one or more logs; lines without a JSON record are skipped.
    """
    records = [
        record
        for record in _parse_records(lines)
        if record.get("request") == request_id
    ]
    return sorted(records, key=lambda record: float(record["timestamp"]))


def format_records(request_records: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a line of text for each record, with the seconds since the first record."""
    for record in request_records:
        after_s = float(record["timestamp"]) - float(request_records[0]["timestamp"])
        leading = " ".join(str(record.get(name, "?")) for name in _LEADING_FIELDS)
        rest = " ".join(
            f"{key}={value}"
            for key, value in record.items()
            if key not in _OMITTED_FIELDS
            and key not in _LEADING_FIELDS
            and value is not None
        )
        yield f"+{after_s:8.4f} s  {leading}  {rest}"


@click.command()
@click.option(
    "--request",
    "request_id",
    required=True,
    help="Id of the request, from the x-request-id response header.",
)
@click.argument("logs", nargs=-1, required=True, type=click.File("r", errors="replace"))
def explain(request_id: str, logs: tuple[Any, ...]) -> None:
    """Show the log records of one request, merged from the entries' log files."""
    request_records = records_of_request(
        request_id, (line for log in logs for line in log)
    )
    if not request_records:
        click.echo(
            f"no log record of request {request_id}; pass the logs of all entries, "
            "and those from before a restart",
            err=True,
        )
        sys.exit(_NOT_FOUND)
    for line in format_records(request_records):
        click.echo(line)


def _parse_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue  # truncated, or written by another program
        if isinstance(record, dict) and "timestamp" in record:
            yield record


__all__ = ["explain", "records_of_request", "format_records"]
