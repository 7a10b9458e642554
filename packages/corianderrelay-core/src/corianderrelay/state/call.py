"""One request of a caller, as all layers pass it on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Call:
    """A request that has passed authentication and the size limits.

    :param request_id: unique over the system; the caller can ask for it again.
    :param workspace: name of the caller's workspace.
    :param service: name of the service that it asks.
    :param body: the request's body, whole.
    :param deadline_s: point in monotonic time by which the answer must be whole.
    :param streamed: whether the answer is sent on as it comes.
    :param repeatable: whether it may be run more than once.
    :param idempotency_key: the caller's key; empty when repeatable.
    :param estimated_tokens: tokens that it is likely to cost.
    :param prompt_prefix: start of the prompt, by which cached prefixes are found.
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
