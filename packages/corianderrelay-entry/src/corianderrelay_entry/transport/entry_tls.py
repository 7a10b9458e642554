"""The certificates of an entry: for callers, operators and its streams to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot
from result import Err, Ok, Result

from corianderrelay.transport.tls import TlsFiles

if TYPE_CHECKING:
    from corianderrelay.state.common_settings import TlsSettings
    from corianderrelay.state.errors import SettingsError

    from ..state.settings import EntrySettings


class EntryTls:
    """What is ``None`` is served without TLS."""

    __slots__ = ("callers", "operators", "own_streams")

    def __init__(self, settings: EntrySettings) -> None:
        self.callers = _files(settings.callers.tls)
        self.operators = _files(settings.operators.tls)
        self.own_streams = _files(settings.own_streams_tls)

    def load(self) -> Result[None, SettingsError]:
        """Read all files; return the first fault."""
        parts = (self.callers, self.operators, self.own_streams)
        results = [files.load() for files in parts if files is not None]
        return next((result for result in results if isinstance(result, Err)), Ok(None))

    def reload(self) -> None:
        """Read all files again; a fault is logged and the old ones stay in use."""
        result = self.load()
        fault = str(result.err_value) if isinstance(result, Err) else ""
        eliot.log_message(message_type="entry:tls_reloaded", fault=fault)


def _files(settings: TlsSettings | None) -> TlsFiles | None:
    return None if settings is None else TlsFiles(settings)


__all__ = ["EntryTls"]
