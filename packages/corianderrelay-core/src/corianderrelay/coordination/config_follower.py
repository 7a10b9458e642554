"""Reads the ``config`` stream and appends new versions and refresh records to it."""

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

_LONG_POLL_S = 5.0
_READ_RETRY_S = 1.0
_PUBLICATION_TIMEOUT_S = 8.0


class ConfigFollower:
    """Maintains the active configuration of this process from the ``config`` stream.

    :param process_id: identifies this process; unique among the running processes.
    :param retention_s: how long the log service keeps records, in seconds.
    :param wall_seconds: returns the wall-clock time in seconds since 1970.
    :param on_version: called with each version that becomes active in this process.
    :param on_verdict: called with the verdict on each record that was validated.
    """

    __slots__ = (
        "_log",
        "_clock",
        "_wall_seconds",
        "_on_version",
        "_on_verdict",
        "_fold",
        "_refresh",
        "_process_id",
        "_publications",
        "_stopped",
        "log_available",
    )

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        process_id: str,
        retention_s: float,
        wall_seconds: Callable[[], float],
        on_version: Callable[[ActiveVersion], None],
        on_verdict: Callable[[Verdict], None],
    ) -> None:
        self._log = log
        self._clock = clock
        self._wall_seconds = wall_seconds
        self._on_version = on_version
        self._on_verdict = on_verdict
        self._fold = ConfigFold()
        self._refresh = RefreshTimer(process_id, retention_s)
        self._process_id = process_id
        self._publications: dict[str, tuple[Publication, Deferred[int]]] = {}
        self._stopped = False
        self.log_available = False

    @property
    def fold(self) -> ConfigFold:
        """The state folded from the records that this process has validated."""
        return self._fold

    @property
    def active_config(self) -> ActiveVersion | None:
        """The active version; ``None`` before the first is known."""
        return self._fold.active_version

    def start(self) -> None:
        """Read the stream from its oldest retained record until stopped."""
        if self._stopped:
            return
        # Do not wait for a record until a read has shown that the log is available.
        wait_s = _LONG_POLL_S if self.log_available else 0.0
        page = self._log.read(CONFIG_STREAM, self._fold.next_offset, wait_s)
        page.addCallbacks(self._on_page, self._on_read_failed)
        page.addErrback(self._on_unexpected_error)

    def stop(self) -> None:
        """Stop reading the stream."""
        self._stopped = True

    def adopt(self, known: ActiveVersion) -> None:
        """Adopt the version of a peer, unless a newer one is known."""
        before = self._fold.version
        self._process_verdicts(self._fold.adopt(known), before)

    def publish(
        self, base: int, document: Document, author: str, nonce: str, note: str = ""
    ) -> Deferred[int]:
        """Publish a document as the next version and return its number.

        :param base: the version that the document was edited from.
        :param nonce: identifies this publication; never reused.
        :raises SettingsError: the document is invalid; the message lists all faults.
        :raises ConflictError: another version became active; the message lists its
            changes.
        :raises UnavailableError: the document was not published.
        :raises OutcomeUnknownError: the document may still become active.
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
        completion: Deferred[int] = Deferred()
        self._publications[nonce] = (publication, completion)
        self._clock.callLater(_PUBLICATION_TIMEOUT_S, self._time_out_publication, nonce)
        appended = self._log.append(CONFIG_STREAM, encode_config_record(record))
        appended.addErrback(self._on_append_failed, publication)
        return completion

    def _publish_refusal(self, base: int, document: Document) -> RelayError | None:
        faults = check_document(document)
        if faults:
            return invalid_document_error(faults)
        if not self.log_available or not self._fold.can_validate:
            return config_not_ready_error()
        if base != self._fold.version:
            changes = self._fold.changes_since(base)
            return conflict_error(base, self._fold.version, changes)
        return None

    def _on_page(self, page: LogPage) -> None:
        self.log_available = True
        if page.first_offset > self._fold.next_offset:
            self._fold.skip_to(page.first_offset)
            for publication, _ in self._publications.values():
                publication.on_unread_records_dropped()
        for entry in page.entries:
            self._on_record(entry.offset, entry.payload)
        self._fold.mark_read_to(page.next_offset)
        self._resolve_publications()
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
        self._process_verdicts(self._fold.apply(offset, record), before)

    def _process_verdicts(self, verdicts: list[Verdict], version_before: int) -> None:
        active_version = self._fold.active_version
        if active_version is not None and active_version.version > version_before:
            self._on_version(active_version)
        for verdict in verdicts:
            self._on_verdict(verdict)
            for publication, _ in self._publications.values():
                publication.on_verdict(verdict)
        self._resolve_publications()

    def _resolve_publications(self) -> None:
        ended = [
            nonce
            for nonce, (publication, _) in self._publications.items()
            if publication.state is not PublicationState.OPEN
        ]
        for nonce in ended:
            publication, completion = self._publications.pop(nonce)
            self._resolve(publication, completion)

    def _resolve(self, publication: Publication, completion: Deferred[int]) -> None:
        record = publication.record
        match publication.state:
            case PublicationState.ACCEPTED:
                completion.callback(record.version)
            case PublicationState.REJECTED:
                changes = self._fold.changes_since(record.base)
                completion.errback(
                    conflict_error(record.base, self._fold.version, changes)
                )
            case PublicationState.NOT_APPENDED:
                completion.errback(not_appended_error())
            case _:
                completion.errback(publication_outcome_unknown_error(record.version))

    def _time_out_publication(self, nonce: str) -> None:
        if nonce in self._publications:
            publication, completion = self._publications.pop(nonce)
            completion.errback(
                publication_outcome_unknown_error(publication.record.version)
            )

    def _on_append_failed(self, failure: Failure, publication: Publication) -> None:
        if failure.check(LogAnswerLostError):
            # The append may have taken effect; the stream shows the outcome.
            publication.on_append_outcome_unknown()
        else:
            publication.on_append_failed()
        self._resolve_publications()

    def _refresh_if_due(self) -> None:
        record = self._refresh.due_record(self._fold, self._wall_seconds())
        if record is not None:
            appended = self._log.append(CONFIG_STREAM, encode_config_record(record))
            # A failed refresh is appended again when the next one is due.
            appended.addErrback(lambda failure: None)

    def _on_read_failed(self, failure: Failure) -> None:
        self.log_available = False
        eliot.log_message(
            message_type="config:read_failed", reason=failure.getErrorMessage()
        )
        self._clock.callLater(_READ_RETRY_S, self.start)

    def _on_unexpected_error(self, failure: Failure) -> Deferred[None]:
        eliot.log_message(message_type="config:fault", reason=failure.getTraceback())
        self._clock.callLater(_READ_RETRY_S, self.start)
        return succeed(None)


__all__ = ["ConfigFollower"]
