"""What the direct path needs of its surroundings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ...state.direct.call import DirectCall, Headers, RunnerHead
    from ...state.direct.catalog import Catalog
    from ...state.direct.runner_list import RegisteredRunner


class DirectSink(Protocol):
    """Where a caller's answer goes."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    def start(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known."""

    def write(self, data: bytes) -> None:
        """Send a piece of the answer."""

    def finish(self) -> None:
        """The answer is whole."""

    def abort(self) -> None:
        """Close the caller's connection, so that the answer does not look whole."""


class AttemptListener(Protocol):
    """Hears of one send to a runner."""

    def on_not_sent(self, reason: str) -> None:
        """No byte of the request reached the runner."""

    def on_head(self, head: RunnerHead) -> None:
        """The head of the answer has come."""

    def on_data(self, data: bytes) -> None:
        """A piece of the answer's body has come."""

    def on_end(self) -> None:
        """The answer is whole by its framing."""

    def on_broken(self, reason: str) -> None:
        """The request may have reached the runner, and no whole answer came."""


class RunnerAttempt(Protocol):
    """One request under way to a runner."""

    def cancel(self) -> None:
        """Close the connection: the answer is no longer wanted."""


class RunnerConnections(Protocol):
    """Sends requests to runners."""

    def send(
        self,
        runner: RegisteredRunner,
        request: RunnerRequest,
        listener: AttemptListener,
    ) -> RunnerAttempt:
        """Send one request."""

    def close_idle(self, runner_id: str) -> None:
        """Close the idle connections to a runner that is gone."""


class RunnerRequest:
    """The bytes of one request to a runner.

    :param request_id: what the runner's answer has to echo.
    :param repeatable: whether a connection that was used before may carry it.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "request_id",
        "may_reuse_connection",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request_id: str,
        may_reuse_connection: bool,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.may_reuse_connection = may_reuse_connection


class Dialect(Protocol):
    """The names that callers and runners use for what requests carry."""

    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, now: float
    ) -> DirectCall:
        """Return a caller's request."""

    def encode_call(
        self,
        call: DirectCall,
        runner_id: str,
        workspace: str | None,
        resume_after: str,
        remaining_s: float,
    ) -> Headers:
        """Return the headers of a request to a runner."""

    def decode_head(self, status: int, headers: Headers) -> RunnerHead:
        """Return the head of a runner's answer."""

    def answered_request_id(self, headers: Headers) -> str | None:
        """Return the id of the request that a runner's answer belongs to."""

    def encode_refusal(
        self, call: DirectCall | None, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer of our own."""


class LogGapError(Exception):
    """The records that a read asked for are no longer kept."""


class ConfigSource(Protocol):
    """Reads the configuration in force; calls fail with ``LogUnavailableError``."""

    def newest(self) -> Deferred[tuple[Catalog | None, int]]:
        """Return the newest configuration and the offset to read on from."""

    def follow(
        self, offset: int, wait_s: float
    ) -> Deferred[tuple[Catalog | None, int]]:
        """Return a newer configuration if one is there within ``wait_s`` seconds.

        :raises LogGapError: start over with ``newest``.
        """


class RunnerSource(Protocol):
    """Reads the runners' own records; calls fail with ``LogUnavailableError``."""

    def newest(self) -> Deferred[tuple[dict[str, RegisteredRunner | None], int]]:
        """Return all runners and the offset to read on from.

        ``None`` stands for a runner whose record cannot be read.
        """

    def follow(
        self, offset: int
    ) -> Deferred[tuple[dict[str, RegisteredRunner | None], int]]:
        """Return the runners that changed, ``None`` for each that was removed.

        :raises LogGapError: start over with ``newest``.
        """


class EntryRegistry(Protocol):
    """Where entries introduce themselves to each other."""

    def register(self, entry_id: str, host: str, port: int) -> Deferred[None]:
        """Write where this entry can be told of."""

    def registered_entries(self) -> Deferred[dict[str, tuple[str, int]]]:
        """Return where all entries that were introduced can be told of."""


__all__ = [
    "ConfigSource",
    "Dialect",
    "DirectSink",
    "EntryRegistry",
    "LogGapError",
    "RunnerConnections",
    "RunnerRequest",
    "RunnerAttempt",
    "RunnerSource",
    "AttemptListener",
]
