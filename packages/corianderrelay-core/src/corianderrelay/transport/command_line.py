"""Command-line options and error handling shared by both binaries."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from ..state.errors import RelayError

_EXIT_ERROR = 1

settings_option = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path),
    required=True,
    help="JSON file with this process's settings.",
)


def exit_with_error(error: RelayError) -> NoReturn:
    """Print an error with its kind and remedy, and exit with status 1."""
    click.echo(f"{error.kind}: {error}", err=True)
    sys.exit(_EXIT_ERROR)


__all__ = ["exit_with_error", "settings_option"]
