"""Reads settings and secrets from files; an error lists all faults of a file."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

from ..protocol.checked_json import decode_checked
from ..state.errors import SettingsError
from ..state.faults import Fault

T = TypeVar("T")


def settings_error(source: str, faults: list[Fault]) -> SettingsError:
    """Return one error that lists all faults, one per line."""
    lines = "".join(f"\n  {fault}" for fault in faults)
    return SettingsError(
        f"{source} has {len(faults)} fault(s):{lines}",
        "correct them and run check-settings again",
    )


def read_settings(path: Path, struct_type: type[T]) -> Result[T, SettingsError]:
    """Read the JSON file at ``path`` as a value of type ``struct_type``."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        fault = Fault("$", f"can't be read ({error.strerror})", "check the path")
        return Err(settings_error(str(path), [fault]))
    checked = decode_checked(raw, struct_type)
    if isinstance(checked, Err):
        return Err(settings_error(str(path), checked.err_value))
    return Ok(checked.ok_value)


def read_secret(path: Path) -> Result[str, SettingsError]:
    """Read a secret from a file, without surrounding white space."""
    try:
        secret = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(
            "$", f"can't be read ({error})", "check the path and its permissions"
        )
        return Err(settings_error(str(path), [fault]))
    if not secret:
        fault = Fault("$", "is empty", "write the secret to the file")
        return Err(settings_error(str(path), [fault]))
    return Ok(secret)


__all__ = ["read_secret", "read_settings", "settings_error"]
