"""Command line interface of the entry process."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from result import Err

from corianderrelay.transport.command_line import exit_with_error, settings_option
from corianderrelay.transport.optional_tls import block_tls_import_unless
from corianderrelay.transport.settings_file import read_secret, read_settings

from .audit_command import audit
from .config_commands import config
from .explain_command import explain
from .operator_options import entry_client, entry_options, unwrap_or_exit
from .state.settings import EntrySettings
from .transport.entry_tls import EntryTls


@click.group()
@click.version_option(package_name="corianderrelay-entry")
def main() -> None:
    """Load balancer for expert-parallel model groups: the entry process."""


@main.command()
@settings_option
def serve(settings_file: Path) -> None:
    """Run the entry until SIGTERM or SIGINT."""
    settings, token, tls = _load_settings(settings_file)
    block_tls_import_unless(tls.used, settings.platform.urls)
    from .serve import serve_entry

    sys.exit(serve_entry(settings, token, tls))


@main.command("check-settings")
@settings_option
def check_settings(settings_file: Path) -> None:
    """Validate the settings file and list all errors."""
    _load_settings(settings_file)
    click.echo("settings are valid")


@main.command()
@entry_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
def status(operators_url: str, token_file: Path, as_json: bool) -> None:
    """Show the status of an entry and its runners."""
    reply = unwrap_or_exit(entry_client(operators_url, token_file).get("/v1/status"))
    if as_json:
        click.echo(json.dumps(reply))
        return
    state = (
        "draining" if reply["draining"] else "ready" if reply["ready"] else "waiting"
    )
    click.echo(
        f"{reply['instance_id']} in {reply['zone']}: {state}, configuration "
        f"{reply['config_version']}, {reply['open_requests']} open requests"
    )
    for runner in reply["runners"]:
        click.echo(_format_runner(runner))


@main.command()
@entry_options
def drain(operators_url: str, token_file: Path) -> None:
    """Start draining an entry; callers that still use it are served."""
    unwrap_or_exit(entry_client(operators_url, token_file).post("/v1/drain"))
    click.echo("draining")


def _format_runner(runner: dict[str, Any]) -> str:
    state = "leaving" if runner["leaving"] else "up" if runner["engine_up"] else "down"
    return (
        f"  {runner['instance_id']} ({runner['zone']}) {runner['service']}: {state}, "
        f"{runner['running']} running, {runner['queued']} queued, report "
        f"{runner['report_age_s']:.1f} s old"
    )


def _load_settings(settings_file: Path) -> tuple[EntrySettings, str, EntryTls]:
    settings = read_settings(settings_file, EntrySettings)
    if isinstance(settings, Err):
        exit_with_error(settings.err_value)
    token = read_secret(Path(settings.ok_value.operators.token_file))
    if isinstance(token, Err):
        exit_with_error(token.err_value)
    tls = EntryTls(settings.ok_value)
    loaded = tls.load()
    if isinstance(loaded, Err):
        exit_with_error(loaded.err_value)
    return settings.ok_value, token.ok_value, tls


main.add_command(config)
main.add_command(audit)
main.add_command(explain)

__all__ = ["main"]
