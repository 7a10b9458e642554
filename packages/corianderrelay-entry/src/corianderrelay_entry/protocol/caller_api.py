"""Validates callers' HTTP requests and converts them to calls."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta, Struct
from result import Err, Ok, Result

from corianderrelay.protocol.checked_json import decode_checked
from corianderrelay.state.call import Call
from corianderrelay.state.document import ServiceKind
from corianderrelay.state.errors import InvalidRequestError, NotFoundError, RelayError

if TYPE_CHECKING:
    from corianderrelay.state.document import Document, Service

CHAT_PATH = "/v1/chat/completions"
_PROMPT_PREFIX_BYTES = 1024
_DEFAULT_MAX_TOKENS = 256  # assumed in estimates if the request sets no limit
_BYTES_PER_TOKEN = 4  # rough estimate
_MAX_IDEMPOTENCY_KEY_LENGTH = 200


class ChatMessage(Struct, frozen=True):
    """One chat message; other fields are forwarded without validation."""

    role: Annotated[str, Meta(min_length=1, max_length=32)]
    content: str | list[Any] | None = None


class ChatRequest(Struct, frozen=True):
    """The chat completion fields used for routing; the rest is forwarded as is."""

    model: Annotated[str, Meta(min_length=1, max_length=200)]
    messages: Annotated[list[ChatMessage], Meta(min_length=1, max_length=10_000)]
    stream: bool = False
    max_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] = _DEFAULT_MAX_TOKENS


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """The parts of an HTTP request from which a call is built.

    :param headers_by_name: header values by lower-case name.
    :param now: monotonic time at which the request arrived, in seconds.
    """

    request_id: str
    workspace: str
    method: str
    path: str
    body: bytes
    now: float
    headers_by_name: dict[str, str] = field(default_factory=dict)

    @property
    def content_type(self) -> str:
        """The media type of the body; empty if the header is missing."""
        return self.headers_by_name.get("content-type", "")


def build_chat_call(
    request: CallerRequest, document: Document
) -> Result[Call, RelayError]:
    """Validate a chat completion request and return its call."""
    checked = decode_checked(request.body, ChatRequest)
    if isinstance(checked, Err):
        faults = "; ".join(str(fault) for fault in checked.err_value)
        return Err(
            InvalidRequestError(
                f"the body is not a chat completion request: {faults}",
                "correct these fields and send the request again",
            )
        )
    chat = checked.ok_value
    matched_service = _find_model_service(chat.model, request.workspace, document)
    if isinstance(matched_service, Err):
        return matched_service
    name, service = matched_service.ok_value
    body_bytes = len(request.body)
    return Ok(
        Call(
            request_id=request.request_id,
            workspace=request.workspace,
            service=name,
            method="POST",
            path=CHAT_PATH,
            content_type="application/json",
            body=request.body,
            deadline_s=request.now + service.timeout_s,
            streamed=chat.stream,
            estimated_tokens=body_bytes // _BYTES_PER_TOKEN + chat.max_tokens,
            model=chat.model,
            prompt_prefix=msgspec.json.encode(chat.messages)[:_PROMPT_PREFIX_BYTES],
        )
    )


def build_service_call(
    request: CallerRequest, service_name: str, path: str, document: Document
) -> Result[Call, RelayError]:
    """Validate a request to a plain service and return its call.

    :param path: path and query string that are sent to the service.
    """
    service = document.services_by_name.get(service_name)
    if (
        service is None
        or service.kind is not ServiceKind.PLAIN
        or not may_use_service(request.workspace, service_name, document)
    ):
        return Err(_service_not_found(service_name))
    retryable = request.method in service.idempotent_methods
    key = request.headers_by_name.get("idempotency-key", "")
    if not retryable and not 0 < len(key) <= _MAX_IDEMPOTENCY_KEY_LENGTH:
        return Err(
            InvalidRequestError(
                f"{request.method} of service {service_name!r} is not idempotent "
                "and the request has no valid Idempotency-Key",
                "send a unique Idempotency-Key of 1 to "
                f"{_MAX_IDEMPOTENCY_KEY_LENGTH} characters with each request, and the "
                "same one when you retry it",
            )
        )
    return Ok(
        Call(
            request_id=request.request_id,
            workspace=request.workspace,
            service=service_name,
            method=request.method,
            path=path,
            content_type=request.content_type,
            body=request.body,
            deadline_s=request.now + service.timeout_s,
            retryable=retryable,
            idempotency_key="" if retryable else key,
        )
    )


def may_use_service(workspace: str, service_name: str, document: Document) -> bool:
    """Return whether the document grants a workspace access to a service."""
    definition = document.workspaces_by_name.get(workspace)
    return definition is not None and service_name in definition.services


def _find_model_service(
    model: str, workspace: str, document: Document
) -> Result[tuple[str, Service], RelayError]:
    matches = [
        (name, service)
        for name, service in document.services_by_name.items()
        if service.kind is ServiceKind.MODEL
        and model in (service.model, name)
        and may_use_service(workspace, name, document)
    ]
    if not matches:
        return Err(
            NotFoundError(
                f"model {model!r} does not exist or is not available to this workspace",
                "GET /v1/models lists the available models",
            )
        )
    return Ok(matches[0])


def _service_not_found(name: str) -> NotFoundError:
    return NotFoundError(
        f"service {name!r} does not exist or is not available to this workspace",
        "check the name, or ask the operator to add it to the workspace",
    )


__all__ = [
    "CHAT_PATH",
    "CallerRequest",
    "ChatMessage",
    "ChatRequest",
    "build_chat_call",
    "may_use_service",
    "build_service_call",
]
