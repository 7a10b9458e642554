"""HTTP routes for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import msgspec
from result import Err, Result
from twisted.web.resource import IResource, Resource
from twisted.web.server import NOT_DONE_YET
from zope.interface import implementer

from corianderrelay.state.credentials import key_digest
from corianderrelay.state.document import ServiceKind
from corianderrelay.state.errors import (
    MethodNotAllowedError,
    NotFoundError,
    OverloadedError,
    Ran,
    RelayError,
    UnauthorizedError,
    UnavailableError,
)

from ..protocol.caller_api import (
    CHAT_PATH,
    CallerRequest,
    build_chat_call,
    build_service_call,
    may_use_service,
)
from ..protocol.replies import (
    EntriesReply,
    ListedModel,
    ModelsReply,
    RequestStatusReply,
    StateReply,
)
from ..state.entry_directory import select_entries
from .http_answer import BufferedAnswer, StreamedAnswer, write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from corianderrelay.state.call import Call

    from ..entry import Entry
    from ..state.open_request import OpenRequest

_OVERLOADED_RETRY_AFTER_S = 2.0
_NOT_READY_RETRY_AFTER_S = 2.0


@implementer(IResource)
class CallersSite(Resource):
    """Dispatches callers' requests; each route is handled by one method."""

    isLeaf = True

    def __init__(self, entry: Entry) -> None:
        super().__init__()
        self._entry = entry
        self._routes_by_path: dict[str, tuple[str, Callable[[Any], None]]] = {
            CHAT_PATH: ("POST", self._chat),
            "/v1/models": ("GET", self._models),
            "/v1/entries": ("GET", self._entries),
            "/healthz": ("GET", self._healthz),
            "/readyz": ("GET", self._readyz),
            "/metrics": ("GET", self._metrics),
        }

    def render(self, request: Request) -> int:
        """Handle one request; called by Twisted."""
        try:
            self._route(request)
        except RelayError as error:
            write_error(request, error, "")
        return NOT_DONE_YET

    def _route(self, request: Request) -> None:
        path = request.path.decode("latin-1")
        method = request.method.decode("latin-1")
        if path.startswith("/services/"):
            self._service(request)
        elif path.startswith("/v1/requests/"):
            _check_method(method, "GET")
            self._request_status(request)
        elif path in self._routes_by_path:
            allowed, handler = self._routes_by_path[path]
            _check_method(method, allowed)
            handler(request)
        else:
            raise NotFoundError(
                f"route {path!r} does not exist", "see the callers' documentation"
            )

    def _chat(self, request: Request) -> None:
        caller = self._caller_request(request)
        self._submit(request, build_chat_call(caller, self._entry.config.document))

    def _service(self, request: Request) -> None:
        caller = self._caller_request(request)
        name_and_path = request.uri.decode("latin-1").removeprefix("/services/")
        name, slash, path = name_and_path.partition("/")
        document = self._entry.config.document
        self._submit(
            request, build_service_call(caller, unquote(name), slash + path, document)
        )

    def _submit(self, request: Request, result: Result[Call, RelayError]) -> None:
        if isinstance(result, Err):
            raise result.err_value
        entry = self._entry
        call = result.ok_value
        if not entry.accepting:
            raise UnavailableError(
                "this entry is stopping",
                "use another entry, see GET /v1/entries",
                ran=Ran.NO,
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        if entry.open_requests >= entry.settings.limits.waiting_requests:
            raise OverloadedError(
                "this entry has reached its limit of open requests",
                f"retry after {_OVERLOADED_RETRY_AFTER_S:.0f} s, or use another "
                "entry",
                retry_after_s=_OVERLOADED_RETRY_AFTER_S,
            )
        request.setHeader(b"x-request-id", call.request_id.encode())
        sink = self._create_sink(request, call)
        disconnected = request.notifyFinish()
        open_request = entry.submit(call, sink)
        disconnected.addErrback(self._on_client_disconnected, sink, open_request)

    def _on_client_disconnected(
        self,
        failure: object,
        sink: StreamedAnswer | BufferedAnswer,
        open_request: OpenRequest,
    ) -> None:
        if isinstance(sink, StreamedAnswer):
            sink.stop()
        self._entry.abandon(open_request)

    def _create_sink(
        self, request: Request, call: Call
    ) -> StreamedAnswer | BufferedAnswer:
        if call.streamed:
            keep_alive_s = self._entry.settings.timing.keep_alive_s
            return StreamedAnswer(
                request, call.request_id, self._entry.clock, keep_alive_s
            )
        return BufferedAnswer(request, call.request_id)

    def _models(self, request: Request) -> None:
        workspace = self._authenticate_workspace(request)
        document = self._entry.config.document
        models = [
            ListedModel(id=service.model or name)
            for name, service in sorted(document.services_by_name.items())
            if service.kind is ServiceKind.MODEL
            and may_use_service(workspace, name, document)
        ]
        write_json(request, msgspec.json.encode(ModelsReply(models)))

    def _entries(self, request: Request) -> None:
        zones = request.args.get(b"zone", [b""])
        entries = select_entries(
            self._entry.live_entries(),
            zones[0].decode("latin-1"),
            self._entry.settings.limits.named_entries,
            self._entry.random,
        )
        ttl_s = self._entry.settings.timing.entries_ttl_s
        write_json(request, msgspec.json.encode(EntriesReply(entries, ttl_s)))

    def _healthz(self, request: Request) -> None:
        write_json(request, msgspec.json.encode(StateReply("alive")))

    def _readyz(self, request: Request) -> None:
        self._check_ready()
        write_json(request, msgspec.json.encode(StateReply("ready")))

    def _metrics(self, request: Request) -> None:
        guards = self._entry.client_guards
        collectors = self._entry.request_metrics
        collectors.connections.set({}, sum(len(each.connections) for each in guards))
        collectors.closed_connections.set({}, sum(each.closed for each in guards))
        content, headers_by_name = self._entry.metrics.render()
        for name, value in headers_by_name.items():
            request.setHeader(name.encode(), value.encode())
        request.write(content)
        request.finish()

    def _request_status(self, request: Request) -> None:
        workspace = self._authenticate_workspace(request)
        request_id = request.path.decode("latin-1").rpartition("/")[2]
        tracked_request = self._entry.register.find(request_id, workspace)
        if tracked_request is None:
            raise NotFoundError(
                f"this entry has no request {request_id!r} of this workspace",
                "query the entry that received it, before its record is evicted",
            )
        status = RequestStatusReply(
            request_id=request_id,
            state=tracked_request.phase.value,
            service=tracked_request.call.service,
            runner=tracked_request.runner_id,
            tokens=tracked_request.tokens,
        )
        write_json(request, msgspec.json.encode(status))

    def _caller_request(self, request: Request) -> CallerRequest:
        self._check_ready()
        workspace = self._authenticate_workspace(request)
        headers_by_name = {
            name.decode("latin-1").lower(): values[0].decode("latin-1")
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        return CallerRequest(
            request_id=self._entry.new_id(),
            workspace=workspace,
            method=request.method.decode("latin-1"),
            path=request.path.decode("latin-1"),
            body=request.content.read() if request.content else b"",
            now=self._entry.clock.seconds(),
            headers_by_name=headers_by_name,
        )

    def _authenticate_workspace(self, request: Request) -> str:
        header = request.getHeader(b"authorization") or b""
        scheme, _, key = header.decode("latin-1").partition(" ")
        if scheme.lower() == "bearer" and key.strip():
            workspace = self._entry.config.find_workspace(key_digest(key.strip()))
            if workspace is not None:
                return workspace
        raise UnauthorizedError(
            "the API key is missing or unknown",
            "send 'Authorization: Bearer KEY' with a valid API key of the workspace",
        )

    def _check_ready(self) -> None:
        if not self._entry.ready:
            raise UnavailableError(
                "this entry has no configuration yet",
                "use another entry, or retry the request later",
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )


def _check_method(method: str, allowed: str) -> None:
    if method != allowed:
        raise MethodNotAllowedError(
            f"this route does not accept {method}", f"use {allowed} for this route"
        )


__all__ = ["CallersSite"]
