"""Follows the ``config`` stream and hands on each document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot
import msgspec

from ..state.document import Document

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from .clock import Clock
    from .log_client import LogClient, LogPage

CONFIG_STREAM = "config"
_WAIT_S = 5.0
_RETRY_S = 1.0


class ConfigRecord(msgspec.Struct, frozen=True):
    """One published document."""

    version: int
    document: Document


class ConfigReader:
    """Reads the stream from its start and never stops.

    :param take: called with version and document of each record.
    """

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        take: Callable[[int, Document], None],
    ) -> None:
        self._log = log
        self._clock = clock
        self._take = take
        self._offset = 0

    def start(self) -> None:
        """Read the next page, and then go on."""
        page = self._log.read(CONFIG_STREAM, self._offset, _WAIT_S)
        page.addCallbacks(self._on_page, self._on_failure)

    def _on_page(self, page: LogPage) -> None:
        for entry in page.entries:
            record = msgspec.json.decode(entry.payload, type=ConfigRecord)
            self._take(record.version, record.document)
        self._offset = page.next_offset
        self._clock.callLater(0, self.start)

    def _on_failure(self, failure: Failure) -> None:
        eliot.log_message(
            message_type="config:read_failed", reason=failure.getErrorMessage()
        )
        self._clock.callLater(_RETRY_S, self.start)


__all__ = ["CONFIG_STREAM", "ConfigReader", "ConfigRecord"]
