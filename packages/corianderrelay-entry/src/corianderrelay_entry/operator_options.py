"""Options, HTTP client and error handling shared by the operators' commands."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from result import Err, Result

from corianderrelay.transport.command_line import exit_with_error
from corianderrelay.transport.settings_file import read_secret

from .transport.operator_client import OperatorClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.state.errors import RelayError


def entry_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options for an entry's operator URL and the operators' token file."""
    token = click.option(
        "--token-file",
        type=click.Path(path_type=Path),
        required=True,
        help="File that contains the operators' token.",
    )
    url = click.option(
        "--operators-url", required=True, help="Operator URL of the entry."
    )
    return url(token(command))


def json_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the ``--json`` option."""
    option = click.option(
        "--json", "as_json", is_flag=True, help="Print JSON for scripts."
    )
    return option(command)


def entry_client(operators_url: str, token_file: Path) -> OperatorClient:
    """Return a client of the entry; exit with an error if the token is unreadable."""
    token = read_secret(token_file)
    if isinstance(token, Err):
        exit_with_error(token.err_value)
    return OperatorClient(operators_url, token.ok_value)


def unwrap_or_exit(reply: Result[Any, RelayError]) -> Any:
    """Return the decoded response; on an error, print it and exit."""
    if isinstance(reply, Err):
        exit_with_error(reply.err_value)
    return reply.ok_value


__all__ = ["unwrap_or_exit", "entry_client", "entry_options", "json_option"]
