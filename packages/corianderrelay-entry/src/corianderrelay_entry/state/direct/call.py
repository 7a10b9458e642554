"""One caller's request and the heads of its answers, free of any platform's words."""

from __future__ import annotations

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class DirectCall:
    """A whole request of a caller.

    :param target: path and query, as they were sent.
    :param headers: end-to-end headers that go on to the runner unchanged.
    :param key: what the caller presents to show its workspace; ``None`` without.
    :param resume_after: id of the last event that the caller has; empty without.
    :param received_at: monotonic seconds when the request was whole.
    :param patience_s: how long the caller will wait, in seconds; ``None`` if not said.
    :param prompt_tokens: length of the prompt; 0 for plain services.
    :param answer_tokens: most tokens of the answer, or the caller's guess.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    key: str | None
    received_at: float
    resume_after: str = ""
    max_wait_s: float | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class RunnerHead:
    """The head of a runner's answer.

    :param headers: end-to-end headers that go on to the caller unchanged.
    :param not_run: whether the runner proves that it has not run the request.
    :param signed: whether the answer carries the runner's receipt.
    :param encoded: whether the body is not the bytes that the runner made.
    :param at_fault: the runner that a rejection names; empty if none.
    """

    status: int
    headers: Headers = field(default_factory=list)
    not_run: bool = False
    signed: bool = False
    encoded: bool = False
    faulty_runner_id: str = ""

    @property
    def success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


__all__ = ["DirectCall", "Headers", "RunnerHead"]
