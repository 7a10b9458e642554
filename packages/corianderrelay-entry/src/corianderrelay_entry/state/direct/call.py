"""A caller's request and a runner's response head, independent of the platform."""

from __future__ import annotations

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class DirectCall:
    """A complete request of a caller.

    :param target: path and query as received.
    :param headers: end-to-end headers, forwarded to the runner unchanged.
    :param key: API key that identifies the workspace; ``None`` if absent.
    :param resume_after: id of the last event that the caller received; empty if none.
    :param received_at: monotonic seconds at which the request was complete.
    :param max_wait_s: the caller's timeout in seconds; ``None`` if not given.
    :param prompt_tokens: length of the prompt in tokens; 0 for plain services.
    :param answer_tokens: maximum or estimated length of the response in tokens.
    :param shared_parts: ids of the prompt's parts, in order, without the last one,
        which belongs to this request or its session alone.
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
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class RunnerHead:
    """Status and headers of a runner's response.

    :param headers: end-to-end headers, forwarded to the caller unchanged.
    :param not_run: whether the runner proves that it did not run the request.
    :param signed: whether the response carries the runner's receipt.
    :param encoded: whether the body was re-encoded and is not the runner's own bytes.
    :param faulty_runner_id: runner that a rejection reports as faulty; empty if none.
    :param limit_per_s: requests per second that the runner takes from all entries
        together; ``None`` if it states no readable limit.
    :param unreadable_limit: beginning of a stated limit that is not a number; empty if
        there is none.
    :param rest_s: seconds for which the runner wants no requests from this entry; 0 if
        it asks for no rest.
    :param unreadable_rest: beginning of a requested rest that cannot be read; empty if
        there is none.
    :param leaving: whether the runner states that it is shutting down.
    :param cold_s: seconds for which the runner is still cold; 0 if it does not say so.
    :param unreadable_cold: beginning of a stated cold time that cannot be read; empty
        if there is none.
    :param body_bytes: length of the body; ``None`` if it is not known in advance.
    """

    status: int
    headers: Headers = field(default_factory=list)
    not_run: bool = False
    signed: bool = False
    encoded: bool = False
    faulty_runner_id: str = ""
    limit_per_s: float | None = None
    unreadable_limit: str = ""
    rest_s: float = 0.0
    unreadable_rest: str = ""
    leaving: bool = False
    cold_s: float = 0.0
    unreadable_cold: str = ""
    body_bytes: int | None = None

    @property
    def success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


__all__ = ["DirectCall", "Headers", "RunnerHead"]
