"""The operators' web console; it needs no JavaScript and is stateless.

Hidden form fields carry the draft, so any entry can handle the next request, and a
draft is not lost when an entry is replaced.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from datetime import datetime, timezone
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from corianderrelay.coordination.audit_reader import read_audit
from corianderrelay.state.audit import AuditFilter
from corianderrelay.state.document_check import check_document
from corianderrelay.state.document_diff import diff_documents
from corianderrelay.state.errors import (
    InvalidRequestError,
    NotFoundError,
    RelayError,
    UnauthorizedError,
)

from ..protocol.console_forms import parse_draft, parse_item
from ..protocol.console_pages import (
    ConsolePages,
    DraftPage,
    draft_page,
    edit_form,
    rejected_form,
)
from ..state.draft import Collection, Draft
from .entry_status import entry_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure
    from twisted.web.server import Request

    from corianderrelay.state.audit import AuditRecord

    from ..entry import Entry
    from ..protocol.console_forms import Fields

CONSOLE_PREFIX = "/console"
_MAX_AUTHOR_LENGTH = 100
_MAX_AUDIT_RECORDS = 1000
_SHOWN_AUDIT_RECORDS = 20
_ALLOWED_FETCH_SITES = frozenset({"", "same-origin", "none"})  # "": no header
_SECURITY_HEADERS = {
    b"content-security-policy": b"default-src 'none'; style-src 'unsafe-inline'; "
    b"form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    b"x-content-type-options": b"nosniff",
    b"referrer-policy": b"no-referrer",
    b"cache-control": b"no-store",
}


class ConsoleSite:
    """Serves the pages under ``/console`` on the operators' port.

    :param token: the operators' token, used as the HTTP basic authentication password.
    """

    def __init__(self, entry: Entry, token: str) -> None:
        self._entry = entry
        self._token = token
        self._pages = ConsolePages()
        self._csrf_token = hmac.new(
            token.encode(), b"console", hashlib.sha256
        ).hexdigest()
        self._handlers_by_action: dict[str, Callable[[Request, Fields], None]] = {
            "start": self._start,
            "show": self._show,
            "edit": self._edit,
            "save": self._save,
            "remove": self._remove,
            "review": self._review,
            "rebase": self._rebase,
            "download": self._download,
            "publish": self._publish,
        }

    def render(self, request: Request) -> None:
        """Handle one request under ``/console``."""
        if not self._has_valid_login(request):
            request.setHeader(b"www-authenticate", b'Basic realm="corianderrelay"')
            raise UnauthorizedError(
                "the console requires the operators' token",
                "log in with any user name and the token as password",
            )
        for name, value in _SECURITY_HEADERS.items():
            request.setHeader(name, value)
        path = request.path.decode("latin-1").removeprefix(CONSOLE_PREFIX)
        if request.method == b"GET" and path in ("", "/"):
            self._show_status(request)
        elif request.method == b"POST" and path == "/draft":
            self._run_action(request)
        else:
            raise NotFoundError("the page does not exist", f"go to {CONSOLE_PREFIX}/")

    def _has_valid_login(self, request: Request) -> bool:
        header = (request.getHeader(b"authorization") or b"").decode("latin-1")
        try:
            login = base64.b64decode(header.removeprefix("Basic "), validate=True)
        except binascii.Error:
            return False
        password = login.partition(b":")[2]
        return hmac.compare_digest(password, self._token.encode())

    def _run_action(self, request: Request) -> None:
        fields = _form_fields(request)
        _check_same_origin(request)
        if not hmac.compare_digest(
            fields.get("csrf", "").encode(), self._csrf_token.encode()
        ):
            raise UnauthorizedError(
                "the form's CSRF token is missing or wrong",
                f"go to {CONSOLE_PREFIX}/ and start a new draft",
            )
        action = self._handlers_by_action.get(fields.get("action", ""))
        if action is None:
            raise InvalidRequestError(
                "the form's action is missing or unknown", f"go to {CONSOLE_PREFIX}/"
            )
        action(request, fields)

    def _show_status(self, request: Request) -> None:
        reading = read_audit(self._entry.log, AuditFilter(), _MAX_AUDIT_RECORDS)
        records = Deferred.fromCoroutine(reading)
        lines = records.addCallbacks(_audit_lines, _audit_error_lines)
        lines.addCallback(self._send_status, request)

    def _send_status(self, audit_lines: list[str], request: Request) -> None:
        page = self._pages.status(
            entry_status(self._entry),
            self._entry.config.document,
            self._csrf_token,
            audit_lines,
        )
        _send_page(request, page)

    def _start(self, request: Request, fields: Fields) -> None:
        config = self._entry.config
        self._send_draft(request, Draft(config.version, config.document))

    def _show(self, request: Request, fields: Fields) -> None:
        self._send_draft(request, _parse_draft(fields))

    def _edit(self, request: Request, fields: Fields) -> None:
        draft = _parse_draft(fields)
        form = edit_form(draft, _parse_collection(fields), fields.get("item", ""))
        _send_page(request, self._pages.edit(self._build_page(draft), form))

    def _save(self, request: Request, fields: Fields) -> None:
        draft = _parse_draft(fields)
        collection = _parse_collection(fields)
        old_name = fields.get("item", "")
        submitted = parse_item(collection, fields)
        if submitted.name != old_name and submitted.name in draft.items(collection):
            submitted.faults_by_field["name"] = [
                "an item with this name exists; choose another name"
            ]
        if submitted.faults_by_field:
            form = rejected_form(collection, old_name, fields, submitted)
            _send_page(request, self._pages.edit(self._build_page(draft), form))
            return
        draft_without_item = draft.without_item(collection, old_name)
        self._send_draft(
            request,
            draft_without_item.with_item(collection, submitted.name, submitted.item),
        )

    def _remove(self, request: Request, fields: Fields) -> None:
        draft = _parse_draft(fields)
        item = fields.get("item", "")
        self._send_draft(request, draft.without_item(_parse_collection(fields), item))

    def _review(self, request: Request, fields: Fields) -> None:
        _send_page(request, self._pages.review(self._build_page(_parse_draft(fields))))

    def _rebase(self, request: Request, fields: Fields) -> None:
        draft = _parse_draft(fields).rebased(self._entry.config.version)
        _send_page(request, self._pages.review(self._build_page(draft)))

    def _download(self, request: Request, fields: Fields) -> None:
        draft = _parse_draft(fields)
        body = msgspec.json.format(msgspec.json.encode(draft.document), indent=2)
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(
            b"content-disposition", b'attachment; filename="configuration.json"'
        )
        request.write(body)
        request.finish()

    def _publish(self, request: Request, fields: Fields) -> None:
        draft = _parse_draft(fields)
        author = fields.get("author", "").strip()[:_MAX_AUTHOR_LENGTH]
        if not author:
            self._send_review_error(
                request, draft, "enter your name for the audit trail", ""
            )
            return
        published: Deferred[int] = self._entry.publish(
            draft.base, draft.document, author
        )
        published.addCallbacks(
            lambda version: self._on_published(request, version),
            lambda failure: self._on_publish_failed(request, draft, author, failure),
        )

    def _on_published(self, request: Request, version: int) -> None:
        request.setResponseCode(303)
        request.setHeader(b"location", f"{CONSOLE_PREFIX}/".encode())
        request.setHeader(b"x-config-version", str(version).encode())
        request.finish()

    def _on_publish_failed(
        self, request: Request, draft: Draft, author: str, failure: Failure
    ) -> None:
        self._send_review_error(request, draft, failure.getErrorMessage(), author)

    def _send_review_error(
        self, request: Request, draft: Draft, message: str, author: str
    ) -> None:
        page = self._build_page(draft)
        page.messages.append(message)
        page.author = author
        request.setResponseCode(409)
        _send_page(request, self._pages.review(page))

    def _send_draft(self, request: Request, draft: Draft) -> None:
        _send_page(request, self._pages.draft(self._build_page(draft)))

    def _build_page(self, draft: Draft) -> DraftPage:
        config = self._entry.config
        page = draft_page(draft, self._csrf_token, config.version)
        page.faults = [str(fault) for fault in check_document(draft.document)]
        changes = diff_documents(config.document, draft.document)
        page.changes = [str(change) for change in changes]
        return page


def _form_fields(request: Request) -> Fields:
    args: dict[bytes, list[bytes]] = request.args
    try:
        return {name.decode(): values[0].decode() for name, values in args.items()}
    except UnicodeDecodeError:
        raise InvalidRequestError(
            "a form field is not UTF-8", "submit the form from a browser"
        ) from None


def _parse_draft(fields: Fields) -> Draft:
    draft = parse_draft(fields)
    if isinstance(draft, Err):
        reasons = "; ".join(str(fault) for fault in draft.err_value)
        raise InvalidRequestError(
            f"the draft is invalid: {reasons}",
            f"go to {CONSOLE_PREFIX}/ and start a new draft",
        )
    return draft.ok_value


def _parse_collection(fields: Fields) -> Collection:
    try:
        return Collection(fields.get("collection", ""))
    except ValueError:
        raise InvalidRequestError(
            "the form's collection is missing or unknown", f"go to {CONSOLE_PREFIX}/"
        ) from None


def _check_same_origin(request: Request) -> None:
    fetch_site = (request.getHeader(b"sec-fetch-site") or b"").decode("latin-1")
    origin = (request.getHeader(b"origin") or b"").decode("latin-1")
    host = (request.getHeader(b"host") or b"").decode("latin-1")
    same_origin = not origin or urlsplit(origin).netloc == host
    if fetch_site not in _ALLOWED_FETCH_SITES or not same_origin:
        raise UnauthorizedError(
            "the form was posted from another site", f"open {CONSOLE_PREFIX}/ directly"
        )


def _audit_lines(records: list[AuditRecord]) -> list[str]:
    latest = sorted(records, key=lambda record: record.time_s, reverse=True)
    return [
        f"{_format_utc(record.time_s)}: {record.kind.value} {record.subject} "
        f"by {record.who}: {record.why}"
        for record in latest[:_SHOWN_AUDIT_RECORDS]
    ]


def _audit_error_lines(failure: Failure) -> list[str]:
    failure.trap(RelayError)
    return [f"The audit trail is unavailable: {failure.getErrorMessage()}"]


def _format_utc(time_s: float) -> str:
    return datetime.fromtimestamp(time_s, timezone.utc).isoformat(timespec="seconds")


def _send_page(request: Any, page: bytes) -> None:
    request.setHeader(b"content-type", b"text/html; charset=utf-8")
    request.setHeader(b"content-length", str(len(page)).encode())
    request.write(page)
    request.finish()


__all__ = ["ConsoleSite", "CONSOLE_PREFIX"]
