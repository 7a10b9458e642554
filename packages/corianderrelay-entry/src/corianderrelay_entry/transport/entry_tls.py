"""TLS files of an entry: for callers, operators and its streams to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from corianderrelay.transport.optional_tls import tls_files

if TYPE_CHECKING:
    from corianderrelay.state.errors import SettingsError

    from ..state.settings import EntrySettings


class EntryTls:
    """TLS files of the listening ports and streams; ``None`` means without TLS."""

    __slots__ = ("callers", "operators", "own_streams")

    def __init__(self, settings: EntrySettings) -> None:
        self.callers = tls_files(settings.callers.tls)
        self.operators = tls_files(settings.operators.tls)
        self.own_streams = tls_files(settings.own_streams_tls)

    @property
    def used(self) -> bool:
        """Whether any listening port or stream uses TLS."""
        return any((self.callers, self.operators, self.own_streams))

    def load(self) -> Result[None, SettingsError]:
        """Read all files and return the first error."""
        all_files = (self.callers, self.operators, self.own_streams)
        results = [files.load() for files in all_files if files is not None]
        return next((result for result in results if isinstance(result, Err)), Ok(None))

    def reload(self) -> None:
        """Reload all files and log the result; invalid ones stay as loaded before."""
        import eliot

        result = self.load()
        fault = str(result.err_value) if isinstance(result, Err) else ""
        eliot.log_message(message_type="entry:tls_reloaded", fault=fault)


__all__ = ["EntryTls"]
