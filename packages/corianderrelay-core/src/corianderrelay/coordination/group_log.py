"""Reads the records of one group from the ``groups`` stream and appends new ones."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, DeferredLock

from ..state.errors import LogAnswerLostError, LogUnavailableError
from ..state.group_records import GroupFold, decode_record, encode_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.group_records import AnyGroupRecord, GroupState
    from .log_client import LogClient

GROUPS_STREAM = "groups"


class AppendOutcome(Enum):
    """Outcome of an append."""

    SUCCEEDED = "yes"
    FAILED = "no"
    UNKNOWN = "in_doubt"


class GroupLog:
    """Folds the stream into the state of one group and appends records to it.

    :param generate_nonce: returns a new nonce at each call.
    """

    __slots__ = (
        "_log",
        "_fold",
        "_generate_nonce",
        "_next_offset",
        "_lock",
        "_seen_by_nonce",
    )

    def __init__(
        self, log: LogClient, group: str, generate_nonce: Callable[[], str]
    ) -> None:
        self._log = log
        self._fold = GroupFold(group)
        self._generate_nonce = generate_nonce
        self._next_offset = 0
        self._lock = DeferredLock()
        self._seen_by_nonce: dict[str, bool] = {}

    @property
    def state(self) -> GroupState:
        """The group's state as of the last record read."""
        return self._fold.state

    def new_nonce(self) -> str:
        """Return a nonce for a new record."""
        return self._generate_nonce()

    async def catch_up(self) -> GroupState:
        """Read the stream up to its end and return the state.

        :raises LogUnavailableError: the log cannot be read.
        """
        await self._lock.run(lambda: Deferred.fromCoroutine(self._read_to_end()))
        return self._fold.state

    async def append(self, record: AnyGroupRecord) -> AppendOutcome:
        """Append a record; after ``SUCCEEDED`` the state includes it.

        The response may be lost after the append took effect, so the stream is read
        back and searched for the nonce. A record that was not found may still
        be appended later.
        """
        self._seen_by_nonce[record.nonce] = False
        try:
            await self._log.append(GROUPS_STREAM, encode_record(record))
        except LogUnavailableError:
            del self._seen_by_nonce[record.nonce]
            return AppendOutcome.FAILED
        except LogAnswerLostError:
            pass
        try:
            await self.catch_up()
        except LogUnavailableError:
            pass
        return (
            AppendOutcome.SUCCEEDED
            if self._seen_by_nonce.pop(record.nonce)
            else AppendOutcome.UNKNOWN
        )

    async def _read_to_end(self) -> None:
        while await self._read_page():
            pass

    async def _read_page(self) -> bool:
        page = await self._log.read(GROUPS_STREAM, self._next_offset, 0.0)
        for entry in page.entries:
            record = decode_record(entry.payload)
            if record is not None:
                self._apply(entry.offset, record)
        self._next_offset = max(self._next_offset, page.next_offset)
        return bool(page.entries)

    def _apply(self, offset: int, record: AnyGroupRecord) -> None:
        if record.nonce in self._seen_by_nonce:
            self._seen_by_nonce[record.nonce] = True
        self._fold.apply(offset, record)


__all__ = ["AppendOutcome", "GROUPS_STREAM", "GroupLog"]
