"""Follows the ``config`` stream, publishes to it and refreshes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot
from result import Err
from twisted.internet.defer import Deferred, fail, succeed

from ..state.config_errors import (
    config_not_ready_error,
    conflict_error,
    invalid_document_error,
    not_appended_error,
    publication_outcome_unknown_error,
)
from ..state.config_fold import ConfigFold
from ..state.config_publication import Publication, PublicationState
from ..state.config_records import (
    CONFIG_STREAM,
    ConfigRecord,
    decode_config_record,
    encode_config_record,
)
from ..state.config_refresh import RefreshTimer
from ..state.document_check import check_document
from ..state.errors import LogAnswerLostError, RelayError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from ..state.config_fold import ActiveVersion, Verdict
    from ..state.config_records import AnyConfigRecord
    from ..state.document import Document
    from .clock import Clock
    from .log_client import LogClient, LogPage

_WAIT_S = 5.0
_RETRY_S = 1.0
_PUBLICATION_WAIT_S = 8.0


class ConfigFollower:
    """Holds the configuration in force as this process knows it.

    :param process_id: name of this process, unique among those that run.
    :param retention_s: how long the log service keeps records, in seconds.
    :param wall_seconds: returns the wall-clock time in seconds since 1970.
    :param take: called with each version that comes in force here.
    :param judged: called with each record that this process has judged.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_wall_seconds",
        "_take",
        "_judged",
        "_fold",
        "_refresh",
        "_process_id",
        "_publications",
        "_stopped",
        "log_up",
    )

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        process_id: str,
        retention_s: float,
        wall_seconds: Callable[[], float],
        take: Callable[[ActiveVersion], None],
        judged: Callable[[Verdict], None],
    ) -> None:
        self._log = log
        self._clock = clock
        self._wall_seconds = wall_seconds
        self._take = take
        self._judged = judged
        self._fold = ConfigFold()
        self._refresh = RefreshTimer(process_id, retention_s)
        self._process_id = process_id
        self._publications: dict[str, tuple[Publication, Deferred[int]]] = {}
        self._stopped = False
        self.log_up = False

    @property
    def fold(self) -> ConfigFold:
        """The stream as this process has judged it."""
        return self._fold

    @property
    def in_force(self) -> ActiveVersion | None:
        """The version in force; ``None`` before the first is known."""
        return self._fold.active_version

    def start(self) -> None:
        """Read the stream from its first record that is kept, and never stop."""
        if self._stopped:
            return
        # The first page tells that the log is up, so it is not waited for.
        wait_s = _WAIT_S if self.log_up else 0.0
        page = self._log.read(CONFIG_STREAM, self._fold.next_offset, wait_s)
        page.addCallbacks(self._on_page, self._on_read_failed)
        page.addErrback(self._on_fault)

    def stop(self) -> None:
        """Read no more."""
        self._stopped = True

    def adopt(self, known: ActiveVersion) -> None:
        """Take the version that a peer holds, unless a newer one is known."""
        before = self._fold.version
        self._note(self._fold.adopt(known), before)

    def publish(
        self, base: int, document: Document, author: str, nonce: str, note: str = ""
    ) -> Deferred[int]:
        """Put a document in force and return its version.

        :param base: the version that the document was made from.
        :param nonce: a name that no other publication has.
        :raises SettingsError: the document has faults; the message lists all.
        :raises ConflictError: another version came in force; it says what changed.
        :raises UnavailableError: it was not published.
        :raises OutcomeUnknownError: it may yet come in force.
        """
        refusal = self._publish_refusal(base, document)
        if refusal is not None:
            return fail(refusal)
        record = ConfigRecord(
            version=base + 1,
            base=base,
            document=document,
            author=author,
            time_s=self._wall_seconds(),
            nonce=nonce,
            note=note,
        )
        publication = Publication(record)
        told: Deferred[int] = Deferred()
        self._publications[nonce] = (publication, told)
        self._clock.callLater(_PUBLICATION_WAIT_S, self._give_up, nonce)
        appended = self._log.append(CONFIG_STREAM, encode_config_record(record))
        appended.addErrback(self._on_append_failed, publication)
        return told

    def _publish_refusal(self, base: int, document: Document) -> RelayError | None:
        faults = check_document(document)
        if faults:
            return invalid_document_error(faults)
        if not self.log_up or not self._fold.can_validate:
            return config_not_ready_error()
        if base != self._fold.version:
            changes = self._fold.changes_since(base)
            return conflict_error(base, self._fold.version, changes)
        return None

    def _on_page(self, page: LogPage) -> None:
        self.log_up = True
        if page.first_offset > self._fold.next_offset:
            self._fold.skip_to(page.first_offset)
            for publication, _ in self._publications.values():
                publication.on_unread_records_dropped()
        for entry in page.entries:
            self._on_record(entry.offset, entry.payload)
        self._fold.mark_read_to(page.next_offset)
        self._answer_publications()
        self._refresh_if_due()
        self._clock.callLater(0, self.start)

    def _on_record(self, offset: int, payload: bytes) -> None:
        decoded = decode_config_record(payload)
        if isinstance(decoded, Err):
            eliot.log_message(
                message_type="config:malformed_record",
                offset=offset,
                reason=str(decoded.err_value),
            )
            return
        self._apply(offset, decoded.ok_value)

    def _apply(self, offset: int, record: AnyConfigRecord) -> None:
        before = self._fold.version
        self._note(self._fold.apply(offset, record), before)

    def _note(self, verdicts: list[Verdict], version_before: int) -> None:
        active_version = self._fold.active_version
        if active_version is not None and active_version.version > version_before:
            self._take(active_version)
        for verdict in verdicts:
            self._judged(verdict)
            for publication, _ in self._publications.values():
                publication.on_verdict(verdict)
        self._answer_publications()

    def _answer_publications(self) -> None:
        ended = [
            nonce
            for nonce, (publication, _) in self._publications.items()
            if publication.state is not PublicationState.OPEN
        ]
        for nonce in ended:
            publication, told = self._publications.pop(nonce)
            self._answer(publication, told)

    def _answer(self, publication: Publication, told: Deferred[int]) -> None:
        record = publication.record
        match publication.state:
            case PublicationState.ACCEPTED:
                told.callback(record.version)
            case PublicationState.REJECTED:
                changes = self._fold.changes_since(record.base)
                told.errback(conflict_error(record.base, self._fold.version, changes))
            case PublicationState.NOT_APPENDED:
                told.errback(not_appended_error())
            case _:
                told.errback(publication_outcome_unknown_error(record.version))

    def _give_up(self, nonce: str) -> None:
        if nonce in self._publications:
            publication, told = self._publications.pop(nonce)
            told.errback(publication_outcome_unknown_error(publication.record.version))

    def _on_append_failed(self, failure: Failure, publication: Publication) -> None:
        if failure.check(LogAnswerLostError):
            # It may have taken effect, so only the stream tells.
            publication.on_append_outcome_unknown()
        else:
            publication.append_failed()
        self._answer_publications()

    def _refresh_if_due(self) -> None:
        record = self._refresh.due_record(self._fold, self._wall_seconds())
        if record is not None:
            appended = self._log.append(CONFIG_STREAM, encode_config_record(record))
            # Without an answer it is appended again when it is next due.
            appended.addErrback(lambda failure: None)

    def _on_read_failed(self, failure: Failure) -> None:
        self.log_up = False
        eliot.log_message(
            message_type="config:read_failed", reason=failure.getErrorMessage()
        )
        self._clock.callLater(_RETRY_S, self.start)

    def _on_fault(self, failure: Failure) -> Deferred[None]:
        eliot.log_message(message_type="config:fault", reason=failure.getTraceback())
        self._clock.callLater(_RETRY_S, self.start)
        return succeed(None)


__all__ = ["ConfigFollower"]
