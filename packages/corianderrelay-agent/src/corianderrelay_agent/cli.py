"""Command-line interface of the agent."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click
from result import Err, Ok

from corianderrelay.transport.command_line import exit_with_error, settings_option
from corianderrelay.transport.optional_tls import block_tls_import_unless, tls_files
from corianderrelay.transport.settings_file import read_settings

from .state.settings import AgentSettings

if TYPE_CHECKING:
    from pathlib import Path

    from corianderrelay.transport.tls import TlsFiles


@click.group()
@click.version_option(package_name="corianderrelay-agent")
def main() -> None:
    """Load balancer for expert-parallel model groups: the agent process."""


@main.command()
@settings_option
def run(settings_file: Path) -> None:
    """Serve one engine rank or plain service until SIGTERM."""
    settings, tls = _load_settings(settings_file)
    urls = (*settings.platform.urls, settings.endpoint.url)
    block_tls_import_unless(tls is not None, urls)
    from .serve import serve_agent

    sys.exit(serve_agent(settings, tls))


@main.command("check-settings")
@settings_option
def check_settings(settings_file: Path) -> None:
    """Validate the settings file and list every error."""
    _load_settings(settings_file)
    click.echo("settings are valid")


def _load_settings(settings_file: Path) -> tuple[AgentSettings, TlsFiles | None]:
    settings = read_settings(settings_file, AgentSettings)
    if isinstance(settings, Err):
        exit_with_error(settings.err_value)
    tls = tls_files(settings.ok_value.streams.tls)
    loaded = Ok(None) if tls is None else tls.load()
    if isinstance(loaded, Err):
        exit_with_error(loaded.err_value)
    return settings.ok_value, tls


__all__ = ["main"]
