"""Command line of the entry."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click
from result import Err

from corianderrelay.transport.optional_tls import leave_tls_out
from corianderrelay.transport.settings_file import read_secret, read_settings

from .state.settings import EntrySettings
from .transport.entry_tls import EntryTls

if TYPE_CHECKING:
    from corianderrelay.state.errors import RelayError

_EXIT_REFUSED = 1

_settings_option = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path),
    required=True,
    help="JSON file with this process's settings.",
)


@click.group()
@click.version_option(package_name="corianderrelay-entry")
def main() -> None:
    """Load balancer for expert-parallel model groups: the entry process."""


@main.command()
@_settings_option
def serve(settings_file: Path) -> None:
    """Serve callers and operators until SIGTERM."""
    settings, token, tls = _load(settings_file)
    if not tls.used:
        leave_tls_out()
    from .serve import serve_entry

    sys.exit(serve_entry(settings, token, tls))


@main.command("check-settings")
@_settings_option
def check_settings(settings_file: Path) -> None:
    """Check the settings and name every fault."""
    _load(settings_file)
    click.echo("settings are valid")


def _load(settings_file: Path) -> tuple[EntrySettings, str, EntryTls]:
    settings = read_settings(settings_file, EntrySettings)
    if isinstance(settings, Err):
        _refuse(settings.err_value)
    token = read_secret(Path(settings.ok_value.operators.token_file))
    if isinstance(token, Err):
        _refuse(token.err_value)
    tls = EntryTls(settings.ok_value)
    loaded = tls.load()
    if isinstance(loaded, Err):
        _refuse(loaded.err_value)
    return settings.ok_value, token.ok_value, tls


def _refuse(error: RelayError) -> NoReturn:
    click.echo(f"{error.kind}: {error}", err=True)
    sys.exit(_EXIT_REFUSED)


__all__ = ["main"]
