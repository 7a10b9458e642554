"""The ``groups`` stream as the agents of one group use it: folded, and appended to."""

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


class Appended(Enum):
    """What is known of an append."""

    YES = "yes"
    NO = "no"
    IN_DOUBT = "in_doubt"


class GroupLog:
    """Folds the stream for one group and appends records to it.

    :param nonces: returns a new nonce at each call.
    """

    __slots__ = ("_log", "_fold", "_nonces", "_next_offset", "_lock", "_own")

    def __init__(self, log: LogClient, group: str, nonces: Callable[[], str]) -> None:
        self._log = log
        self._fold = GroupFold(group)
        self._nonces = nonces
        self._next_offset = 0
        self._lock = DeferredLock()
        self._own: dict[str, bool] = {}

    @property
    def state(self) -> GroupState:
        """The group's state as far as it was read."""
        return self._fold.state

    def new_nonce(self) -> str:
        """Return a nonce for a record that will be appended."""
        return self._nonces()

    async def catch_up(self) -> GroupState:
        """Read the stream up to its end and return the state.

        :raises LogUnavailableError: the log cannot be read.
        """
        await self._lock.run(lambda: Deferred.fromCoroutine(self._read_to_end()))
        return self._fold.state

    async def append(self, record: AnyGroupRecord) -> Appended:
        """Append a record; after ``YES`` the state includes it.

        An answer may be lost after the append took effect, so the record is looked
        for by its nonce. One that is not found yet may still arrive.
        """
        self._own[record.nonce] = False
        try:
            await self._log.append(GROUPS_STREAM, encode_record(record))
        except LogUnavailableError:
            del self._own[record.nonce]
            return Appended.NO
        except LogAnswerLostError:
            pass
        try:
            await self.catch_up()
        except LogUnavailableError:
            pass
        return Appended.YES if self._own.pop(record.nonce) else Appended.IN_DOUBT

    async def _read_to_end(self) -> None:
        while await self._read_page():
            pass

    async def _read_page(self) -> bool:
        page = await self._log.read(GROUPS_STREAM, self._next_offset, 0.0)
        for entry in page.entries:
            record = decode_record(entry.payload)
            if record is not None:
                self._take(entry.offset, record)
        self._next_offset = max(self._next_offset, page.next_offset)
        return bool(page.entries)

    def _take(self, offset: int, record: AnyGroupRecord) -> None:
        if record.nonce in self._own:
            self._own[record.nonce] = True
        self._fold.apply(offset, record)


__all__ = ["Appended", "GROUPS_STREAM", "GroupLog"]
