"""A caller's request in the form that all layers of an entry share."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Call:
    """A request that has passed authentication and the size limits.

    :param request_id: unique in the whole system; the caller can query it later.
    :param workspace: name of the caller's workspace.
    :param service: name of the requested service.
    :param body: the complete request body.
    :param deadline_s: monotonic time in seconds by which the answer must be complete.
    :param streamed: whether the answer is forwarded as it arrives.
    :param retryable: whether the request may be run more than once.
    :param idempotency_key: the caller's key; empty if the request is retryable.
    :param estimated_tokens: estimated cost in tokens.
    :param prompt_prefix: start of the prompt, used to find cached prefixes.
    :param trace: identifies the request's log action across processes.
    """

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    deadline_s: float
    streamed: bool = False
    retryable: bool = True
    idempotency_key: str = ""
    priority: int = 0
    estimated_tokens: int = 0
    model: str = ""
    prompt_prefix: bytes = b""
    trace: bytes = b""


__all__ = ["Call"]
